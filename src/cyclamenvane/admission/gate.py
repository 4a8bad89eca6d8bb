"""Decides at a target's node which calls the target is given, and when.

A call is admitted at once while the target has room and nobody waits. Otherwise
it waits in a short queue, or is refused: when its rank is not taken at present,
when it could not finish before its deadline, or when the queue is full of more
important calls. A more important call takes the place of the least important
one that waits.
"""

from __future__ import annotations

import threading
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from ..calls import RANKS, RANKS_PER_IMPORTANCE, Importance, Refusal
from .level import GOODPUT, RECOVERY, AdmissionLevel
from .limit import ConcurrencyLimit, ServiceTime
from .order import Waiting, WaitingList

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["ADMITTED", "QUEUED", "Gate", "GateState"]

ADMITTED = "admitted"
QUEUED = "queued"
_SHORTEST_QUEUE = 2
_CRITICAL_FACTOR = 8


@dataclass(frozen=True, slots=True)
class GateState:
    """What a gate looks like at one moment."""

    in_flight: int
    waiting: int
    limit: int
    level: int
    pinned: bool


class Gate:
    """The admission of calls to one target."""

    def __init__(self, slots: int, clock: Clock) -> None:
        now = clock.monotonic()
        self._clock = clock
        self._limit = ConcurrencyLimit(slots, now)
        self._level = AdmissionLevel(GOODPUT, now)
        self._time = ServiceTime()
        self._queue = WaitingList()
        self._in_flight = 0
        self._level_pinned: int | None = None
        self._automatic = True
        self._lock = threading.Lock()

    @property
    def level(self) -> int:
        """The admission level that callers are told."""
        if self._level_pinned is not None:
            return self._level_pinned
        return self._level.level if self._automatic else RANKS

    def state(self) -> GateState:
        """Return what the gate looks like now."""
        with self._lock:
            return GateState(
                self._in_flight,
                len(self._queue),
                self._limit.limit,
                self.level,
                self._limit.pinned or self._level_pinned is not None,
            )

    def tune(
        self,
        slots: int,
        objective: str,
        limit: int | None,
        refuse_below: Importance | None,
        automatic: bool,
    ) -> None:
        """Take over what the target announced and the policy document says."""
        with self._lock:
            self._limit.resize(slots)
            self._limit.pin(limit, automatic)
            self._level.retune(RECOVERY if objective == "recovery" else GOODPUT)
            self._automatic = automatic
            self._level_pinned = None
            if refuse_below is not None:
                self._level_pinned = (refuse_below + 1) * RANKS_PER_IMPORTANCE

    def offer(self, waiting: Waiting) -> str | Refusal:
        """Return ADMITTED, QUEUED or why the call is refused."""
        with self._lock:
            verdict, evicted = self._judge(waiting)
        if evicted is not None:
            evicted.refuse(Refusal.OVERLOAD)
        return verdict

    def withdraw(self, waiting: Waiting) -> bool:
        """Take a waiting call out; return False when it does not wait."""
        with self._lock:
            return self._queue.remove(waiting)

    def finish(
        self, took: timedelta, own_time: timedelta, shed: bool = False
    ) -> Waiting | None:
        """Note the end of a call; return the call to start in its place."""
        now = self._clock.monotonic()
        with self._lock:
            self._time.note(took, now)
            self._limit.note(own_time, self._in_flight, shed)
            self._in_flight -= 1
            assert self._in_flight >= 0, "a call finished that was not in flight"
            self._advance(now)
            refused, started = self._fill(now, most=1)
        _refuse_all(refused)
        return started[0] if started else None

    def sweep(self) -> list[Waiting]:
        """Refuse what has expired; return the calls to start in free slots."""
        now = self._clock.monotonic()
        with self._lock:
            self._advance(now)
            refused, started = self._fill(now, most=len(self._queue))
        _refuse_all(refused)
        return started

    def _judge(self, waiting: Waiting) -> tuple[str | Refusal, Waiting | None]:
        now = waiting.arrived
        self._advance(now)
        self._level.note_arrival(waiting.rank)
        if waiting.rank >= self.level:
            return Refusal.OVERLOAD, None
        free = self._in_flight < self._limit.limit
        if free and not self._queue:
            if waiting.deadline <= now:
                return Refusal.DEADLINE, None
            self._start(timedelta())
            return ADMITTED, None
        if self._finishes_late(waiting, now):
            return Refusal.DEADLINE, None
        return self._enqueue(waiting)

    def _enqueue(self, waiting: Waiting) -> tuple[str | Refusal, Waiting | None]:
        evicted = None
        if len(self._queue) >= self._queue_room() and not self._may_exceed(waiting):
            self._level.note_overflow()
            if self._queue.last().rank <= waiting.rank:
                return Refusal.OVERLOAD, None
            evicted = self._queue.pop_last()
        self._queue.add(waiting)
        return QUEUED, evicted

    def _queue_room(self) -> int:
        return max(_SHORTEST_QUEUE, self._limit.limit)

    def _may_exceed(self, waiting: Waiting) -> bool:
        # Critical calls make room for each other for as long as their deadlines
        # permit; any other call that waits goes first.
        critical = max(waiting.rank, self._queue.last().rank) < RANKS_PER_IMPORTANCE
        return critical and len(self._queue) < _CRITICAL_FACTOR * self._queue_room()

    def _finishes_late(self, waiting: Waiting, now: timedelta) -> bool:
        took = self._time.estimate(now)
        ahead = self._queue.count_before(waiting.rank)
        wait = took * (ahead / self._limit.limit)
        return now + wait + took > waiting.deadline

    def _fill(
        self, now: timedelta, most: int
    ) -> tuple[list[tuple[Waiting, Refusal]], list[Waiting]]:
        refused = [(w, Refusal.DEADLINE) for w in self._queue.drop_expired(now)]
        started: list[Waiting] = []
        while len(started) < most and self._queue:
            if self._in_flight >= self._limit.limit:
                break
            waiting = self._queue.pop_first()
            self._start(now - waiting.arrived)
            started.append(waiting)
        return refused, started

    def _start(self, waited: timedelta) -> None:
        self._in_flight += 1
        self._level.note_start(waited)

    def _advance(self, now: timedelta) -> None:
        self._limit.advance(now)
        has_room = not self._queue and self._in_flight < self._limit.limit
        self._level.advance(now, self._time.estimate(now), has_room)


def _refuse_all(refused: list[tuple[Waiting, Refusal]]) -> None:
    for waiting, refusal in refused:
        waiting.refuse(refusal)
