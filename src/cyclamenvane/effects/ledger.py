"""State of the tickets that one session may execute.

A ticket goes from unseen to running, then to done, unknown or refused, and never
back. A refused ticket stays refused, so a "not run" response remains true when
another copy of the request arrives later. A copy that arrives while the first is
running waits for the same response; a later copy gets the recorded response.
"""

from __future__ import annotations

import threading
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from ..calls import Outcome, Response
from .ticket import EPOCH, EPOCHS_KEPT, Ticket, mint_ticket

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["BeginResult", "Ledger", "OutcomeRecord"]

_MAX_RESPONSE_BYTES = 8 * 1024 * 1024
_MAX_UNSAVED_BYTES = 4 * 1024 * 1024
_MAX_UNSAVED_RECORDS = 20_000

TicketKey = tuple[str, Ticket]


class BeginResult(Enum):
    """The result of `Ledger.begin` for one copy of a request."""

    RUN = "run"
    WAIT = "wait"
    ANSWERED = "answered"
    ARCHIVED = "archived"
    NOT_HERE = "not here"


@dataclass(frozen=True, slots=True)
class OutcomeRecord:
    """The recorded outcome of one ticket, as written to the archive."""

    caller: str
    ticket: Ticket
    response: Response


class _Entry:
    __slots__ = ("response", "waiters")

    def __init__(self) -> None:
        self.response: Response | None = None
        self.waiters: list[Callable[[Response], None]] = []


class Ledger:
    """The tickets of one session, keyed by caller and ticket."""

    def __init__(self, session: str, clock: Clock) -> None:
        self.session = session
        self._clock = clock
        self._started_at = clock.monotonic()
        self._epochs: OrderedDict[int, dict[TicketKey, _Entry]] = OrderedDict()
        self._unsaved: deque[OutcomeRecord] = deque()
        self._unsaved_bytes = 0
        self._has_lost_outcomes = False
        self._responses: OrderedDict[TicketKey, int] = OrderedDict()
        self._response_bytes = 0
        self._running = 0
        self._closed = False
        self._lock = threading.Lock()

    @property
    def epoch(self) -> int:
        """The current epoch of this session, in minutes since its start."""
        return (self._clock.monotonic() - self._started_at) // EPOCH

    @property
    def running(self) -> int:
        """The number of tickets whose requests are running."""
        return self._running

    @property
    def complete(self) -> bool:
        """Whether each outcome of the session was archived or is held in memory."""
        return not self._has_lost_outcomes

    def mint(self) -> Ticket:
        """Return a new ticket that only this session may execute."""
        return mint_ticket(self.session, self.epoch)

    def begin(
        self, caller: str, ticket: Ticket, on_response: Callable[[Response], None]
    ) -> BeginResult:
        """Register a copy of a request and return how to handle it.

        After RUN the caller of this method must execute the request and call
        `finish`. For WAIT and ANSWERED, `on_response` is called with the ticket's
        response. ARCHIVED: a response can only be in the archive. NOT_HERE: this
        session must not execute the ticket.
        """
        if ticket.session != self.session:
            return BeginResult.NOT_HERE
        with self._lock:
            result, response = self._begin_locked(caller, ticket, on_response)
        if response is not None:
            on_response(response)
        return result

    def finish(self, caller: str, ticket: Ticket, response: Response) -> None:
        """Record the target's response or the final refusal for a ticket."""
        self._record_response(caller, ticket, response)

    def take_unsaved(self) -> list[OutcomeRecord]:
        """Remove and return the outcomes that are not archived yet."""
        with self._lock:
            records = list(self._unsaved)
            self._unsaved.clear()
            self._unsaved_bytes = 0
            return records

    def restore_unsaved(self, records: list[OutcomeRecord]) -> None:
        """Put back outcomes that could not be archived."""
        with self._lock:
            self._unsaved.extendleft(reversed(records))
            self._unsaved_bytes += sum(len(record.response.body) for record in records)
            self._trim_unsaved()

    def close(self) -> None:
        """Stop accepting new tickets; `begin` then returns ARCHIVED for them."""
        with self._lock:
            self._closed = True

    def _begin_locked(
        self, caller: str, ticket: Ticket, on_response: Callable[[Response], None]
    ) -> tuple[BeginResult, Response | None]:
        current_epoch = self.epoch
        self._discard_old_epochs(current_epoch)
        if not current_epoch - EPOCHS_KEPT < ticket.epoch <= current_epoch:
            return BeginResult.ARCHIVED, None
        entries = self._epochs.setdefault(ticket.epoch, {})
        entry = entries.get((caller, ticket))
        if entry is None:
            if self._closed:
                return BeginResult.ARCHIVED, None
            entries[caller, ticket] = _Entry()
            self._running += 1
            return BeginResult.RUN, None
        if entry.response is not None:
            archived = entry.response.status == 0
            result = BeginResult.ARCHIVED if archived else BeginResult.ANSWERED
            return result, None if archived else entry.response
        entry.waiters.append(on_response)
        return BeginResult.WAIT, None

    def _record_response(self, caller: str, ticket: Ticket, response: Response) -> None:
        with self._lock:
            entry = self._epochs.get(ticket.epoch, {}).get((caller, ticket))
            assert (
                entry is None or entry.response is None
            ), "a ticket was answered twice"
            self._running -= 1
            if entry is None:
                return
            entry.response = response
            waiters, entry.waiters = entry.waiters, []
            self._unsaved.append(OutcomeRecord(caller, ticket, response))
            self._unsaved_bytes += len(response.body)
            self._trim_unsaved()
            self._cache_response((caller, ticket), response)
        for waiter in waiters:
            waiter(response)

    def _trim_unsaved(self) -> None:
        # In a long platform outage the oldest outcomes are discarded. The session can
        # then not be closed, since a ticket without an outcome may have run.
        while (
            self._unsaved_bytes > _MAX_UNSAVED_BYTES
            or len(self._unsaved) > _MAX_UNSAVED_RECORDS
        ):
            record = self._unsaved.popleft()
            self._unsaved_bytes -= len(record.response.body)
            self._has_lost_outcomes = True

    def _cache_response(self, key: TicketKey, response: Response) -> None:
        self._responses[key] = len(response.body)
        self._response_bytes += len(response.body)
        while self._response_bytes > _MAX_RESPONSE_BYTES:
            (caller, ticket), size = self._responses.popitem(last=False)
            self._response_bytes -= size
            entry = self._epochs.get(ticket.epoch, {}).get((caller, ticket))
            if entry is not None:
                entry.response = _ARCHIVED_RESPONSE

    def _discard_old_epochs(self, current_epoch: int) -> None:
        for epoch in list(self._epochs):
            if epoch > current_epoch - EPOCHS_KEPT or self._has_running(epoch):
                continue
            for key in self._epochs.pop(epoch):
                self._response_bytes -= self._responses.pop(key, 0)

    def _has_running(self, epoch: int) -> bool:
        return any(entry.response is None for entry in self._epochs[epoch].values())


_ARCHIVED_RESPONSE = Response(0, (), b"", Outcome.DONE)
