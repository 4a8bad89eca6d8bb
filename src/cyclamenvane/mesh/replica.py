"""This node's copy of the tables of the store that it follows.

The copy is filled by the store itself, or by another node that relays the store.
Row versions come from the store's single counter, so updates from several sources
can be applied in any order: an older one never replaces a newer one. After the store
was restored, all rows are replaced, and updates of its earlier epoch are ignored. The
copy answers which rows have changed since a version, so that this node can relay the
store too.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta

import eliot

from .rows import RowChange, StoreVersion

__all__ = ["StoreReplica", "TableCallbacks", "TableUpdate"]


@dataclass(frozen=True, slots=True)
class TableCallbacks:
    """What is called with a table's rows, in the order of the updates.

    `on_snapshot` gets all rows and the version that they are as of, after some changes
    may have been missed; `on_change` gets each change of a row. Neither may call the
    replica.
    """

    on_snapshot: Callable[[list[RowChange], StoreVersion], None]
    on_change: Callable[[RowChange], None]


@dataclass(frozen=True, slots=True)
class TableUpdate:
    """The changes of a table up to `version`; all its rows if `complete`."""

    table: str
    complete: bool
    changes: tuple[RowChange, ...]
    version: StoreVersion


class StoreReplica:
    """The rows of some tables, each as of a version of the store."""

    def __init__(self, tables: Mapping[str, TableCallbacks]) -> None:
        self._changed = threading.Condition()
        self._tables = {
            name: _TableReplica(name, callbacks) for name, callbacks in tables.items()
        }

    def versions(self) -> dict[str, StoreVersion | None]:
        """Return the version of each table, None before its first snapshot."""
        with self._changed:
            return {name: table.version for name, table in self._tables.items()}

    def apply(self, update: TableUpdate) -> None:
        """Apply an update and call the callbacks of its table."""
        with self._changed:
            table = self._tables.get(update.table)
            if table is not None:
                table.apply(update)
                self._changed.notify_all()

    def wait_for_updates(
        self, versions: Mapping[str, StoreVersion | None], timeout: timedelta
    ) -> list[TableUpdate]:
        """Return the updates since some versions; wait for them if there are none."""
        with self._changed:
            updates = self._list_updates(versions)
            if not any(update.complete or update.changes for update in updates):
                self._changed.wait(timeout.total_seconds())
                updates = self._list_updates(versions)
            return updates

    def wake(self) -> None:
        """End all waits for updates."""
        with self._changed:
            self._changed.notify_all()

    def _list_updates(
        self, versions: Mapping[str, StoreVersion | None]
    ) -> list[TableUpdate]:
        updates = []
        for name, version in versions.items():
            table = self._tables.get(name)
            if table is not None and table.version is not None:
                updates.append(table.make_update(version, table.version))
        return updates


class _TableReplica:
    """One table; a deleted row is kept as a change without a row."""

    def __init__(self, name: str, callbacks: TableCallbacks) -> None:
        self.version: StoreVersion | None = None
        self._name = name
        self._callbacks = callbacks
        self._changes: dict[tuple[str, str], RowChange] = {}
        self._complete_since = StoreVersion(0, 0)

    def apply(self, update: TableUpdate) -> None:
        known = self.version
        if known is not None and update.version.epoch < known.epoch:
            return  # the store has been restored since
        if update.complete and (known is None or update.version >= known):
            self._replace(update)
        elif known is None or update.version.epoch > known.epoch:
            return  # a change says nothing about the other rows
        else:
            for change in self._store_newer(update.changes, update.version):
                self._callbacks.on_change(change)
        self.version = update.version if known is None else max(known, update.version)

    def make_update(
        self, after: StoreVersion | None, version: StoreVersion
    ) -> TableUpdate:
        if after is None or after < self._complete_since:
            rows = tuple(each for each in self._changes.values() if each.row)
            return TableUpdate(self._name, True, rows, version)
        changes = sorted(
            (each for each in self._changes.values() if each.version > after),
            key=lambda change: change.version,
        )
        return TableUpdate(self._name, False, tuple(changes), version)

    def _replace(self, update: TableUpdate) -> None:
        if self.version is None or update.version.epoch > self.version.epoch:
            self._complete_since = update.version
        found = {(change.part, change.key) for change in update.changes}
        for key, known in self._changes.items():
            if key not in found and known.row and known.version <= update.version:
                self._changes[key] = replace(known, row=None, version=update.version)
        for _ in self._store_newer(update.changes, update.version):
            pass
        rows = [change for change in self._changes.values() if change.row]
        self._callbacks.on_snapshot(rows, update.version)

    def _store_newer(
        self, changes: Iterable[RowChange], version: StoreVersion
    ) -> Iterable[RowChange]:
        for change in changes:
            # A deletion without a version of its own is as new as its update.
            change = replace(change, version=change.version or version)
            key = change.part, change.key
            known = self._changes.get(key)
            if known is None or known.version < change.version:
                self._changes[key] = change
                yield change
            elif change.row is not None and not _has_same_value(change, known):
                eliot.log_message(
                    "store:row_ignored",
                    table=self._name,
                    key=change.key,
                    version=change.version,
                    known_version=known.version,
                )


def _has_same_value(change: RowChange, known: RowChange) -> bool:
    return known.row is not None and change.row.value == known.row.value
