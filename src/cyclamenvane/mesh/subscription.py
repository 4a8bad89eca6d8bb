"""Keeps up with a table of the store, for as long as the process lives.

A subscription reads the parts it needs once, then asks for changes. It starts
over when the store no longer has the history, and tries again with growing
pauses when the store does not answer.
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
    from .pause import Pause

__all__ = ["Subscription", "Backoff"]

# Long enough to cost few calls, short enough to notice a silent connection that
# keep-alive probes do not reveal.
_WATCH = timedelta(seconds=8)


@dataclass(slots=True)
class Backoff:
    """Growing pauses between tries, with jitter so that nodes spread out."""

    first: timedelta = timedelta(milliseconds=150)
    longest: timedelta = timedelta(seconds=1)
    _next: timedelta | None = None

    def next_pause(self) -> timedelta:
        """Return how long to wait before the next try."""
        pause = self._next or self.first
        self._next = min(pause * 2, self.longest)
        return pause * random.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Note a success."""
        self._next = None


class Subscription:
    """One table, and what is done with its changes.

    `on_snapshot` takes all rows of all parts, `on_change` each later change.
    `on_contact` is told whether the store answered. After a change, `gather`
    tells how long to wait for more before reading again.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        parts: Callable[[], Sequence[str]],
        on_snapshot: Callable[[list[RowChange]], None],
        on_change: Callable[[RowChange], None],
        on_contact: Callable[[bool, str], None],
        gather: Callable[[], timedelta],
        pause: Pause,
    ) -> None:
        self._store = store
        self._table = table
        self._parts = parts
        self._on_snapshot = on_snapshot
        self._on_change = on_change
        self._on_contact = on_contact
        self._gather = gather
        self._pause = pause
        self._backoff = Backoff()

    def run(self) -> None:
        """Follow the table until the process ends."""
        while not self._pause.has_ended():
            version = self._read_all()
            while version is not None and not self._pause.has_ended():
                version = self._follow(version)
        self._store.close()

    def _read_all(self) -> int | None:
        rows: list[RowChange] = []
        version: int | None = None
        for part in self._parts():
            page = self._store.read(self._table, part)
            if page.is_error():
                self._fail(page.error)
                return None
            rows += page.ok.changes
            # Changes since the first part's version may come twice, none is missed.
            version = page.ok.version if version is None else version
        self._succeed()
        self._on_snapshot(rows)
        return version

    def _follow(self, version: int) -> int | None:
        page = self._store.watch(self._table, version, _WATCH)
        if page.is_error():
            if page.error.failure is RowsFailure.HISTORY_GONE:
                eliot.log_message("store:history_gone", table=self._table)
                return None
            self._fail(page.error)
            return version
        self._succeed()
        for change in page.ok.changes:
            self._on_change(change)
        if page.ok.changes:
            self._pause(self._gather())
        return max(version, page.ok.version)

    def _succeed(self) -> None:
        self._backoff.reset()
        self._on_contact(True, self._table)

    def _fail(self, error: RowsError) -> None:
        self._on_contact(False, f"{self._table}: {error.failure.value} {error.detail}")
        self._pause(self._backoff.next_pause())
