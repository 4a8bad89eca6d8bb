"""Publishes the record of this node, and decodes the records of others.

A record is a row of the nodes table, in the part of its zone, so that the writes
of many starting nodes spread over the parts. Each write names the expected version
of the row: a write that the store performs late cannot overwrite a newer one. What an
earlier process of the node has written is read before it is overwritten. A
record that the store has lost, or has an older version of, is written again; that of
another node only if it says that its target is leaving, since that node may be gone.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from ipaddress import IPv4Address
from typing import TYPE_CHECKING, Any

import eliot
import msgpack

from .model import MAX_PORT, MAX_SLOTS, MAX_TIME_MS, Address, Incarnation, NodeRecord
from .rows import RowsFailure, RowStore, RowWrite, StoreVersion
from .subscription import Backoff

if TYPE_CHECKING:
    from .stop_event import Sleep

__all__ = ["NODES_TABLE", "RecordPublisher", "decode_record", "encode_record"]

NODES_TABLE = "cyclamenvane-nodes"


class RecordPublisher:
    """Keeps the stored record of this node up to date."""

    def __init__(
        self,
        store: RowStore,
        make_record: Callable[[], NodeRecord],
        restore: Callable[[NodeRecord | None], None],
        sleep: Sleep,
    ) -> None:
        self._store = store
        self.make_record = make_record
        self._restore = restore  # gets the record of an earlier process
        self._sleep = sleep
        self._write_requested = threading.Event()
        self._row_version: StoreVersion | None = None
        self._stored: NodeRecord | None = None  # as it was read or written
        self._stored_changed = threading.Condition()
        self._outdated_at: StoreVersion | None = None
        self._lost_records: deque[tuple[NodeRecord, StoreVersion]] = deque()

    def offer_row(self, version: StoreVersion, record: NodeRecord | None) -> None:
        """Use this node's row as it was read, with number 0 and None for no row."""
        if self._row_version is None:
            self._take_row(version, record)

    def wait_until_stored(
        self, is_wanted: Callable[[NodeRecord], bool], timeout: timedelta
    ) -> NodeRecord | None:
        """Wait until the stored record is a wanted one; return it, or None."""

        def is_stored() -> bool:
            return self._stored is not None and is_wanted(self._stored)

        with self._stored_changed:
            stored = self._stored_changed.wait_for(is_stored, timeout.total_seconds())
            return self._stored if stored else None

    def request_rewrite(self, outdated_at: StoreVersion) -> None:
        """Request a write of the record, which the store had not at a version.

        It may have been written since then.
        """
        if self._outdated_at is None or self._outdated_at < outdated_at:
            self._outdated_at = outdated_at
        self._write_requested.set()

    def restore_record(self, record: NodeRecord, expected: StoreVersion) -> None:
        """Request a write of another node's record that the store has lost.

        `expected` is the version of the row that the store has, number 0 for none.
        """
        self._lost_records.append((record, expected))
        self._write_requested.set()

    def request_write(self) -> None:
        """Request a write of the record, unless it is stored already."""
        self._write_requested.set()

    def run(self) -> None:
        """Write the record after each request, until the node stops."""
        while not self._sleep.is_stopped():
            self._write_requested.wait()
            self._write_requested.clear()
            backoff = Backoff()
            while not self._sleep.is_stopped() and not self._write_all():
                self._sleep(backoff.next_delay())
        self._store.close()

    def _write_all(self) -> bool:
        return self._write() and self._write_lost_records()

    def _write_lost_records(self) -> bool:
        while self._lost_records:
            record, expected = self._lost_records[0]
            result = self._store.write([_make_write(record, expected)])
            if result.is_error() and result.error.failure is not RowsFailure.CONFLICT:
                eliot.log_message(
                    "node:record_not_written",
                    key=record.node,
                    error=result.error.detail,
                )
                return False
            # After a conflict the row is newer: its node or another one has written it.
            self._lost_records.popleft()
            eliot.log_message(
                "node:record_restored", node=record.node, written=result.is_ok()
            )
        return True

    def _write(self) -> bool:
        self._forget_outdated()
        row_version = self._row_version or self._read_row()
        if row_version is None:
            return False
        record = self.make_record()
        if record == self._stored:
            return True
        result = self._store.write([_make_write(record, row_version)])
        if result.is_ok():
            self._row_version = result.ok
            self._set_stored(record)
            _log_record("node:record_written", record, record, result.ok)
            return True
        # The row may have been written, so it has to be read again.
        self._row_version = None
        self._set_stored(None)
        if result.error.failure is not RowsFailure.CONFLICT:
            eliot.log_message("node:record_not_written", error=result.error.detail)
        return False

    def _forget_outdated(self) -> None:
        row_version, outdated_at = self._row_version, self._outdated_at
        if row_version is None or outdated_at is None or outdated_at < row_version:
            return
        self._set_stored(None)
        if row_version < outdated_at:
            self._row_version = None

    def _read_row(self) -> StoreVersion | None:
        own = self.make_record()
        page = self._store.read(NODES_TABLE, own.zone)
        if page.is_error():
            eliot.log_message("node:record_not_read", error=page.error.detail)
            return None
        version, stored = page.ok.version.of_missing_row(), None
        for change in page.ok.changes:
            if change.key == own.node and change.row is not None:
                version, stored = change.row.version, decode_record(change.row.value)
        self._take_row(version, stored)
        self._restore(None if _is_same_process(stored, own) else stored)
        return version

    def _take_row(self, version: StoreVersion, record: NodeRecord | None) -> None:
        own = self.make_record()
        self._row_version = version
        self._set_stored(record)
        if record is not None:
            _log_record("node:record_read", own, record, version)

    def _set_stored(self, record: NodeRecord | None) -> None:
        with self._stored_changed:
            self._stored = record
            self._stored_changed.notify_all()


