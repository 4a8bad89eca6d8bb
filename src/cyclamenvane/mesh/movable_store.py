"""A connection to the store that follows changes of its address."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import TYPE_CHECKING

import eliot
from expression import Result

if TYPE_CHECKING:
    from .model import Address
    from .rows import RowsError, RowsPage, RowStore, RowWrite, StoreVersion

__all__ = ["MovableStore"]


class MovableStore:
    """Passes each call on to the store at its present address, for use by one task.

    A call in progress stays with the earlier address until it is interrupted.
    """

    def __init__(
        self,
        open_store: Callable[[Address], RowStore],
        get_address: Callable[[], Address],
    ) -> None:
        self._open_store = open_store
        self._get_address = get_address
        self._address = get_address()
        self._store = open_store(self._address)

    def read(self, table: str, part: str) -> Result[RowsPage, RowsError]:
        """Return all rows of a part, as of the returned version or a later one."""
        return self._open().read(table, part)

    def watch(
        self, table: str, after: StoreVersion, wait: timedelta
    ) -> Result[RowsPage, RowsError]:
        """Wait for changes of a table that are newer than version `after`."""
        return self._open().watch(table, after, wait)

    def write(self, writes: Sequence[RowWrite]) -> Result[StoreVersion, RowsError]:
        """Apply all writes, which are of one part, or none; return the new version."""
        return self._open().write(writes)

    def interrupt(self) -> None:
        """Let the call in progress, if any, fail; for use by other tasks."""
        self._store.interrupt()

    def interrupt_moved(self) -> None:
        """Interrupt if the address has changed; for use by other tasks."""
        if self._get_address() != self._address:
            self._store.interrupt()

    def close(self) -> None:
        """Close the connection; the next call opens another."""
        self._store.close()

    def _open(self) -> RowStore:
        address = self._get_address()
        if address != self._address:
            self._store.close()
            self._store = self._open_store(address)
            self._address = address
            eliot.log_message("store:moved", address=f"{address[0]}:{address[1]}")
        return self._store
