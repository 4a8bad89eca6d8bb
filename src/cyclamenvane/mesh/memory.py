"""Memory limits for the messages that a node reads: requests, and responses."""

from __future__ import annotations

import threading
from collections.abc import Callable

__all__ = ["LARGE_BYTES", "BodyMemory", "Reservation", "ResponseMemory"]

LARGE_BYTES = 64 * 1024  # of a body


class BodyMemory:
    """Shared limit in bytes for request bodies, until their calls have ended."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._reserved = 0
        self._lock = threading.Lock()

    def open(self) -> Reservation:
        """Return a reservation for one body."""
        return Reservation(lambda held, size: self.reserve(size), self.release)

    def has_room(self, size: int) -> bool:
        """Return whether `size` more bytes would be within the limit at present."""
        return self._reserved + size <= self._limit

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes; return False if that would exceed the limit."""
        with self._lock:
            if self._reserved + size > self._limit:
                return False
            self._reserved += size
            return True

    def release(self, size: int) -> None:
        """Release `size` reserved bytes."""
        if size:
            with self._lock:
                self._reserved -= size


class ResponseMemory:
    """Shared limit in bytes for the responses that targets are sending.

    With the limit reached, a response of less than half of an equal share may still
    grow, so that endless ones do not end the others. All together take at most one and
    a half times the limit, and a step for each.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._reserved = 0
        self._holders = 0
        self._lock = threading.Lock()

    def open(self) -> Reservation:
        """Return a reservation for one response."""
        return Reservation(self.reserve, self.release)

    def reserved(self) -> int:
        """Return how many bytes are reserved."""
        return self._reserved

    def reserve(self, held: int, size: int) -> bool:
        """Reserve `size` more bytes for a response; return False if too many are."""
        with self._lock:
            holders = self._holders + (held == 0)
            if self._reserved + size > self._limit:
                if 2 * (held + size) * holders > self._limit:
                    return False
            self._holders = holders
            self._reserved += size
            return True

    def release(self, held: int) -> None:
        """Release the bytes of a response."""
        with self._lock:
            self._holders -= 1
            self._reserved -= held


class Reservation:
    """What one body has reserved of a shared limit.

    It grows in steps, which saves taking the lock. `reserve` takes what is held so far
    and what to add to it.
    """

    def __init__(
        self, reserve: Callable[[int, int], bool], release: Callable[[int], None]
    ) -> None:
        self._reserve = reserve
        self._release = release
        self._held = 0

    def cover(self, size: int, step: int = LARGE_BYTES) -> bool:
        """Reserve memory for a body of `size` bytes; return False without it.

        Nothing is done while less than `step` bytes are missing.
        """
        missing = size - self._held
        if missing < step:
            return True
        if not self._reserve(self._held, missing):
            return False
        self._held = size
        return True

    def close(self) -> None:
        """Release all of it."""
        if self._held:
            self._release(self._held)
            self._held = 0