def _is_same_process(record: NodeRecord | None, own: NodeRecord) -> bool:
    return record is not None and record.session == own.session


def _log_record(
    event: str, own: NodeRecord, stored: NodeRecord, version: StoreVersion
) -> None:
    incarnation = stored.incarnation
    eliot.log_message(
        event,
        node=own.node,
        session=own.session,
        written_by=stored.session,
        instance=incarnation.instance if incarnation else None,
        born=incarnation.started_ms if incarnation else None,
        leaving=stored.leaving,
        version=version,
    )


def _make_write(record: NodeRecord, expected: StoreVersion) -> RowWrite:
    data = encode_record(record)
    return RowWrite(NODES_TABLE, record.zone, record.node, data, expected.number)


def encode_record(record: NodeRecord) -> bytes:
    """Return a record encoded as msgpack."""
    incarnation = record.incarnation
    return msgpack.packb(
        [
            record.node,
            record.session,
            record.zone,
            *record.address,
            record.service,
            record.slots,
            record.leaving,
            [incarnation.started_ms, incarnation.instance] if incarnation else None,
        ]
    )


def decode_record(data: bytes) -> NodeRecord | None:
    """Return the decoded record, or None when the data is not a record.

    Another writer may have left the data, so each field is checked here: elsewhere,
    records are compared, and their addresses connected to.
    """
    try:
        node, session, zone, host, port, service, slots, leaving, started = (
            msgpack.unpackb(data)
        )
        return NodeRecord(
            _check_name(node),
            _check_number(session, MAX_TIME_MS),
            _check_type(zone, str),
            _decode_address(host, port),
            _check_type(service, str),
            _check_number(slots, MAX_SLOTS),
            _check_type(leaving, bool),
            _decode_incarnation(*started) if started is not None else None,
        )
    except (ValueError, TypeError, RecursionError, msgpack.UnpackException):
        return None


def _decode_incarnation(started_ms: Any, instance: Any) -> Incarnation:
    return Incarnation(_check_number(started_ms, MAX_TIME_MS), _check_name(instance))


def _decode_address(host: Any, port: Any) -> Address:
    if not _check_number(port, MAX_PORT):
        raise ValueError("port 0")
    return str(IPv4Address(_check_name(host))), port


def _check_type(value: Any, kind: type) -> Any:
    # A bool is an instance of int, but no number.
    if type(value) is not kind:
        raise TypeError(f"{type(value).__name__} in place of {kind.__name__}")
    return value


def _check_name(value: Any) -> str:
    if not _check_type(value, str):
        raise ValueError("an empty name")
    return value


def _check_number(value: Any, largest: int) -> int:
    if not 0 <= _check_type(value, int) <= largest:
        raise ValueError(f"a number out of range: {value}")
    return value
