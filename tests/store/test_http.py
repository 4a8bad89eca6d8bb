"""HTTP client of the platform against a stand-in with injected faults."""

from __future__ import annotations

import threading
from datetime import timedelta

import pytest

from cyclamenvane.settings import split_address
from cyclamenvane.standins import PlatformStandIn
from cyclamenvane.store import Failure, Write
from cyclamenvane.store.http import HttpPlatform

TIMEOUT = timedelta(seconds=10)


@pytest.fixture
def standin():
    server = PlatformStandIn()
    threading.Thread(target=server.run, daemon=True).start()
    yield server
    server.stop()


@pytest.fixture
def platform(standin: PlatformStandIn) -> HttpPlatform:
    return HttpPlatform(split_address(standin.address), TIMEOUT)


def test_commit_requires_all_expected_versions(platform: HttpPlatform) -> None:
    table = platform.table
    assert table.get("a").ok is None
    assert table.commit([Write("a", b"1", 0), Write("b", b"1", 0)]).is_ok()
    conflict = table.commit([Write("a", b"2", 1), Write("b", b"2", 0)])
    assert conflict.error.failure is Failure.CONFLICT
    assert table.get("a").ok.value == b"1", "the transaction was applied in part"
    assert [row.key for row in table.scan("", 10).ok] == ["a", "b"]
    assert table.commit([Write("a", None, 1)]).is_ok()
    assert table.get("a").ok is None


def test_objects_are_stored_read_and_listed(platform: HttpPlatform) -> None:
    objects = platform.objects
    assert objects.put("x/1", b"one").is_ok() and objects.put("y", b"").is_ok()
    assert objects.get("x/1").ok == b"one" and objects.get("x/2").ok is None
    assert objects.names("x/").ok == ("x/1",)


def test_lost_answer_is_unknown_and_took_effect(platform, standin) -> None:
    standin.lose_responses = 1
    lost = platform.table.commit([Write("a", b"1", 0)])
    assert lost.error.failure is Failure.UNKNOWN
    assert platform.table.get("a").ok.value == b"1"


def test_refused_connection_had_no_effect() -> None:
    platform = HttpPlatform(("127.0.0.1", 1), TIMEOUT)
    assert platform.table.get("a").error.failure is Failure.UNAVAILABLE


def test_error_status_leaves_the_outcome_unknown(platform, standin) -> None:
    standin.down = True
    assert platform.table.get("a").error.failure is Failure.UNKNOWN


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\n\r\n\x93\x01",
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n\x93\x01",
    ],
)
def test_response_that_is_no_document_leaves_the_outcome_unknown(cutting_server, data):
    """Guards against an exception that ends the task which called the store."""
    cutting_server.data = data
    table = HttpPlatform(cutting_server.address, timedelta(seconds=2)).table
    assert table.get("k").error.failure is Failure.UNKNOWN
