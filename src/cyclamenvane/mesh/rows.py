"""What a mesh node needs of a store of versioned rows.

Rows lie in tables, and within a table in parts; one counter numbers all
changes of the store. An adapter implements `RowStore` for a platform.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Protocol

from expression import Result

__all__ = [
    "Change",
    "RowChange",
    "RowStore",
    "RowsError",
    "RowsFailure",
    "RowsPage",
    "StoredRow",
]


class RowsFailure(Enum):
    """How a call to the store failed; only UNKNOWN may have had an effect."""

    UNAVAILABLE = "unavailable"
    CONFLICT = "conflict"
    HISTORY_GONE = "history gone"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RowsError:
    """A failed call, with a detail for people."""

    failure: RowsFailure
    detail: str = ""


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row as it is stored."""

    part: str
    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class RowChange:
    """The present state of one row; `row` is None when it was deleted."""

    part: str
    key: str
    row: StoredRow | None


@dataclass(frozen=True, slots=True)
class RowsPage:
    """Rows, and the version of the store up to which they are complete."""

    changes: tuple[RowChange, ...]
    version: int


@dataclass(frozen=True, slots=True)
class Change:
    """A write of one row, or its deletion when `value` is None.

    `expected` is the version that the row must have, 0 for no row, or None for
    any.
    """

    table: str
    part: str
    key: str
    value: bytes | None
    expected: int | None = None


class RowStore(Protocol):
    """A connection to the store, for use by one task."""

    def read(self, table: str, part: str) -> Result[RowsPage, RowsError]:
        """Return all rows of a part, as of one version or a later one."""

    def watch(
        self, table: str, after: int, wait: timedelta
    ) -> Result[RowsPage, RowsError]:
        """Wait for changes of a table that are newer than version `after`."""

    def write(self, changes: Sequence[Change]) -> Result[int, RowsError]:
        """Make all the changes of one part, or none; return the new version."""

    def close(self) -> None:
        """Close the connection; the next call opens another."""
