"""The budget of the memory that a node holds for callers, targets and other nodes.

Each message that is being read, and each one that is whole and large, has a
reservation. It is covered before more is read, so that the sum stays within one limit:

    reservation = budget.open(evict=lambda: sock.shutdown(socket.SHUT_RD))
    if not reservation.cover(size):
        ...  # refuse the message
    reservation.close()

With the limit reached, messages that have made no progress for a while are evicted,
the largest first. Without such ones, what comes last is refused.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..clock import Clock
    from .model import MeshSettings

__all__ = ["LARGE_BYTES", "MemoryBudget", "Reservation", "make_budget"]

LARGE_BYTES = 64 * 1024  # of a body
# What small messages may take beyond the limit, so that large ones do not end them.
_OVERDRAFT_RATIO = 0.25
_MAX_STALL = timedelta(seconds=1)
_MIN_PROGRESS = 1 / 16  # of what is held; less counts as a stall
_EVICTION_TIMEOUT_S = 0.5  # for an evicted message to be dropped


def make_budget(
    settings: MeshSettings, clock: Clock, on_eviction: Callable[[int], None]
) -> MemoryBudget:
    """Return the budget of a process with these settings."""
    limit = int(settings.memory_bytes * settings.message_memory_share)
    return MemoryBudget(limit, clock, on_eviction)


class MemoryBudget:
    """A limit in bytes that all messages of a node share.

    With the limit reached, a message of less than half of an equal share may still
    grow, within an overdraft. `on_eviction` gets the bytes of each evicted message.
    """

    def __init__(
        self,
        limit: int,
        clock: Clock,
        on_eviction: Callable[[int], None] | None = None,
    ) -> None:
        self._limit = limit
        self._clock = clock
        self._on_eviction = on_eviction
        self._reserved = 0
        self._holders: set[Reservation] = set()
        self._released = threading.Condition(threading.Lock())
        self._waiting = 0

    def open(self, evict: Callable[[], None] | None = None) -> Reservation:
        """Return a reservation for one message, which can be evicted by `evict`."""
        return Reservation(self, evict)

    def limit(self) -> int:
        """Return the limit in bytes."""
        return self._limit

    def reserved(self) -> int:
        """Return how many bytes are reserved."""
        return self._reserved

    def has_room(self, size: int) -> bool:
        """Return whether `size` more bytes can be reserved, by evictions if needed."""
        if self._reserved + size <= self._limit:
            return True
        with self._released:
            missing = self._reserved + size - self._limit
            return sum(each.held for each in self._list_stalled()) >= missing

    def reserve(self, holder: Reservation, size: int) -> bool:
        """Reserve `size` more bytes; return False if there is no memory for them."""
        with self._released:
            if self._take(holder, size):
                return True
            evicted = self._select_evicted(size, holder)
        if evicted is None:
            return False
        for each in evicted:
            if self._on_eviction is not None:
                self._on_eviction(each.held)
            each.evict()
        with self._released:
            self._waiting += 1
            try:
                return self._released.wait_for(
                    lambda: self._take(holder, size), _EVICTION_TIMEOUT_S
                )
            finally:
                self._waiting -= 1

    def release(self, holder: Reservation, size: int) -> None:
        """Release `size` bytes of a reservation."""
        with self._released:
            self._reserved -= size
            holder.held -= size
            if not holder.held:
                self._holders.discard(holder)
            if self._waiting:
                self._released.notify_all()

    def now(self) -> timedelta:
        """Return the monotonic time."""
        return self._clock.monotonic()

    def _take(self, holder: Reservation, size: int) -> bool:
        total = self._reserved + size
        if total > self._limit:
            holders = len(self._holders) + (not holder.held)
            if 2 * (holder.held + size) * holders > self._limit:
                return False
            if total > self._limit * (1 + _OVERDRAFT_RATIO):
                return False
        self._reserved = total
        holder.held += size
        self._holders.add(holder)
        return True

    def _select_evicted(
        self, size: int, holder: Reservation
    ) -> list[Reservation] | None:
        """Select what to evict for `size` bytes; return None if that is not enough."""
        missing = self._reserved + size - self._limit
        missing -= sum(each.held for each in self._holders if each.evicted)
        selected: list[Reservation] = []
        if missing <= 0:
            return selected
        for each in sorted(self._list_stalled(), key=_get_held, reverse=True):
            if each is holder:
                continue
            selected.append(each)
            missing -= each.held
            if missing <= 0:
                for chosen in selected:
                    chosen.evicted = True
                return selected
        return None

    def _list_stalled(self) -> list[Reservation]:
        before = self._clock.monotonic() - _MAX_STALL
        return [each for each in self._holders if each.is_stalled(before)]


class Reservation:
    """What one message has reserved of the budget, in bytes.

    `pinned` is set while a call needs the message, so that it is not evicted.
    """

    def __init__(
        self, budget: MemoryBudget, evict: Callable[[], None] | None = None
    ) -> None:
        self._budget = budget
        self._evict = evict
        self._position = 0
        self._progressed_at = timedelta()
        self.held = 0
        self.pinned = evict is None
        self.evicted = False

    def cover(self, size: int, step: int = LARGE_BYTES) -> bool:
        """Reserve memory for a message of `size` bytes; return False without it.

        Nothing is done while less than `step` bytes are missing.
        """
        missing = size - self.held
        if missing < step:
            return True
        if self.evicted or not self._budget.reserve(self, missing):
            return False
        self.record_progress(size)
        return True

    def record_progress(self, position: int) -> None:
        """Record how far the message has been read or sent, in bytes."""
        if position - self._position > self.held * _MIN_PROGRESS:
            self._position = position
            self._progressed_at = self._budget.now()

    def is_stalled(self, before: timedelta) -> bool:
        """Return whether it may be evicted and had its last progress `before`."""
        unused = not self.pinned and not self.evicted
        return unused and self._progressed_at < before

    def evict(self) -> None:
        """End the message; its owner closes the reservation."""
        if self._evict is not None:
            self._evict()

    def expose(self, evict: Callable[[], None]) -> None:
        """Let the message be evicted from now on, unless it makes progress."""
        self._evict = evict
        self._position = 0
        if self.held:
            self._progressed_at = self._budget.now()
        self.pinned = False

    def close(self) -> None:
        """Release all of it."""
        self.pinned = True
        if self.held:
            self._budget.release(self, self.held)


def _get_held(reservation: Reservation) -> int:
    return reservation.held
