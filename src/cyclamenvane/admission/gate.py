"""Admission control for one target, evaluated at the target's node.

A call is refused if its rank is at or above the admission level. It is admitted
immediately if a slot is free and the queue is empty. Otherwise it waits in a short
queue, or is refused if it could not finish before its deadline or if the queue is
full of calls that are at least as important. A more important call replaces the
least important call in a full queue. A queue of only critical calls may grow beyond
its capacity, up to a multiple of it.
"""

from __future__ import annotations

import threading
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from ..calls import RANKS, RANKS_PER_IMPORTANCE, Importance, Refusal
from .level import GOODPUT, RECOVERY, AdmissionLevel
from .limit import ConcurrencyLimit, ServiceTime
from .queue import AdmissionQueue, WaitingCall

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["ADMITTED", "QUEUED", "Gate", "GateState"]

ADMITTED = "admitted"
QUEUED = "queued"
_MIN_QUEUE_CAPACITY = 2
_CRITICAL_QUEUE_FACTOR = 8


@dataclass(frozen=True, slots=True)
class GateState:
    """A snapshot of a gate."""

    in_flight: int
    waiting: int
    limit: int
    level: int
    pinned: bool


class Gate:
    """Admits, queues and refuses the calls to one target."""

    def __init__(self, slots: int, clock: Clock) -> None:
        now = clock.monotonic()
        self._clock = clock
        self._limit = ConcurrencyLimit(slots, now)
        self._level = AdmissionLevel(GOODPUT, now)
        self._service_time = ServiceTime()
        self._queue = AdmissionQueue()
        self._in_flight = 0
        self._pinned_level: int | None = None
        self._automatic = True
        self._lock = threading.Lock()

    @property
    def level(self) -> int:
        """The admission level that is reported to callers."""
        if self._pinned_level is not None:
            return self._pinned_level
        return self._level.level if self._automatic else RANKS

    def state(self) -> GateState:
        """Return a snapshot of the gate."""
        with self._lock:
            return GateState(
                self._in_flight,
                len(self._queue),
                self._limit.limit,
                self.level,
                self._limit.pinned or self._pinned_level is not None,
            )

    def configure(
        self,
        slots: int,
        objective: str,
        limit: int | None,
        refuse_below: Importance | None,
        automatic: bool,
    ) -> None:
        """Apply the announced slots and the settings of the policy document."""
        with self._lock:
            self._limit.resize(slots)
            self._limit.pin(limit, automatic)
            self._level.set_tuning(RECOVERY if objective == "recovery" else GOODPUT)
            self._automatic = automatic
            self._pinned_level = None
            if refuse_below is not None:
                self._pinned_level = (refuse_below + 1) * RANKS_PER_IMPORTANCE

    def offer(self, waiting: WaitingCall) -> str | Refusal:
        """Return ADMITTED, QUEUED or the reason for the refusal."""
        with self._lock:
            decision, evicted = self._decide(waiting)
        if evicted is not None:
            evicted.refuse(Refusal.OVERLOAD)
        return decision

    def withdraw(self, waiting: WaitingCall) -> bool:
        """Remove a call from the queue; return False if it is not queued."""
        with self._lock:
            return self._queue.remove(waiting)

    def finish(
        self, duration: timedelta, own_time: timedelta, rejected_by_target: bool = False
    ) -> WaitingCall | None:
        """Record the end of a call; return the call to start in its place.

        `own_time` is `duration` without the time that the target waited for calls
        of its own; `rejected_by_target` is True if the target itself rejected the
        call.
        """
        now = self._clock.monotonic()
        with self._lock:
            self._service_time.record(duration, now)
            self._limit.record_call(own_time, self._in_flight, rejected_by_target)
            self._in_flight -= 1
            assert self._in_flight >= 0, "finished a call that was not in flight"
            self._advance(now)
            refused, started = self._dequeue(now, max_started=1)
        _refuse_all(refused)
        return started[0] if started else None

    def sweep(self) -> list[WaitingCall]:
        """Refuse expired calls; return the calls to start in free slots."""
        now = self._clock.monotonic()
        with self._lock:
            self._advance(now)
            refused, started = self._dequeue(now, max_started=len(self._queue))
        _refuse_all(refused)
        return started

    def _decide(self, waiting: WaitingCall) -> tuple[str | Refusal, WaitingCall | None]:
        now = waiting.arrived
        self._advance(now)
        self._level.record_arrival(waiting.rank)
        if waiting.rank >= self.level:
            return Refusal.OVERLOAD, None
        free = self._in_flight < self._limit.limit
        if free and not self._queue:
            if waiting.deadline <= now:
                return Refusal.DEADLINE, None
            self._start(timedelta())
            return ADMITTED, None
        if self._would_miss_deadline(waiting, now):
            return Refusal.DEADLINE, None
        return self._enqueue(waiting)

    def _enqueue(
        self, waiting: WaitingCall
    ) -> tuple[str | Refusal, WaitingCall | None]:
        evicted = None
        if len(self._queue) >= self._queue_capacity() and not self._may_exceed_capacity(
            waiting
        ):
            self._level.record_overflow()
            if self._queue.last().rank <= waiting.rank:
                return Refusal.OVERLOAD, None
            evicted = self._queue.pop_last()
        self._queue.add(waiting)
        return QUEUED, evicted

    def _queue_capacity(self) -> int:
        return max(_MIN_QUEUE_CAPACITY, self._limit.limit)

    def _may_exceed_capacity(self, waiting: WaitingCall) -> bool:
        # A queue of only critical calls may grow to `_CRITICAL_QUEUE_FACTOR` times
        # its capacity, as long as their deadlines permit. Any other queued call is
        # evicted first.
        critical = max(waiting.rank, self._queue.last().rank) < RANKS_PER_IMPORTANCE
        return (
            critical
            and len(self._queue) < _CRITICAL_QUEUE_FACTOR * self._queue_capacity()
        )

    def _would_miss_deadline(self, waiting: WaitingCall, now: timedelta) -> bool:
        duration = self._service_time.estimate(now)
        ahead = self._queue.count_before(waiting.rank)
        wait = duration * (ahead / self._limit.limit)
        return now + wait + duration > waiting.deadline

    def _dequeue(
        self, now: timedelta, max_started: int
    ) -> tuple[list[tuple[WaitingCall, Refusal]], list[WaitingCall]]:
        refused = [
            (expired, Refusal.DEADLINE) for expired in self._queue.drop_expired(now)
        ]
        started: list[WaitingCall] = []
        while len(started) < max_started and self._queue:
            if self._in_flight >= self._limit.limit:
                break
            waiting = self._queue.pop_first()
            self._start(now - waiting.arrived)
            started.append(waiting)
        return refused, started

    def _start(self, waited: timedelta) -> None:
        self._in_flight += 1
        self._level.record_start(waited)

    def _advance(self, now: timedelta) -> None:
        self._limit.advance(now)
        has_room = not self._queue and self._in_flight < self._limit.limit
        self._level.advance(now, self._service_time.estimate(now), has_room)


def _refuse_all(refused: list[tuple[WaitingCall, Refusal]]) -> None:
    for waiting, refusal in refused:
        waiting.refuse(refusal)
