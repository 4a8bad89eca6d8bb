"""Admission of calls to a node's local target.

The number of concurrent calls at the target is limited to what it can process,
because a target that cannot queue a call may never answer it. Calls beyond the
limit are queued in `Rank` order, each until its own deadline, and are refused
immediately if the expected wait exceeds that deadline. The gate itself refuses no
call because of its rank: deep in a call tree, work has already been done for the
tree. It only reports the admission level to the nodes where call trees start, which
refuse root calls by it.
"""

from __future__ import annotations

import threading
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from ..admission.level import AdmissionLevel, LevelTuning
from ..admission.queue import AdmissionQueue, WaitingCall
from .rank import Rank
from .watch import Signal, WaitResult, Watch

if TYPE_CHECKING:
    from ..calls import Refusal
    from ..clock import Clock

__all__ = ["AdmissionResult", "Gate", "GateLoad"]

# Targets slow down when nearly all of their slots are taken.
_USABLE_SLOT_SHARE = 15 / 16
_SMOOTHING = 0.05  # weight of one call in the mean call duration
_NO_WAIT = timedelta()
_INITIAL_DURATION = timedelta(milliseconds=20)  # used before any call has finished
# Waits at the targets of a deep call tree add up, so each one must be short.
_TUNING = LevelTuning(
    window=timedelta(milliseconds=200),
    max_wait=timedelta(milliseconds=10),
    max_wait_ratio=0.5,
    reduction=0.05,
    initial_step=4,
)


class AdmissionResult(NamedTuple):
    """The result of `Gate.acquire`.

    For an `admitted` call, `Gate.release` must be called when it ends.
    """

    admitted: bool
    waited: timedelta
    caller_gone: bool = False


@dataclass(frozen=True)
class GateLoad:
    """Calls at the target, queued calls, and the limit on concurrent calls."""

    in_flight: int
    waiting: int
    limit: int


class Gate:
    """Limits the concurrent calls at one target and queues those beyond the limit."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._level = AdmissionLevel(_TUNING, clock.monotonic())
        self._limit = 0
        self._in_flight = 0
        self._mean_duration = _INITIAL_DURATION
        self._mean_start = clock.monotonic()  # of the calls in flight
        self._queue = AdmissionQueue()
        self._free_signals: list[Signal] = []  # reused: creating one is a system call
        self._lock = threading.Lock()

    def load(self) -> GateLoad:
        """Return the current load and limit."""
        return GateLoad(self._in_flight, len(self._queue), self._limit)

    def resize(self, slots: int) -> None:
        """Derive the limit from the target's slots, and admit queued calls."""
        with self._lock:
            self._limit = max(1, int(slots * _USABLE_SLOT_SHARE)) if slots else 0
            self._admit_queued()

    def level(self) -> int:
        """Return the admission level: root calls with a lower rank are admitted."""
        with self._lock:
            self._advance_level(self._clock.monotonic())
            return self._level.level

    def expected_wait(self) -> timedelta:
        """Return the expected wait of a call queued behind all others."""
        if self._in_flight < self._limit:
            return timedelta()
        return self._mean_duration * ((len(self._queue) + 1) / max(1, self._limit))

    def queue_wait(self) -> timedelta:
        """Return the expected wait of a further call, from the ages of the calls.

        The calls in flight are expected to last as long again as their mean age, and no
        less than the mean duration. The ages show at once that a target has become
        slow, the durations only when its calls end.
        """
        if self._in_flight < self._limit:
            return _NO_WAIT
        with self._lock:
            if self._in_flight < self._limit or not self._limit:
                return timedelta()
            mean_age = self._clock.monotonic() - self._mean_start
            mean_left = max(self._mean_duration, mean_age)
            return mean_left * ((len(self._queue) + 1) / self._limit)

    def acquire(self, rank: Rank, deadline: timedelta, watch: Watch) -> AdmissionResult:
        """Admit a call by `deadline`, or refuse it; blocks while the call is queued."""
        arrived = self._clock.monotonic()
        with self._lock:
            self._advance_level(arrived)
            self._level.record_arrival(rank.root)
            if self._in_flight < self._limit and not self._queue:
                self._start_call(arrived)
                self._level.record_start(timedelta())
                return AdmissionResult(True, timedelta())
            if arrived + self._expected_wait_of(rank) > deadline:
                self._level.record_overflow()
                return AdmissionResult(False, timedelta())
            signal = self._free_signals.pop() if self._free_signals else Signal()
            waiting = WaitingCall(
                rank.root, rank.depth, deadline, arrived, signal.set, _fail_on_refusal
            )
            self._queue.add(waiting)
        return self._wait_for_slot(waiting, signal, watch)

    def release(self, duration: timedelta | None) -> None:
        """Record the end of an admitted call and its duration at the target.

        `duration` is None for a call that was not sent.
        """
        with self._lock:
            self._in_flight -= 1
            assert self._in_flight >= 0, "release() without an admitted call"
            if duration is not None:
                self._mean_duration += (duration - self._mean_duration) * _SMOOTHING
            self._admit_queued()

    def _start_call(self, now: timedelta) -> None:
        self._in_flight += 1
        # Any call may be the one that ends, so an end leaves the mean as it is.
        self._mean_start += (now - self._mean_start) / self._in_flight

    def _wait_for_slot(
        self, waiting: WaitingCall, signal: Signal, watch: Watch
    ) -> AdmissionResult:
        wait_result = watch.wait(signal.descriptor, waiting.deadline)
        waited = self._clock.monotonic() - waiting.arrived
        caller_gone = watch.caller_gone or wait_result is WaitResult.CALLER_GONE
        with self._lock:
            admitted = not self._queue.remove(waiting)
            if admitted:
                self._level.record_start(waited)
            elif not caller_gone:
                self._level.record_overflow()
        if admitted:
            signal.clear()
        # The signal is set only on admission, so it is clear here and can be reused.
        self._free_signals.append(signal)
        return AdmissionResult(admitted, waited, caller_gone)

    def _expected_wait_of(self, rank: Rank) -> timedelta:
        ahead = self._queue.count_before(rank.root)
        return self._mean_duration * ((ahead + 1) / max(1, self._limit))

    def _admit_queued(self) -> None:
        if not self._queue:
            return
        now = self._clock.monotonic()
        while self._queue and self._in_flight < self._limit:
            self._start_call(now)
            self._queue.pop_first().start()

    def _advance_level(self, now: timedelta) -> None:
        has_room = not self._queue and self._in_flight < self._limit
        self._level.advance(now, self._mean_duration, has_room)


def _fail_on_refusal(refusal: Refusal) -> None:
    raise AssertionError("a queued call is withdrawn by its own task, never refused")
