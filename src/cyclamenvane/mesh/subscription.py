"""Follows the changes of a table of the store while this node is a watcher.

A subscription reads the parts of the table unless the replica has them already, then
watches for changes. It reads the parts again when the store no longer has the
history or was restored, and retries with increasing delays when the store does not
answer, or lacks the history again and again.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

import eliot

from .replica import TableUpdate
from .rows import RowChange, RowsError, RowsFailure, RowStore, StoreVersion

if TYPE_CHECKING:
    from ..clock import Clock
    from .replica import StoreReplica
    from .stop_event import Sleep
    from .store_watch import StoreWatch

__all__ = ["MAX_WATCH_TIMEOUT", "Backoff", "Subscription", "compute_watch_timeout"]

# Share of the store's recovery time for which a node may wait for an answer that has
# been lost. The rest is for asking again and for passing the changes on.
_MAX_SILENCE_SHARE = 0.8
_MIN_WATCH_TIMEOUT = timedelta(milliseconds=500)
MAX_WATCH_TIMEOUT = timedelta(seconds=8)
# Delay after a read that returned changes, so that the next one covers more of them.
# The first change after a quiet time is read at once.
_MIN_BATCH_DELAY = timedelta(milliseconds=60)
_MAX_BATCH_DELAY = timedelta(milliseconds=480)
# How a call fails that this node has ended itself.
_LOST_CALL = (RowsFailure.UNAVAILABLE, RowsFailure.UNKNOWN)


@dataclass(slots=True)
class Backoff:
    """Increasing delays between retries, with jitter so that nodes spread out."""

    initial: timedelta = timedelta(milliseconds=150)
    maximum: timedelta = timedelta(seconds=1)
    _next: timedelta | None = None

    def next_delay(self) -> timedelta:
        """Return how long to wait before the next retry."""
        delay = self._next or self.initial
        self._next = min(delay * 2, self.maximum)
        return delay * random.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Start again with the initial delay, after a success."""
        self._next = None

    def is_retrying(self) -> bool:
        """Return whether there has been a failure since the last success."""
        return self._next is not None


def compute_watch_timeout(
    recovery_time: timedelta, call_timeout: timedelta
) -> timedelta:
    """Return how long to let the store wait for changes.

    A connection may go silent without an error, so the store's answer is overdue
    after this and `call_timeout`. The node has to follow the store again within
    `recovery_time` after a disruption.
    """
    timeout = recovery_time * _MAX_SILENCE_SHARE - call_timeout
    return min(max(timeout, _MIN_WATCH_TIMEOUT), MAX_WATCH_TIMEOUT)


