"""What the library needs of the platform: a table and an object store.

Outcomes are values. A call either worked, or surely had no effect, or met a
conflict, or nobody knows: the answer was lost and the effect may have been
made, or may still be made later.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Protocol

from expression import Result

__all__ = [
    "ANY_VERSION",
    "Failure",
    "ObjectStore",
    "Platform",
    "PlatformError",
    "Row",
    "Table",
    "Write",
]

ANY_VERSION = -1


class Failure(Enum):
    """How a call to the platform failed."""

    UNAVAILABLE = "unavailable"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class PlatformError:
    """A failed call: what is known of its effect, and a detail for people."""

    failure: Failure
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table; versions count up from 1 with each write."""

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """One conditional write: `expected` is the row's version, 0 for no row.

    `value` of None deletes the row. A row with a lifetime is dropped by the
    platform some time after it.
    """

    key: str
    value: bytes | None
    expected: int = ANY_VERSION
    lifetime: timedelta | None = None


class Table(Protocol):
    """The transactional table."""

    def get(self, key: str) -> Result[Row | None, PlatformError]:
        """Return a row, or None when there is none."""

    def scan(self, prefix: str, limit: int) -> Result[tuple[Row, ...], PlatformError]:
        """Return the first rows, by key, whose key starts with `prefix`."""

    def commit(self, writes: Sequence[Write]) -> Result[None, PlatformError]:
        """Make all the writes, or none when any expected version differs."""


class ObjectStore(Protocol):
    """The object store."""

    def get(self, name: str) -> Result[bytes | None, PlatformError]:
        """Return an object, or None when there is none."""

    def put(self, name: str, data: bytes) -> Result[None, PlatformError]:
        """Store an object whole, replacing one of the same name."""

    def names(self, prefix: str) -> Result[tuple[str, ...], PlatformError]:
        """Return the names that start with `prefix`, sorted."""


class Platform(Protocol):
    """The two stores of one platform."""

    table: Table
    objects: ObjectStore
