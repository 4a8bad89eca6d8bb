"""Whether this node follows the store itself, and whether it reaches it."""

from __future__ import annotations

import threading
from collections.abc import Collection
from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["StoreWatch", "WatchState"]

_LOST_AFTER = timedelta(milliseconds=500)  # of failures; a single one is retried first
# Without any result for this long, the connection is silent: longer than a watch.
_MAX_RESULT_AGE = timedelta(seconds=10)


class WatchState(Enum):
    """How current a node that follows the store is."""

    STARTING = "starting"
    CURRENT = "current"
    LOST = "lost"


class StoreWatch:
    """Runs the subscriptions while the node is a watcher, and records their results."""

    def __init__(self, tables: Collection[str], clock: Clock) -> None:
        self._tables = tuple(tables)
        self._clock = clock
        self._active = threading.Event()
        self._started_at = timedelta()
        self._reached_at: dict[str, timedelta] = {}
        self._failing_since: dict[str, timedelta] = {}
        self._lock = threading.Lock()

    def start(self) -> None:
        """Start the subscriptions, unless they run."""
        with self._lock:
            if not self._active.is_set():
                self._started_at = self._clock.monotonic()
                self._reached_at.clear()
                self._failing_since.clear()
                self._active.set()

    def stop(self) -> None:
        """Stop the subscriptions after the calls to the store that are running."""
        self._active.clear()

    def wait(self) -> None:
        """Wait until the subscriptions are to run."""
        self._active.wait()

    def record_result(self, table: str, reached: bool) -> None:
        """Record whether the store answered a call about a table."""
        now = self._clock.monotonic()
        with self._lock:
            if reached:
                self._reached_at[table] = now
                self._failing_since.pop(table, None)
            else:
                self._failing_since.setdefault(table, now)

    def state(self) -> WatchState:
        """Return whether the tables are followed without a failure."""
        if not self._active.is_set():
            return WatchState.STARTING
        now = self._clock.monotonic()
        with self._lock:
            if any(now - at > _LOST_AFTER for at in self._failing_since.values()):
                return WatchState.LOST
            last = [
                self._reached_at.get(table, self._started_at) for table in self._tables
            ]
            if any(now - at > _MAX_RESULT_AGE for at in last):
                return WatchState.LOST
            if any(table not in self._reached_at for table in self._tables):
                return WatchState.STARTING
        return WatchState.CURRENT
