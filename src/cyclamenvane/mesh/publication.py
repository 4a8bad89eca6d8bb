"""Publishes this node's record, and reads those of the other nodes.

A record is a row in the table of nodes, in the part of its zone, so that the
writes of a large start spread over the parts. Each write names the version that
the row must have: one that the store performs late cannot undo a newer one.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import eliot
import msgpack

from .model import Incarnation, NodeRecord
from .rows import Change, RowsFailure, RowStore
from .subscription import Backoff

if TYPE_CHECKING:
    from .pause import Pause

__all__ = ["NODES_TABLE", "Publication", "decode_record", "encode_record"]

NODES_TABLE = "cyclamenvane-nodes"


class Publication:
    """Keeps the row of this node as it should be."""

    def __init__(
        self, store: RowStore, make_record: Callable[[], NodeRecord], pause: Pause
    ) -> None:
        self._store = store
        self._make_record = make_record
        self._pause = pause
        self._changed = threading.Event()
        self._row_version: int | None = None

    def note_change(self) -> None:
        """Have the record written."""
        self._changed.set()

    def run(self) -> None:
        """Write the record whenever it has changed, until the process ends."""
        while not self._pause.has_ended():
            self._changed.wait()
            self._changed.clear()
            backoff = Backoff()
            while not self._pause.has_ended() and not self._write():
                self._pause(backoff.next_pause())
        self._store.close()

    def _write(self) -> bool:
        record = self._make_record()
        if self._row_version is None and not self._find_version(record):
            return False
        change = Change(
            NODES_TABLE,
            record.zone,
            record.node,
            encode_record(record),
            self._row_version,
        )
        written = self._store.write([change])
        if written.is_ok():
            self._row_version = written.ok
            return True
        # Whether it was written or not, the row's version has to be read again.
        self._row_version = None
        if written.error.failure is not RowsFailure.CONFLICT:
            eliot.log_message("node:record_not_written", error=written.error.detail)
        return False

    def _find_version(self, record: NodeRecord) -> bool:
        page = self._store.read(NODES_TABLE, record.zone)
        if page.is_error():
            return False
        rows = [each.row for each in page.ok.changes if each.key == record.node]
        self._row_version = rows[0].version if rows and rows[0] else 0
        return True


def encode_record(record: NodeRecord) -> bytes:
    """Return a record as msgpack."""
    incarnation = record.incarnation
    return msgpack.packb(
        [
            record.node,
            record.run,
            record.zone,
            *record.address,
            record.service,
            record.slots,
            record.leaving,
            [incarnation.born_ms, incarnation.instance] if incarnation else None,
        ]
    )


def decode_record(data: bytes) -> NodeRecord | None:
    """Return the record in some bytes, or None when they are something else."""
    try:
        fields: list[Any] = msgpack.unpackb(data)
        node, run, zone, host, port, service, slots, leaving, started = fields
        incarnation = Incarnation(*started) if started else None
        return NodeRecord(
            node, run, zone, (host, port), service, slots, leaving, incarnation
        )
    except (ValueError, TypeError, msgpack.UnpackException):
        return None
