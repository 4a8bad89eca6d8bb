"""Counts what a node is busy with, so that it ends only when it is idle."""

from __future__ import annotations

import threading
from types import TracebackType

__all__ = ["Activity"]


class Activity:
    """The requests under way, each from its reading to its written answer.

    with activity:
        serve()
    """

    def __init__(self) -> None:
        self._count = 0
        self._lock = threading.Lock()

    def count(self) -> int:
        """Return how many requests are under way."""
        return self._count

    def __enter__(self) -> None:
        with self._lock:
            self._count += 1

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        with self._lock:
            self._count -= 1
