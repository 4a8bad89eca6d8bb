"""Interface to the platform's transactional table and object store."""

from __future__ import annotations

from .interface import (
    ANY_VERSION,
    Failure,
    ObjectStore,
    Platform,
    PlatformError,
    Row,
    Table,
    Write,
)
from .memory import MemoryPlatform

__all__ = [
    "ANY_VERSION",
    "Failure",
    "MemoryPlatform",
    "ObjectStore",
    "Platform",
    "PlatformError",
    "Row",
    "Table",
    "Write",
]
