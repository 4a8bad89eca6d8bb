"""Counts requests in progress, so that a node can drain before it stops."""

from __future__ import annotations

import threading
from types import TracebackType

__all__ = ["InFlightCounter"]


class InFlightCounter:
    """Counter of requests in progress, from receipt until the response is written.

    with in_flight:
        serve()
    """

    def __init__(self) -> None:
        self._count = 0
        self._lock = threading.Lock()

    def count(self) -> int:
        """Return the number of requests in progress."""
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
