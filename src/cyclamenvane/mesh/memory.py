"""The memory that bodies may take while they are read."""

from __future__ import annotations

import threading

__all__ = ["BodyMemory"]


class BodyMemory:
    """A bound on the bytes of bodies that are not whole yet."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._taken = 0
        self._lock = threading.Lock()

    def take(self, size: int) -> bool:
        """Take some bytes; return whether there was room."""
        with self._lock:
            if self._taken + size > self._limit:
                return False
            self._taken += size
            return True

    def release(self, size: int) -> None:
        """Give bytes back."""
        if size:
            with self._lock:
                self._taken -= size
