"""Recorded outcomes in the platform's object store.

A node run writes its new outcomes in batches, one object each, named by run and
epoch. When it ends in good order it also writes a closing object: a ticket of a
closed run that has no recorded outcome was never run and never will be.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

import msgpack
from expression import Error, Ok, Result

from ..calls import Answer, Outcome, Refusal, refuse_call, report_unknown
from ..store import ObjectStore, PlatformError
from .ledger import Ledger, Record
from .ticket import Ticket, format_ticket

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["Archive", "pack_answer", "unpack_answer"]

_PREFIX = "outcomes"
_CLOSED = "closed"


class Archive:
    """Writes one run's outcomes, and finds those of other runs."""

    def __init__(self, objects: ObjectStore, ledger: Ledger) -> None:
        self._objects = objects
        self._ledger = ledger
        self._numbers = itertools.count()

    def save(self) -> bool:
        """Write the outcomes that are new; return False when some were not."""
        records = self._ledger.take_unsaved()
        epochs: dict[int, list[Record]] = {}
        for record in records:
            epochs.setdefault(record.ticket.epoch, []).append(record)
        failed: list[Record] = []
        for epoch, batch in epochs.items():
            name = f"{_PREFIX}/{self._ledger.session}/{epoch}/{next(self._numbers)}"
            if self._objects.put(name, _pack_records(batch)).is_error():
                failed += batch
        self._ledger.put_back(failed)
        return not failed

    def close(self) -> bool:
        """Write what is left and mark the run as closed; say whether that worked."""
        self._ledger.close()
        if self._ledger.running or not self.save() or not self._ledger.complete:
            return False
        name = f"{_PREFIX}/{self._ledger.session}/{_CLOSED}"
        return self._objects.put(name, b"").is_ok()

    def find(self, caller: str, ticket: Ticket) -> Answer:
        """Return the recorded answer of a ticket, or what else is known of it.

        The run is looked up as closed before its outcomes are read, since it
        closes only after the last of them has been written.
        """
        closed = self._objects.get(f"{_PREFIX}/{ticket.session}/{_CLOSED}")
        found = self._search(caller, ticket)
        if closed.is_error() or found.is_error():
            return report_unknown(Refusal.PLATFORM)
        if found.ok is not None:
            return found.ok
        if closed.ok is not None:
            return refuse_call(Refusal.NO_RECORD, "it had not run the request")
        return report_unknown(Refusal.NO_RECORD, "it left no outcome")

    def _search(
        self, caller: str, ticket: Ticket
    ) -> Result[Answer | None, PlatformError]:
        names = self._objects.names(f"{_PREFIX}/{ticket.session}/{ticket.epoch}/")
        if names.is_error():
            return Error(names.error)
        for name in names.ok:
            data = self._objects.get(name)
            if data.is_error():
                return Error(data.error)
            for record in _unpack_records(data.ok or b""):
                if record[:2] == [caller, format_ticket(ticket)]:
                    return Ok(_load_answer(record[2:]))
        return Ok(None)


def _pack_records(records: Iterable[Record]) -> bytes:
    return msgpack.packb([_dump_record(record) for record in records])


def _unpack_records(data: bytes) -> list[list[Any]]:
    return msgpack.unpackb(data) if data else []


def pack_answer(answer: Answer) -> bytes:
    """Return a whole answer as bytes."""
    return msgpack.packb(_dump_answer(answer))


def unpack_answer(data: bytes) -> Answer:
    """Return the answer in bytes that `pack_answer` made."""
    return _load_answer(msgpack.unpackb(data))


def _dump_record(record: Record) -> list[Any]:
    head = [record.caller, format_ticket(record.ticket)]
    return head + _dump_answer(record.answer)


def _dump_answer(answer: Answer) -> list[Any]:
    return [
        answer.status,
        answer.headers,
        answer.body,
        int(answer.outcome),
        int(answer.refusal),
    ]


def _load_answer(fields: list[Any]) -> Answer:
    status, headers, body, outcome, refusal = fields
    pairs = tuple((name, value) for name, value in headers)
    return Answer(status, pairs, body, Outcome(outcome), Refusal(refusal))