class Subscription:
    """Applies the rows of one table and their changes to the replica.

    `watch_timeout` is how long the store waits for changes, and `standby_timeout` how
    long it does while this node is no watcher. `on_result` gets whether
    the store answered, and the table, followed by the error after a failure.
    `on_current` gets a time as of which the replica has all rows.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        parts: Callable[[], Sequence[str]],
        replica: StoreReplica,
        store_watch: StoreWatch,
        on_result: Callable[[bool, str], None],
        on_current: Callable[[timedelta], None],
        watch_timeout: timedelta,
        standby_timeout: timedelta,
        clock: Clock,
        sleep: Sleep,
    ) -> None:
        self._store = store
        self._table = table
        self._parts = parts
        self._replica = replica
        self._store_watch = store_watch
        self._on_result = on_result
        self._on_current = on_current
        self._watch_timeout = watch_timeout
        self._standby_timeout = standby_timeout
        self._clock = clock
        self._sleep = sleep
        self._backoff = Backoff()
        self._read_backoff = Backoff()
        self._watching_long = False
        self._interrupted = False
        self._ask_at_once = False
        store_watch.on_new_epoch(table, store.interrupt)
        store_watch.on_watcher(self._end_long_watch)
        self._batch_delay = _MIN_BATCH_DELAY
        self._history_gone = False

    def run(self) -> None:
        """Follow the table whenever `store_watch` says so, until the node stops."""
        while not self._sleep.is_stopped():
            self._store_watch.wait(self._table)
            version = self._replica.versions()[self._table]
            if version is None or self._history_gone:
                self._read_all()
            else:
                self._watch_changes(version)
        self._store.close()

    def _read_all(self) -> None:
        rows: list[RowChange] = []
        version: StoreVersion | None = None
        read_at = self._clock.monotonic()
        for part in self._parts():
            started_at = self._clock.monotonic()
            page = self._store.read(self._table, part)
            if page.is_error():
                self._handle_failure(page.error, started_at)
                return
            rows += page.ok.changes
            # With the first part's version, changes may repeat but none is missed.
            version = version or page.ok.version
            if page.ok.version.epoch != version.epoch:
                return  # restored between two parts
        eliot.log_message(
            "store:read",
            table=self._table,
            version=version,
            rows=len(rows),
            known_version=self._replica.versions()[self._table],
        )
        if version is not None:
            self._history_gone = False
            self._apply(True, tuple(rows), version)
            self._on_current(read_at)

    def _watch_changes(self, version: StoreVersion) -> None:
        started_at = self._clock.monotonic()
        timeout = self._choose_timeout()
        page = self._store.watch(self._table, version, timeout)
        self._watching_long = False
        if page.is_error():
            if self._interrupted and page.error.failure in _LOST_CALL:
                self._interrupted = False
                self._ask_at_once = True
                return
            if page.error.failure is RowsFailure.HISTORY_GONE:
                self._handle_lost_history(page.error, version)
            else:
                self._handle_failure(page.error, started_at)
            return
        self._ask_at_once = False
        self._read_backoff.reset()
        self._apply(False, page.ok.changes, page.ok.version)
        # The store answers a watch after its time-out; an answer that comes later was
        # delayed, on its way or in this process.
        self._on_current(min(self._clock.monotonic(), started_at + timeout))
        if self._clock.monotonic() - started_at > _MAX_BATCH_DELAY:
            self._batch_delay = _MIN_BATCH_DELAY
        if page.ok.changes:
            self._sleep(self._batch_delay)
            self._batch_delay = min(self._batch_delay * 2, _MAX_BATCH_DELAY)

    def _choose_timeout(self) -> timedelta:
        # A store that is unavailable may never answer, so a retry does not wait.
        if self._ask_at_once or self._backoff.is_retrying():
            return timedelta()
        # Set before the role is read, so that a change in between ends the call.
        self._watching_long = True
        if not self._store_watch.is_watcher():
            return self._standby_timeout
        self._watching_long = False
        return self._watch_timeout

    def _end_long_watch(self) -> None:
        if self._watching_long and self._standby_timeout > self._watch_timeout:
            self._interrupted = True
            self._store.interrupt()

    def _apply(
        self, complete: bool, changes: tuple[RowChange, ...], version: StoreVersion
    ) -> None:
        self._replica.apply(TableUpdate(self._table, complete, changes, version))
        self._backoff.reset()
        self._store_watch.record_epoch(self._table, version.epoch)
        self._on_result(True, self._table)

    def _handle_lost_history(self, error: RowsError, version: StoreVersion) -> None:
        eliot.log_message(
            "store:history_gone",
            table=self._table,
            version=version,
            epoch=error.epoch,
            detail=error.detail,
        )
        known = self._replica.versions()[self._table]
        # Another node may have relayed the rows of the restored store meanwhile.
        self._history_gone = known is None or known.epoch == version.epoch
        again = self._read_backoff.is_retrying()
        delay = self._read_backoff.next_delay()
        if again:
            self._sleep(delay)

    def _handle_failure(self, error: RowsError, started_at: timedelta) -> None:
        waited = (self._clock.monotonic() - started_at) // timedelta(milliseconds=1)
        failure = f"{error.failure.value} after {waited} ms {error.detail}"
        self._on_result(False, f"{self._table}: {failure}")
        self._sleep(self._backoff.next_delay())
