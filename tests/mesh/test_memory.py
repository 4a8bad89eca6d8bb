"""Tests that released readers leave no reference cycles, and of the memory budget."""

from __future__ import annotations

import gc
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from cyclamenvane.clock import SystemClock
from cyclamenvane.mesh.memory import MemoryBudget
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


def test_messages_share_a_limit():
    memory = MemoryBudget(100, SystemClock())
    first, second = memory.open(), memory.open()
    assert first.cover(60, 1) and not second.cover(50, 1)
    first.close()
    assert second.cover(100, 1)


class Message:
    """A message that holds memory of a budget until it is evicted."""

    def __init__(self, memory: MemoryBudget, size: int) -> None:
        self.evictions = 0
        self.reservation = memory.open(self._evict)
        assert self.reservation.cover(size, 1)

    def _evict(self) -> None:
        self.evictions += 1
        self.reservation.close()


def test_stalled_messages_are_evicted_the_largest_first(clock):
    """Guards against messages that stop and keep all memory from others."""
    evicted = []
    memory = MemoryBudget(100, clock, evicted.append)
    messages = [Message(memory, size) for size in (20, 50, 30)]
    clock.advance(1.5)
    newcomer = memory.open()
    assert memory.has_room(60) and newcomer.cover(60, 1)
    assert [each.evictions for each in messages] == [0, 1, 1]
    assert evicted == [50, 30] and memory.reserved() == 80


def test_messages_that_make_progress_are_not_evicted(clock):
    """Guards against uploads that end each other when there are too many."""
    memory = MemoryBudget(100, clock)
    message = Message(memory, 80)
    clock.advance(0.9)
    assert message.reservation.cover(90, 1)
    clock.advance(0.9)
    assert not memory.has_room(60) and not memory.open().cover(60, 1)
    assert not message.evictions


def test_progress_in_small_steps_is_a_stall(clock):
    """Guards against messages that grow by a byte in time."""
    memory = MemoryBudget(1000, clock)
    message = Message(memory, 800)
    for size in range(801, 805):
        clock.advance(0.5)
        assert message.reservation.cover(size, 1)
    assert memory.open().cover(600, 1) and message.evictions == 1


def test_message_of_a_call_is_not_evicted(clock):
    """Guards against requests that are ended while their target runs them."""
    memory = MemoryBudget(100, clock)
    message = Message(memory, 100)
    message.reservation.pinned = True
    clock.advance(5)
    assert not memory.open().cover(60, 1)
    message.reservation.expose(message._evict)
    clock.advance(0.5)
    assert not memory.open().cover(60, 1)
    clock.advance(1)
    assert memory.open().cover(60, 1) and message.evictions == 1


def test_nothing_is_evicted_if_it_does_not_suffice(clock):
    memory = MemoryBudget(100, clock)
    small, large = Message(memory, 20), Message(memory, 80)
    large.reservation.pinned = True
    clock.advance(5)
    assert not memory.open().cover(90, 1)
    assert not small.evictions


def test_small_messages_have_an_overdraft(clock):
    """Guards against large messages that leave no room for small requests."""
    memory = MemoryBudget(1000, clock)
    large = [memory.open() for _ in range(4)]
    assert all(each.cover(250, 1) for each in large)
    assert not memory.open().cover(200, 1)
    covered = sum(memory.open().cover(20, 1) for _ in range(100))
    assert 0 < covered < 100 and 1000 < memory.reserved() <= 1250


def test_waiting_message_gets_what_is_released():
    """Guards against a refusal while an evicted message is being dropped."""
    memory = MemoryBudget(100, SystemClock())
    evicted = threading.Event()
    stalled = memory.open(evicted.set)
    assert stalled.cover(100, 1)
    time.sleep(1.1)
    with ThreadPoolExecutor(1) as executor:
        waiting = executor.submit(memory.open().cover, 60, 1)
        assert evicted.wait(5)
        stalled.close()
        assert waiting.result()
    assert not stalled.cover(10, 1), "it has been evicted"
