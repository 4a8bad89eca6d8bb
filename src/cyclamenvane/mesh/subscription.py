"""Follows the changes of a table of the store until the node stops.

A subscription reads the parts it needs once, then watches for changes. It reads
the parts again when the store no longer has the history, and retries with
increasing delays when the store does not answer.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

import eliot

from .rows import RowChange, RowsError, RowsFailure, RowStore

if TYPE_CHECKING:
    from .stop_event import Sleep

__all__ = ["Subscription", "Backoff"]

# Long enough to need few calls, short enough to detect a dead connection that
# keep-alive probes do not reveal.
_WATCH_TIMEOUT = timedelta(seconds=8)


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


class Subscription:
    """Passes the rows of one table and their changes to callbacks.

    `on_snapshot` gets all rows of all parts, `on_change` each later change.
    `on_result` gets whether the store answered, and the table, followed by the error
    after a failure. After a change, `batch_delay` returns how long to wait for more
    before the next read.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        parts: Callable[[], Sequence[str]],
        on_snapshot: Callable[[list[RowChange]], None],
        on_change: Callable[[RowChange], None],
        on_result: Callable[[bool, str], None],
        batch_delay: Callable[[], timedelta],
        sleep: Sleep,
    ) -> None:
        self._store = store
        self._table = table
        self._parts = parts
        self._on_snapshot = on_snapshot
        self._on_change = on_change
        self._on_result = on_result
        self._batch_delay = batch_delay
        self._sleep = sleep
        self._backoff = Backoff()

    def run(self) -> None:
        """Follow the table until the node stops."""
        while not self._sleep.is_stopped():
            version = self._read_all()
            while version is not None and not self._sleep.is_stopped():
                version = self._watch_changes(version)
        self._store.close()

    def _read_all(self) -> int | None:
        rows: list[RowChange] = []
        version: int | None = None
        for part in self._parts():
            page = self._store.read(self._table, part)
            if page.is_error():
                self._handle_failure(page.error)
                return None
            rows += page.ok.changes
            # With the first part's version, changes may repeat but none is missed.
            version = page.ok.version if version is None else version
        self._handle_success()
        self._on_snapshot(rows)
        return version

    def _watch_changes(self, version: int) -> int | None:
        page = self._store.watch(self._table, version, _WATCH_TIMEOUT)
        if page.is_error():
            if page.error.failure is RowsFailure.HISTORY_GONE:
                eliot.log_message("store:history_gone", table=self._table)
                return None
            self._handle_failure(page.error)
            return version
        self._handle_success()
        for change in page.ok.changes:
            self._on_change(change)
        if page.ok.changes:
            self._sleep(self._batch_delay())
        return max(version, page.ok.version)

    def _handle_success(self) -> None:
        self._backoff.reset()
        self._on_result(True, self._table)

    def _handle_failure(self, error: RowsError) -> None:
        self._on_result(False, f"{self._table}: {error.failure.value} {error.detail}")
        self._sleep(self._backoff.next_delay())
