"""In-memory platform for single-process use, the demonstration and tests.

Several nodes in one process share it when they use the same `MemoryPlatform`.
"""

from __future__ import annotations

import threading
from collections.abc import Sequence
from datetime import datetime
from typing import TYPE_CHECKING

from expression import Error, Ok, Result
from sortedcontainers import SortedDict

from ..kernel import hookimpl
from .interface import ANY_VERSION, Failure, PlatformError, Row, Write

if TYPE_CHECKING:
    from ..clock import Clock
    from ..settings import PlatformSettings

__all__ = ["MemoryObjects", "MemoryPlatform", "MemoryTable"]


class MemoryTable:
    """A transactional table in memory."""

    def __init__(self, clock: Clock) -> None:
        self.writes = 0
        self.reads = 0
        self._clock = clock
        self._rows: SortedDict = SortedDict()
        self._expiry: dict[str, datetime] = {}
        self._lock = threading.Lock()

    def get(self, key: str) -> Result[Row | None, PlatformError]:
        """Return a row, or None when there is none."""
        with self._lock:
            self.reads += 1
            return Ok(self._find(key))

    def scan(self, prefix: str, limit: int) -> Result[tuple[Row, ...], PlatformError]:
        """Return the first rows, by key, whose key starts with `prefix`."""
        with self._lock:
            self.reads += 1
            keys = list(self._rows.irange(prefix, prefix + "\U0010ffff"))
            rows = (self._find(key) for key in keys)
            return Ok(tuple(row for row in rows if row is not None)[:limit])

    def commit(self, writes: Sequence[Write]) -> Result[None, PlatformError]:
        """Apply all writes, or none when any expected version differs."""
        with self._lock:
            for write in writes:
                row = self._find(write.key)
                version = row.version if row else 0
                if write.expected not in (ANY_VERSION, version):
                    detail = f"{write.key} is at version {version}"
                    return Error(PlatformError(Failure.CONFLICT, detail))
            for write in writes:
                self._apply(write)
            return Ok(None)

    def _find(self, key: str) -> Row | None:
        expires_at = self._expiry.get(key)
        if expires_at is not None and expires_at <= self._clock.now():
            self._rows.pop(key, None)
            self._expiry.pop(key, None)
        return self._rows.get(key)

    def _apply(self, write: Write) -> None:
        self.writes += 1
        self._expiry.pop(write.key, None)
        if write.value is None:
            self._rows.pop(write.key, None)
            return
        row = self._rows.get(write.key)
        version = row.version + 1 if row else 1
        self._rows[write.key] = Row(write.key, write.value, version)
        if write.lifetime is not None:
            self._expiry[write.key] = self._clock.now() + write.lifetime


class MemoryObjects:
    """An object store in memory."""

    def __init__(self) -> None:
        self.writes = 0
        self._objects: dict[str, bytes] = {}
        self._lock = threading.Lock()

    def get(self, name: str) -> Result[bytes | None, PlatformError]:
        """Return an object, or None when there is none."""
        return Ok(self._objects.get(name))

    def put(self, name: str, data: bytes) -> Result[None, PlatformError]:
        """Store an object atomically, replacing any of the same name."""
        with self._lock:
            self.writes += 1
            self._objects[name] = data
        return Ok(None)

    def names(self, prefix: str) -> Result[tuple[str, ...], PlatformError]:
        """Return the names that start with `prefix`, sorted."""
        with self._lock:
            return Ok(tuple(sorted(n for n in self._objects if n.startswith(prefix))))


class MemoryPlatform:
    """Table and object store in the memory of this process."""

    def __init__(self, clock: Clock) -> None:
        self.table = MemoryTable(clock)
        self.objects = MemoryObjects()


@hookimpl
def cyclamenvane_open_platform(
    settings: PlatformSettings, clock: Clock
) -> MemoryPlatform | None:
    """Return an in-memory platform for the kind `memory`, else None."""
    return MemoryPlatform(clock) if settings.kind == "memory" else None
