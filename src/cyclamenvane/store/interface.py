"""Interfaces that a platform implements: a table and an object store.

Errors are returned as values, not raised. A call succeeds, fails without effect,
fails with a conflict, or has an unknown outcome: the response was lost, and the
effect may have been applied already or may still be applied later.
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
    """A failed call: what is known of its effect, and a message for operators."""

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

    A `value` of None deletes the row. The platform deletes a row with a lifetime
    some time after the lifetime has passed.
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
        """Apply all writes, or none when any expected version differs."""


class ObjectStore(Protocol):
    """The object store."""

    def get(self, name: str) -> Result[bytes | None, PlatformError]:
        """Return an object, or None when there is none."""

    def put(self, name: str, data: bytes) -> Result[None, PlatformError]:
        """Store an object atomically, replacing any of the same name."""

    def names(self, prefix: str) -> Result[tuple[str, ...], PlatformError]:
        """Return the names that start with `prefix`, sorted."""


class Platform(Protocol):
    """The two stores of one platform."""

    table: Table
    objects: ObjectStore
