"""Recorded outcomes in the platform's object store.

A session writes its new outcomes in batches, one object per batch, named by session
and epoch. On a clean shutdown it also writes a closing object. If a ticket of a
closed session has no recorded outcome, its request was not executed and cannot be
executed later.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

import msgpack
from expression import Error, Ok, Result

from ..calls import Outcome, Refusal, Response, make_refusal, make_unknown_response
from ..store import ObjectStore, PlatformError
from .ledger import Ledger, OutcomeRecord
from .ticket import Ticket, format_ticket

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["Archive", "pack_response", "unpack_response"]

_PREFIX = "outcomes"
_CLOSED = "closed"


class Archive:
    """Writer of this session's outcomes and reader of those of other sessions."""

    def __init__(self, objects: ObjectStore, ledger: Ledger) -> None:
        self._objects = objects
        self._ledger = ledger
        self._counter = itertools.count()

    def save(self) -> bool:
        """Write the unsaved outcomes; return False if a write failed."""
        records = self._ledger.take_unsaved()
        epochs: dict[int, list[OutcomeRecord]] = {}
        for record in records:
            epochs.setdefault(record.ticket.epoch, []).append(record)
        failed_records: list[OutcomeRecord] = []
        for epoch, batch in epochs.items():
            name = f"{_PREFIX}/{self._ledger.session}/{epoch}/{next(self._counter)}"
            if self._objects.put(name, _pack_records(batch)).is_error():
                failed_records += batch
        self._ledger.restore_unsaved(failed_records)
        return not failed_records

    def close(self) -> bool:
        """Write the remaining outcomes and mark the session as closed.

        Return False if requests are still running, a write failed, or outcomes of
        the session were lost.
        """
        self._ledger.close()
        if self._ledger.running or not self.save() or not self._ledger.complete:
            return False
        name = f"{_PREFIX}/{self._ledger.session}/{_CLOSED}"
        return self._objects.put(name, b"").is_ok()

    def find(self, caller: str, ticket: Ticket) -> Response:
        """Return the recorded response of a ticket.

        Without a record, return a "not run" response if the ticket's session is closed
        and an "unknown" response otherwise, also when the store cannot be read. The
        closing object is read before the outcomes, because a session writes it only
        after its last outcome.
        """
        closed = self._objects.get(f"{_PREFIX}/{ticket.session}/{_CLOSED}")
        found = self._find_record(caller, ticket)
        if closed.is_error() or found.is_error():
            return make_unknown_response(Refusal.PLATFORM)
        if found.ok is not None:
            return found.ok
        if closed.ok is not None:
            return make_refusal(Refusal.NO_RECORD, "it had not run the request")
        return make_unknown_response(Refusal.NO_RECORD, "it left no outcome")

    def _find_record(
        self, caller: str, ticket: Ticket
    ) -> Result[Response | None, PlatformError]:
        names = self._objects.names(f"{_PREFIX}/{ticket.session}/{ticket.epoch}/")
        if names.is_error():
            return Error(names.error)
        for name in names.ok:
            data = self._objects.get(name)
            if data.is_error():
                return Error(data.error)
            for record in _unpack_records(data.ok or b""):
                if record[:2] == [caller, format_ticket(ticket)]:
                    return Ok(_load_response(record[2:]))
        return Ok(None)


def _pack_records(records: Iterable[OutcomeRecord]) -> bytes:
    return msgpack.packb([_dump_record(record) for record in records])


def _unpack_records(data: bytes) -> list[list[Any]]:
    return msgpack.unpackb(data) if data else []


def pack_response(response: Response) -> bytes:
    """Return a complete response as bytes."""
    return msgpack.packb(_dump_response(response))


def unpack_response(data: bytes) -> Response:
    """Return the response packed by `pack_response`."""
    return _load_response(msgpack.unpackb(data))


def _dump_record(record: OutcomeRecord) -> list[Any]:
    head = [record.caller, format_ticket(record.ticket)]
    return head + _dump_response(record.response)


def _dump_response(response: Response) -> list[Any]:
    return [
        response.status,
        response.headers,
        response.body,
        int(response.outcome),
        int(response.refusal),
    ]


def _load_response(fields: list[Any]) -> Response:
    status, headers, body, outcome, refusal = fields
    pairs = tuple((name, value) for name, value in headers)
    return Response(status, pairs, body, Outcome(outcome), Refusal(refusal))
