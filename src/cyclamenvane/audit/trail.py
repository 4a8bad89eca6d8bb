"""The audit trail of operators' changes and automatic actions.

An operator's change is recorded in the platform's table in the same transaction as
the change itself. Automatic actions are buffered at each node and written to the
object store in batches, to avoid one write per action.
"""

from __future__ import annotations

import itertools
import threading
from collections import deque
from dataclasses import dataclass
from datetime import datetime, timezone
from typing import TYPE_CHECKING

import eliot
import msgpack
from expression import Result

from ..store import ObjectStore, PlatformError, Row, Table

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = [
    "ActionLog",
    "AuditEntry",
    "dump_entry",
    "list_actions",
    "list_changes",
    "load_entry",
    "make_change_key",
]

_CHANGES = "audit/"
_ACTIONS = "actions/"
_MAX_UNSAVED = 1000


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """One entry of the audit trail.

    `who` is an operator, or a node in the case of an automatic action. `before`
    and `after` are versions of the subject, or 0 if it has none.
    """

    when: datetime
    who: str
    action: str
    subject: str
    before: int = 0
    after: int = 0
    detail: str = ""


def dump_entry(entry: AuditEntry) -> bytes:
    """Return the entry encoded as bytes."""
    return msgpack.packb(_to_fields(entry))


def load_entry(data: bytes) -> AuditEntry:
    """Decode an entry encoded by `dump_entry`."""
    return _from_fields(msgpack.unpackb(data))


def make_change_key(when: datetime, edit: str) -> str:
    """Return the table key of an operator's change; keys sort by time."""
    return f"{_CHANGES}{when.astimezone(timezone.utc):%Y-%m-%dT%H:%M:%S.%f}/{edit}"


def list_changes(
    table: Table, prefix: str, limit: int
) -> Result[tuple[AuditEntry, ...], PlatformError]:
    """Return operators' changes whose time starts with `prefix`, oldest first.

    `limit` is the maximum number of rows read.
    """

    def load(rows: tuple[Row, ...]) -> tuple[AuditEntry, ...]:
        return tuple(load_entry(row.value) for row in rows)

    return table.scan(_CHANGES + prefix, limit).map(load)


def list_actions(objects: ObjectStore, prefix: str) -> tuple[AuditEntry, ...]:
    """Return the automatic actions whose time starts with `prefix`, oldest first.

    Objects that cannot be read are skipped.
    """
    names = objects.names(_ACTIONS + prefix)
    entries: list[AuditEntry] = []
    for name in names.ok if names.is_ok() else ():
        data = objects.get(name)
        if data.is_ok() and data.ok:
            entries += [_from_fields(each) for each in msgpack.unpackb(data.ok)]
    return tuple(sorted(entries, key=lambda entry: entry.when))


class ActionLog:
    """Buffers the automatic actions of one node until they are written."""

    def __init__(self, node: str, clock: Clock) -> None:
        self._node = node
        self._clock = clock
        self._unsaved: deque[AuditEntry] = deque(maxlen=_MAX_UNSAVED)
        self._numbers = itertools.count()
        self._lock = threading.Lock()

    def record(self, action: str, subject: str, detail: str = "") -> None:
        """Log an automatic action of this node and add it to the buffer."""
        entry = AuditEntry(self._clock.now(), self._node, action, subject, 0, 0, detail)
        eliot.log_message(f"audit:{action}", subject=subject, detail=detail)
        with self._lock:
            self._unsaved.append(entry)

    def unsaved(self) -> tuple[AuditEntry, ...]:
        """Return the actions not yet written."""
        with self._lock:
            return tuple(self._unsaved)

    def save(self, objects: ObjectStore) -> None:
        """Write the buffered actions as one object; keep them if writing fails."""
        with self._lock:
            batch = list(self._unsaved)
        if not batch:
            return
        when = self._clock.now()
        name = f"{_ACTIONS}{when:%Y-%m-%dT%H:%M:%S}/{self._node}/{next(self._numbers)}"
        data = msgpack.packb([_to_fields(entry) for entry in batch])
        if objects.put(name, data).is_ok():
            with self._lock:
                for _ in batch:
                    self._unsaved.popleft()


def _to_fields(entry: AuditEntry) -> tuple:
    return (
        entry.when.timestamp(),
        entry.who,
        entry.action,
        entry.subject,
        entry.before,
        entry.after,
        entry.detail,
    )


def _from_fields(fields: list) -> AuditEntry:
    return AuditEntry(datetime.fromtimestamp(fields[0], timezone.utc), *fields[1:])
