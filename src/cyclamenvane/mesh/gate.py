"""Admission of calls to the target beside the node.

The target is never given more calls at once than it works on: one that cannot
queue a call may never answer it. Calls that find no room wait in the order of
`Rank`, each no longer than its own bound, and are refused at once when the wait
is expected to be longer. A call deep in a tree is not refused for its rank, since
work has been done for it; the level tells the nodes where trees begin which
roots to refuse there.
"""

from __future__ import annotations

import threading
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from ..admission.level import AdmissionLevel, LevelTuning
from ..admission.order import Waiting, WaitingList
from .rank import Rank
from .watch import Signal, Waited, Watch

if TYPE_CHECKING:
    from ..calls import Refusal
    from ..clock import Clock

__all__ = ["Entry", "Gate", "GateLoad"]

# Targets slow down when nearly all of their slots are taken.
_USED_SHARE = 15 / 16
_SMOOTHING = 0.05  # weight of one call in the mean time of a call
_FIRST_MEAN = timedelta(milliseconds=20)  # until calls have been seen
# A deep tree waits at many targets, so each has to answer soon.
_TUNING = LevelTuning(
    window=timedelta(milliseconds=200),
    wait=timedelta(milliseconds=10),
    wait_share=0.5,
    cut=0.05,
    rise=4,
)


class Entry(NamedTuple):
    """How a call left the gate; `admitted` calls have to `leave` it again."""

    admitted: bool
    waited: timedelta
    caller_gone: bool = False


@dataclass(frozen=True)
class GateLoad:
    """How full the gate is: calls at the target and in the queue, and the limit."""

    in_flight: int
    waiting: int
    limit: int


class Gate:
    """The calls at one target and those that wait for it."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._level = AdmissionLevel(_TUNING, clock.monotonic())
        self._limit = 0
        self._in_flight = 0
        self._mean = _FIRST_MEAN
        self._queue = WaitingList()
        self._signals: list[Signal] = []  # not in use; opening one is a system call
        self._lock = threading.Lock()

    def load(self) -> GateLoad:
        """Return how full the gate is."""
        return GateLoad(self._in_flight, len(self._queue), self._limit)

    def resize(self, slots: int) -> None:
        """Take the number of calls that the target works on at once."""
        with self._lock:
            self._limit = max(1, int(slots * _USED_SHARE)) if slots else 0
            self._grant()

    def level(self) -> int:
        """Return the admission level: roots of smaller ranks are admitted."""
        with self._lock:
            self._advance(self._clock.monotonic())
            return self._level.level

    def expected_wait(self) -> timedelta:
        """Return how long a call that arrives now would wait."""
        if self._in_flight < self._limit:
            return timedelta()
        return self._mean * ((len(self._queue) + 1) / max(1, self._limit))

    def enter(self, rank: Rank, until: timedelta, watch: Watch) -> Entry:
        """Admit a call, at the latest at `until`, or refuse it."""
        arrived = self._clock.monotonic()
        with self._lock:
            self._advance(arrived)
            self._level.note_arrival(rank.root)
            if self._in_flight < self._limit and not self._queue:
                self._in_flight += 1
                self._level.note_start(timedelta())
                return Entry(True, timedelta())
            if arrived + self._wait_for(rank) > until:
                self._level.note_overflow()
                return Entry(False, timedelta())
            signal = self._signals.pop() if self._signals else Signal()
            waiting = Waiting(rank.root, rank.depth, until, arrived, signal.set, _never)
            self._queue.add(waiting)
        return self._await(waiting, signal, watch)

    def leave(self, took: timedelta) -> None:
        """Note the end of an admitted call that took so long at the target."""
        with self._lock:
            self._in_flight -= 1
            assert self._in_flight >= 0, "a call left that was not admitted"
            self._mean += (took - self._mean) * _SMOOTHING
            self._grant()

    def _await(self, waiting: Waiting, signal: Signal, watch: Watch) -> Entry:
        waited = watch.wait(signal.descriptor, waiting.deadline)
        took = self._clock.monotonic() - waiting.arrived
        with self._lock:
            granted = not self._queue.remove(waiting)
            if granted:
                self._level.note_start(took)
            else:
                self._level.note_overflow()
        if granted:
            signal.clear()
        # Only a granted call's signal is set, so this one is as good as new.
        self._signals.append(signal)
        gone = watch.gone or waited is Waited.CALLER_GONE
        return Entry(granted, took, gone)

    def _wait_for(self, rank: Rank) -> timedelta:
        ahead = self._queue.count_before(rank.root)
        return self._mean * ((ahead + 1) / max(1, self._limit))

    def _grant(self) -> None:
        while self._queue and self._in_flight < self._limit:
            self._in_flight += 1
            self._queue.pop_first().start()

    def _advance(self, now: timedelta) -> None:
        has_room = not self._queue and self._in_flight < self._limit
        self._level.advance(now, self._mean, has_room)


def _never(refusal: Refusal) -> None:
    raise AssertionError("a waiting call is withdrawn by its own task")
