"""Readers leave no cycles behind, so memory is given back at once."""

from __future__ import annotations

import gc

import pytest

from cyclamenvane.mesh.memory import BodyMemory
from cyclamenvane.mesh.message import AnswerReader, RequestReader
from cyclamenvane.mesh.model import CallerLimits


@pytest.mark.parametrize(
    "make",
    [
        lambda: AnswerReader(b"GET", lambda status, headers: True),
        lambda: RequestReader(CallerLimits()),
    ],
)
def test_a_released_reader_goes_without_the_collector(make):
    gc.disable()
    try:
        reader = make()
        kind = type(reader)
        before = count_objects(kind)
        reader.feed(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        reader.release()
        del reader
        assert count_objects(kind) == before - 1
    finally:
        gc.enable()


def count_objects(kind: type) -> int:
    """Return how many objects of a class live; compiled ones take no weak reference."""
    return sum(type(each) is kind for each in gc.get_objects())


def test_bodies_share_a_bound():
    memory = BodyMemory(100)
    assert memory.take(60) and not memory.take(50)
    memory.release(60)
    assert memory.take(100)
