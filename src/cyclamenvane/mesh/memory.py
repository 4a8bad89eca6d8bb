"""Memory limits for the messages that a node reads: requests, and responses."""

from __future__ import annotations

import threading

__all__ = ["BodyMemory", "ResponseMemory", "ResponseReservation"]

_RESERVATION_STEP_BYTES = 64 * 1024


class BodyMemory:
    """Shared limit in bytes for request bodies that are not yet complete."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._reserved = 0
        self._lock = threading.Lock()

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

    def open(self) -> ResponseReservation:
        """Return a reservation for one response."""
        return ResponseReservation(self)

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


class ResponseReservation:
    """What one response has reserved of the shared limit.

    Small responses reserve nothing, which saves taking the lock.
    """

    def __init__(self, memory: ResponseMemory) -> None:
        self._memory = memory
        self._held = 0

    def cover(self, size: int) -> bool:
        """Reserve memory for a response of `size` bytes; return False without it."""
        missing = size - self._held
        if missing < _RESERVATION_STEP_BYTES:
            return True
        if not self._memory.reserve(self._held, missing):
            return False
        self._held = size
        return True

    def close(self) -> None:
        """Release all of it."""
        if self._held:
            self._memory.release(self._held)
            self._held = 0
