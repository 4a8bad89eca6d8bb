"""Whether this node follows the store itself, and whether it reaches it."""

from __future__ import annotations

import threading
from collections.abc import Callable, Collection
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
    """Runs the subscriptions of some tables, and records their results."""

    def __init__(self, tables: Collection[str], clock: Clock) -> None:
        self._clock = clock
        self._active = {table: threading.Event() for table in tables}
        self._started_at: dict[str, timedelta] = {}
        self._reached_at: dict[str, timedelta] = {}
        self._failing_since: dict[str, timedelta] = {}
        self._epochs: dict[str, int] = {}
        self._interrupts: dict[str, Callable[[], None]] = {}
        self._end_long_watches: list[Callable[[], None]] = []
        self._lock = threading.Lock()

    def follow_all(self) -> None:
        """Run the subscriptions of all tables."""
        self.follow(self._active)

    def follow(self, tables: Collection[str]) -> None:
        """Run the subscriptions of these tables only.

        The others stop after the calls to the store that are running. A table whose
        last call failed stays lost until a call succeeds.
        """
        with self._lock:
            was_watcher = self.is_watcher()
            for table, active in self._active.items():
                if table not in tables:
                    active.clear()
                elif not active.is_set():
                    self._started_at[table] = self._clock.monotonic()
                    self._reached_at.pop(table, None)
                    active.set()
            becomes_watcher = self.is_watcher() and not was_watcher
        if becomes_watcher:
            for end_long_watch in self._end_long_watches:
                end_long_watch()

    def is_watcher(self) -> bool:
        """Return whether all tables are followed, for other nodes too."""
        return all(active.is_set() for active in self._active.values())

    def on_watcher(self, end_long_watch: Callable[[], None]) -> None:
        """Call `end_long_watch` when this node becomes a watcher.

        A call that the standby, or an earlier one, still waits for may be lost, and
        this would be noticed too late for a watcher.
        """
        self._end_long_watches.append(end_long_watch)

    def followed(self) -> set[str]:
        """Return the tables whose subscriptions are to run."""
        return {table for table, active in self._active.items() if active.is_set()}

    def wait(self, table: str) -> None:
        """Wait until the subscription of a table is to run."""
        self._active[table].wait()

    def record_result(self, table: str, reached: bool) -> None:
        """Record whether the store answered a call about a table."""
        now = self._clock.monotonic()
        with self._lock:
            if reached:
                self._reached_at[table] = now
                self._failing_since.pop(table, None)
            else:
                self._failing_since.setdefault(table, now)

    def reaches(self, tables: Collection[str]) -> bool:
        """Return whether these tables are followed and their last calls succeeded."""
        with self._lock:
            return all(
                self._active[table].is_set()
                and table in self._reached_at
                and table not in self._failing_since
                for table in tables
            )

    def on_new_epoch(self, table: str, interrupt: Callable[[], None]) -> None:
        """Call `interrupt` when the store was restored, as another table shows.

        A call that lets the store wait may have been overtaken by that.
        """
        self._interrupts[table] = interrupt

    def record_epoch(self, table: str, epoch: int) -> None:
        """Record the store's epoch as of which a table is known."""
        with self._lock:
            if self._epochs.get(table) == epoch:
                return
            self._epochs[table] = epoch
            behind = [name for name, known in self._epochs.items() if known < epoch]
        for name in behind:
            self._interrupts[name]()

    def state(self) -> WatchState:
        """Return whether all tables are followed, and the last calls succeeded."""
        now = self._clock.monotonic()
        with self._lock:
            if any(now - at > _LOST_AFTER for at in self._failing_since.values()):
                return WatchState.LOST
            if len(self.followed()) < len(self._active):
                return WatchState.STARTING
            last = (self._started_at | self._reached_at).values()
            if any(now - at > _MAX_RESULT_AGE for at in last):
                return WatchState.LOST
            if any(table not in self._reached_at for table in self._active):
                return WatchState.STARTING
        return WatchState.CURRENT
