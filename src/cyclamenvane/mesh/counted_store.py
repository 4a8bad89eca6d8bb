"""A connection to the store whose calls are counted by kind and outcome."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from typing import TYPE_CHECKING, TypeVar

from expression import Result

from .rows import RowsError, RowsPage, RowStore, RowWrite, StoreVersion

if TYPE_CHECKING:
    from .metric import Metrics

__all__ = ["CountedStore"]

_T = TypeVar("_T")


class CountedStore:
    """Passes calls on to a store and counts them."""

    def __init__(self, store: RowStore, metrics: Metrics) -> None:
        self._store = store
        self._metrics = metrics

    def read(self, table: str, part: str) -> Result[RowsPage, RowsError]:
        """Return all rows of a part, as of the returned version or a later one."""
        return self._count("read", self._store.read(table, part))

    def watch(
        self, table: str, after: StoreVersion, wait: timedelta
    ) -> Result[RowsPage, RowsError]:
        """Wait for changes of a table that are newer than version `after`."""
        return self._count("watch", self._store.watch(table, after, wait))

    def write(self, writes: Sequence[RowWrite]) -> Result[StoreVersion, RowsError]:
        """Apply all writes, which are of one part, or none; return the new version."""
        return self._count("write", self._store.write(writes))

    def interrupt(self) -> None:
        """Let the call in progress, if any, fail; for use by other tasks."""
        self._store.interrupt()

    def close(self) -> None:
        """Close the connection; the next call opens another."""
        self._store.close()

    def _count(self, kind: str, result: Result[_T, RowsError]) -> Result[_T, RowsError]:
        self._metrics.record_store_call(kind, result.is_ok())
        return result
