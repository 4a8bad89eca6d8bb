"""The admission level of one target: only calls of lower rank are admitted.

Calls whose rank is at or above the level are refused on arrival. The level is
recomputed at the end of each window. If calls waited too long in the window, or a
call was refused or evicted for lack of capacity, the level is lowered so that the
calls that arrived below it are slightly fewer than the calls that were started in
the window. Otherwise it rises, by a step that grows by half after each such window:
the steps stay small during an overload, and the level soon returns to its maximum
after the overload.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from ..calls import RANKS

__all__ = [
    "GOODPUT",
    "LEVEL_HOLD_TIME",
    "LEVEL_RECOVERY_TIME",
    "RECOVERY",
    "AdmissionLevel",
    "LevelTuning",
    "recover_level",
]

LEVEL_HOLD_TIME = timedelta(milliseconds=300)
LEVEL_RECOVERY_TIME = timedelta(milliseconds=500)


_MAX_STEPS_PER_UPDATE = 16
_STEP_GROWTH = 1.5
_MIN_STARTED = 8
_MAX_WINDOW_EXTENSION = 10


@dataclass(frozen=True)
class LevelTuning:
    """The parameters of a level: its window, its permitted wait and its steps.

    The target counts as overloaded when the mean wait in its queue exceeds both
    `max_wait` and `max_wait_ratio` times the duration of a call, or when a call was
    refused or evicted for lack of capacity. The number of admitted calls is then
    reduced by the fraction `reduction`. `initial_step` is the first step, in ranks,
    by which the level rises after the overload.
    """

    window: timedelta
    max_wait: timedelta
    max_wait_ratio: float
    reduction: float
    initial_step: int


RECOVERY = LevelTuning(
    window=timedelta(milliseconds=100),
    max_wait=timedelta(milliseconds=10),
    max_wait_ratio=1.0,
    reduction=0.10,
    initial_step=3,
)
GOODPUT = LevelTuning(
    window=timedelta(milliseconds=200),
    max_wait=timedelta(milliseconds=40),
    max_wait_ratio=2.0,
    reduction=0.05,
    initial_step=3,
)


class AdmissionLevel:
    """The level of one target, and the counters of the current window."""

    def __init__(self, tuning: LevelTuning, now: timedelta) -> None:
        self.level = RANKS
        self._tuning = tuning
        self._counts = [0] * RANKS
        self._window_start = now
        self._started = 0
        self._total_wait = timedelta()
        self._overflowed = False
        self._step = float(tuning.initial_step)

    def set_tuning(self, tuning: LevelTuning) -> None:
        """Replace the tuning."""
        self._tuning = tuning

    def record_arrival(self, rank: int) -> None:
        """Count a call that arrived, whether or not it was admitted."""
        self._counts[rank] += 1

    def record_start(self, waited: timedelta) -> None:
        """Count a call that was sent to the target, and its wait in the queue."""
        self._started += 1
        self._total_wait += waited

    def record_overflow(self) -> None:
        """Record that a call was refused or evicted for lack of capacity."""
        self._overflowed = True

    def advance(self, now: timedelta, duration: timedelta, has_room: bool) -> None:
        """Close the window if it has ended, and adjust the level.

        `duration` is the current estimate of the duration of a call at the target.
        `has_room` is True if a slot is free and the queue is empty: any overload
        is over then.
        """
        elapsed = now - self._window_start
        if elapsed < self._tuning.window:
            return
        windows = elapsed // self._tuning.window
        if has_room or not self._is_overloaded(duration):
            self._raise(windows)
        elif self._has_too_few_samples(windows):
            return
        else:
            self._lower()
            self._step = float(self._tuning.initial_step)
        self._reset(now)

    def _has_too_few_samples(self, windows: int) -> bool:
        # The ranks of a few calls are too small a sample to set the level from.
        return 0 < self._started < _MIN_STARTED and windows < _MAX_WINDOW_EXTENSION

    def _is_overloaded(self, duration: timedelta) -> bool:
        if self._overflowed:
            return True
        if not self._started:
            return False
        max_wait = max(self._tuning.max_wait, duration * self._tuning.max_wait_ratio)
        return self._total_wait / self._started > max_wait

    def _raise(self, windows: int) -> None:
        for _ in range(min(windows, _MAX_STEPS_PER_UPDATE)):
            self.level = min(RANKS, self.level + int(self._step))
            self._step = min(_STEP_GROWTH * self._step, RANKS)

    def _lower(self) -> None:
        allowed = max(1, int(self._started * (1 - self._tuning.reduction)))
        total = 0
        for rank, count in enumerate(self._counts[: self.level]):
            total += count
            if total > allowed:
                self.level = max(1, rank)
                return

    def _reset(self, now: timedelta) -> None:
        self._counts = [0] * RANKS
        self._window_start = now
        self._started = 0
        self._total_wait = timedelta()
        self._overflowed = False


def recover_level(level: int, age: timedelta) -> int:
    """Return the effective value of an admission level reported `age` ago.

    The level holds for `LEVEL_HOLD_TIME`, then rises to the maximum within
    `LEVEL_RECOVERY_TIME`, so that calls are sent to a target that has recovered
    without a new report from it.
    """
    if age <= LEVEL_HOLD_TIME:
        return level
    return min(
        RANKS, level + int(RANKS * ((age - LEVEL_HOLD_TIME) / LEVEL_RECOVERY_TIME))
    )
