"""What one node run knows of the tickets it may execute.

Each ticket moves one way: unseen, then running, then done, unknown or refused.
A refused ticket stays refused, so "not run" remains true when another copy of
the request arrives later. A copy that arrives while the first is running waits
for the same answer; one that arrives afterwards gets the recorded answer.
"""

from __future__ import annotations

import threading
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from ..calls import Answer, Outcome
from .ticket import EPOCH, EPOCHS_KEPT, Ticket, mint_ticket

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["Ledger", "Record", "Standing"]

_MOST_ANSWER_BYTES = 8 * 1024 * 1024
_MOST_UNSAVED_BYTES = 4 * 1024 * 1024
_MOST_UNSAVED = 20_000

Key = tuple[str, Ticket]


class Standing(Enum):
    """What becomes of one copy of a request that asks to be run."""

    RUN = "run"
    WAIT = "wait"
    ANSWERED = "answered"
    ARCHIVED = "archived"
    NOT_HERE = "not here"


@dataclass(frozen=True, slots=True)
class Record:
    """The recorded outcome of one ticket, ready to be archived."""

    caller: str
    ticket: Ticket
    answer: Answer


class _Entry:
    __slots__ = ("answer", "waiters")

    def __init__(self) -> None:
        self.answer: Answer | None = None
        self.waiters: list[Callable[[Answer], None]] = []


class Ledger:
    """The tickets of one node run, by caller."""

    def __init__(self, session: str, clock: Clock) -> None:
        self.session = session
        self._clock = clock
        self._began = clock.monotonic()
        self._epochs: OrderedDict[int, dict[Key, _Entry]] = OrderedDict()
        self._unsaved: deque[Record] = deque()
        self._unsaved_bytes = 0
        self._lost_outcomes = False
        self._answers: OrderedDict[Key, int] = OrderedDict()
        self._answer_bytes = 0
        self._running = 0
        self._closed = False
        self._lock = threading.Lock()

    @property
    def epoch(self) -> int:
        """The current epoch of this run."""
        return (self._clock.monotonic() - self._began) // EPOCH

    @property
    def running(self) -> int:
        """The tickets whose requests are being run."""
        return self._running

    @property
    def complete(self) -> bool:
        """Whether every outcome of this run was archived or still can be."""
        return not self._lost_outcomes

    def mint(self) -> Ticket:
        """Return a new ticket that only this run may execute."""
        return mint_ticket(self.session, self.epoch)

    def begin(
        self, caller: str, ticket: Ticket, on_answer: Callable[[Answer], None]
    ) -> Standing:
        """Ask to run a copy of a request.

        With RUN the asker must end with `finish`. With WAIT and
        ANSWERED `on_answer` gets the one answer of the ticket. ARCHIVED means
        that the answer may be found in the archive only, NOT_HERE that this run
        may not execute the ticket.
        """
        if ticket.session != self.session:
            return Standing.NOT_HERE
        with self._lock:
            standing, answer = self._look(caller, ticket, on_answer)
        if answer is not None:
            on_answer(answer)
        return standing

    def finish(self, caller: str, ticket: Ticket, answer: Answer) -> None:
        """Record the answer of a ticket: the target's, or a final refusal."""
        self._settle(caller, ticket, answer)

    def take_unsaved(self) -> list[Record]:
        """Take the outcomes that have not been archived yet."""
        with self._lock:
            taken = list(self._unsaved)
            self._unsaved.clear()
            self._unsaved_bytes = 0
            return taken

    def put_back(self, records: list[Record]) -> None:
        """Return outcomes whose archiving failed."""
        with self._lock:
            self._unsaved.extendleft(reversed(records))
            self._unsaved_bytes += sum(len(record.answer.body) for record in records)
            self._bound_unsaved()

    def close(self) -> None:
        """Run no further ticket; copies are told to look elsewhere."""
        with self._lock:
            self._closed = True

    def _look(
        self, caller: str, ticket: Ticket, on_answer: Callable[[Answer], None]
    ) -> tuple[Standing, Answer | None]:
        now = self.epoch
        self._drop_epochs(now)
        if not now - EPOCHS_KEPT < ticket.epoch <= now:
            return Standing.ARCHIVED, None
        entries = self._epochs.setdefault(ticket.epoch, {})
        entry = entries.get((caller, ticket))
        if entry is None:
            if self._closed:
                return Standing.ARCHIVED, None
            entries[caller, ticket] = _Entry()
            self._running += 1
            return Standing.RUN, None
        if entry.answer is not None:
            archived = entry.answer.status == 0
            standing = Standing.ARCHIVED if archived else Standing.ANSWERED
            return standing, None if archived else entry.answer
        entry.waiters.append(on_answer)
        return Standing.WAIT, None

    def _settle(self, caller: str, ticket: Ticket, answer: Answer) -> None:
        with self._lock:
            entry = self._epochs.get(ticket.epoch, {}).get((caller, ticket))
            assert entry is None or entry.answer is None, "a ticket was settled twice"
            self._running -= 1
            if entry is None:
                return
            entry.answer = answer
            waiters, entry.waiters = entry.waiters, []
            self._unsaved.append(Record(caller, ticket, answer))
            self._unsaved_bytes += len(answer.body)
            self._bound_unsaved()
            self._bound_answers((caller, ticket), answer)
        for waiter in waiters:
            waiter(answer)

    def _bound_unsaved(self) -> None:
        # In a long outage of the platform the oldest outcomes are given up. The
        # run can then not be closed, since a ticket without outcome may have run.
        while (
            self._unsaved_bytes > _MOST_UNSAVED_BYTES
            or len(self._unsaved) > _MOST_UNSAVED
        ):
            record = self._unsaved.popleft()
            self._unsaved_bytes -= len(record.answer.body)
            self._lost_outcomes = True

    def _bound_answers(self, key: Key, answer: Answer) -> None:
        self._answers[key] = len(answer.body)
        self._answer_bytes += len(answer.body)
        while self._answer_bytes > _MOST_ANSWER_BYTES:
            (caller, ticket), size = self._answers.popitem(last=False)
            self._answer_bytes -= size
            entry = self._epochs.get(ticket.epoch, {}).get((caller, ticket))
            if entry is not None:
                entry.answer = _ARCHIVED_ANSWER

    def _drop_epochs(self, now: int) -> None:
        for epoch in list(self._epochs):
            if epoch > now - EPOCHS_KEPT or self._holds_running(epoch):
                continue
            for key in self._epochs.pop(epoch):
                self._answer_bytes -= self._answers.pop(key, 0)

    def _holds_running(self, epoch: int) -> bool:
        return any(entry.answer is None for entry in self._epochs[epoch].values())


_ARCHIVED_ANSWER = Answer(0, (), b"", Outcome.DONE)
