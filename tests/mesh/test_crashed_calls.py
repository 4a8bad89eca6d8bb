"""The requests that a node sends as suspects."""

from __future__ import annotations

from datetime import timedelta

import pytest

from cyclamenvane.mesh.crashed_calls import CrashedCalls

HEAD = b"POST /orders/ HTTP/1.1\r\nhost: shop.example\r\n"


@pytest.fixture
def crashed_calls(clock):
    return CrashedCalls(clock)


def test_request_is_known_by_its_content(crashed_calls):
    crashed_calls.add(HEAD + b"x-attempt-id: a1\r\n", b"one")
    assert crashed_calls.contains(HEAD + b"x-attempt-id: a2\r\n", b"one")
    assert not crashed_calls.contains(HEAD, b"two")


def test_request_is_removed_by_an_answer(crashed_calls):
    crashed_calls.add(HEAD, b"one")
    crashed_calls.add(HEAD, b"two")
    crashed_calls.remove(HEAD, b"one")
    assert not crashed_calls.contains(HEAD, b"one")
    assert crashed_calls.contains(HEAD, b"two")


def test_request_is_dropped_after_its_last_crash(crashed_calls, clock):
    crashed_calls.add(HEAD, b"one")
    clock.elapsed += timedelta(seconds=1.5)
    crashed_calls.add(HEAD, b"one")
    clock.elapsed += timedelta(seconds=1.5)
    assert crashed_calls.contains(HEAD, b"one")
    clock.elapsed += timedelta(seconds=1)
    assert not crashed_calls.contains(HEAD, b"one")


def test_oldest_requests_are_dropped_beyond_the_limit(crashed_calls):
    for number in range(1025):
        crashed_calls.add(HEAD, b"%d" % number)
    assert not crashed_calls.contains(HEAD, b"0")
    assert crashed_calls.contains(HEAD, b"1") and crashed_calls.contains(HEAD, b"1024")
