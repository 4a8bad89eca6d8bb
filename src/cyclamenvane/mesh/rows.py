"""The interface of a store of versioned rows, as a mesh node uses it.

Rows are stored in tables, and each table consists of parts; a single counter
numbers all changes of the store. An adapter implements `RowStore` for a platform.

A store that is restored from an older copy has lost the changes since, and gives their
numbers out again. Its epoch rises each time, so a version is an epoch and a number.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import NamedTuple, Protocol

from expression import Result

__all__ = [
    "RowChange",
    "RowStore",
    "RowWrite",
    "RowsError",
    "RowsFailure",
    "RowsPage",
    "StoreVersion",
    "StoredRow",
]


class StoreVersion(NamedTuple):
    """A version of the store; a later one compares greater."""

    epoch: int
    number: int

    def of_missing_row(self) -> StoreVersion:
        """Return the version to expect of a row that did not exist at this one."""
        return StoreVersion(self.epoch, 0)

    def __str__(self) -> str:
        return f"{self.epoch}.{self.number}"


class RowsFailure(Enum):
    """Why a call to the store failed; only UNKNOWN may have had an effect."""

    UNAVAILABLE = "unavailable"
    CONFLICT = "conflict"
    HISTORY_GONE = "history gone"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RowsError:
    """A failed call, with a human-readable detail.

    `epoch` is the store's, 0 if it did not answer.
    """

    failure: RowsFailure
    detail: str = ""
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A stored row and its version."""

    part: str
    key: str
    value: bytes
    version: StoreVersion


@dataclass(frozen=True, slots=True)
class RowChange:
    """The current state of one row; `row` is None if it was deleted.

    `version` is that of the change, None if it is not known.
    """

    part: str
    key: str
    row: StoredRow | None
    version: StoreVersion | None = None


@dataclass(frozen=True, slots=True)
class RowsPage:
    """Rows, and the store version up to which they are complete."""

    changes: tuple[RowChange, ...]
    version: StoreVersion


@dataclass(frozen=True, slots=True)
class RowWrite:
    """A write of one row, or its deletion when `value` is None.

    `expected` is the number of the version that the row must have: 0 if it must not
    exist, None for any.
    """

    table: str
    part: str
    key: str
    value: bytes | None
    expected: int | None = None


class RowStore(Protocol):
    """A connection to the store, for use by one task."""

    def read(self, table: str, part: str) -> Result[RowsPage, RowsError]:
        """Return all rows of a part, as of the returned version or a later one."""

    def watch(
        self, table: str, after: StoreVersion, wait: timedelta
    ) -> Result[RowsPage, RowsError]:
        """Wait for changes of a table that are newer than version `after`.

        Fail with HISTORY_GONE if the store does not know all of them, as after it was
        restored.
        """

    def write(self, writes: Sequence[RowWrite]) -> Result[StoreVersion, RowsError]:
        """Apply all writes, which are of one part, or none; return the new version."""

    def interrupt(self) -> None:
        """Let the call in progress, if any, fail; for use by other tasks."""

    def close(self) -> None:
        """Close the connection; the next call opens another."""
