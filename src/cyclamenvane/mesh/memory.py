"""Memory limit for request bodies while they are read."""

from __future__ import annotations

import threading

__all__ = ["BodyMemory"]


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
