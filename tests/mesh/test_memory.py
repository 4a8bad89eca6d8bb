"""Tests that released readers leave no reference cycles, and of the body memory."""

from __future__ import annotations

import gc

import pytest

from cyclamenvane.mesh.memory import BodyMemory
from cyclamenvane.mesh.message import RequestReader
from cyclamenvane.mesh.model import CallerLimits
from cyclamenvane.mesh.response import ResponseReader


@pytest.mark.parametrize(
    "make",
    [
        lambda: ResponseReader(b"GET", lambda status, headers: True, 1000, 1000),
        lambda: RequestReader(CallerLimits()),
    ],
)
def test_released_reader_is_freed_without_garbage_collection(make):
    gc.disable()
    try:
        reader = make()
        reader_type = type(reader)
        before = count_objects(reader_type)
        reader.feed(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        reader.release()
        del reader
        assert count_objects(reader_type) == before - 1
    finally:
        gc.enable()


def count_objects(reader_type: type) -> int:
    """Return the number of live instances; compiled classes do not support weakref."""
    return sum(type(each) is reader_type for each in gc.get_objects())


def test_bodies_share_a_limit():
    memory = BodyMemory(100)
    assert memory.reserve(60) and not memory.reserve(50)
    memory.release(60)
    assert memory.reserve(100)
