"""The admission level of one target: the ranks that it takes at present.

Calls whose rank is at or above the level are refused on arrival. The level is
set anew at the end of each window. After a window in which calls waited too
long it is lowered to the rank below which somewhat fewer calls arrived than
were admitted. After any other window it rises, by half as much again as after
the one before: in small steps while the overload lasts, and to the top soon after it.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from ..calls import RANKS

__all__ = [
    "GOODPUT",
    "LEVEL_HOLDS",
    "LEVEL_REGAIN",
    "RECOVERY",
    "AdmissionLevel",
    "LevelTuning",
    "regain_level",
]

LEVEL_HOLDS = timedelta(milliseconds=300)
LEVEL_REGAIN = timedelta(milliseconds=500)


_MOST_STEPS = 16
_STEP_GROWTH = 1.5
_LEAST_STARTED = 8
_LONGEST_WINDOWS = 10


@dataclass(frozen=True)
class LevelTuning:
    """How quickly a level moves, and what wait it aims for.

    The target counts as overloaded when the mean wait in its queue is above
    `wait` and above `wait_share` of the time that a call takes there. Admissions
    are then reduced by the share `cut`. `rise` is the first step, in ranks, by
    which the level rises after the overload.
    """

    window: timedelta
    wait: timedelta
    wait_share: float
    cut: float
    rise: int


RECOVERY = LevelTuning(
    window=timedelta(milliseconds=100),
    wait=timedelta(milliseconds=10),
    wait_share=1.0,
    cut=0.10,
    rise=3,
)
GOODPUT = LevelTuning(
    window=timedelta(milliseconds=200),
    wait=timedelta(milliseconds=40),
    wait_share=2.0,
    cut=0.05,
    rise=3,
)


class AdmissionLevel:
    """The level of one target, and what was counted in the current window."""

    def __init__(self, tuning: LevelTuning, now: timedelta) -> None:
        self.level = RANKS
        self._tuning = tuning
        self._counts = [0] * RANKS
        self._began = now
        self._started = 0
        self._waited = timedelta()
        self._overflowed = False
        self._step = float(tuning.rise)

    def retune(self, tuning: LevelTuning) -> None:
        """Take another tuning into use."""
        self._tuning = tuning

    def note_arrival(self, rank: int) -> None:
        """Count a call that arrived, whether it was taken or not."""
        self._counts[rank] += 1

    def note_start(self, waited: timedelta) -> None:
        """Count a call that was handed to the target after some wait."""
        self._started += 1
        self._waited += waited

    def note_overflow(self) -> None:
        """Note that a call was refused for want of room in the queue."""
        self._overflowed = True

    def advance(self, now: timedelta, took: timedelta, has_room: bool) -> None:
        """End the window when it is over, and move the level.

        `took` is the time that a call takes at the target at present, `has_room`
        says that a slot is free and nobody waits: any overload is over then.
        """
        passed = now - self._began
        if passed < self._tuning.window:
            return
        windows = passed // self._tuning.window
        if has_room or not self._is_overloaded(took):
            self._raise(windows)
        elif self._knows_too_little(windows):
            return
        else:
            self._lower()
            self._step = float(self._tuning.rise)
        self._reset(now)

    def _knows_too_little(self, windows: int) -> bool:
        # The ranks of a few calls say nothing of where the level should be.
        return 0 < self._started < _LEAST_STARTED and windows < _LONGEST_WINDOWS

    def _is_overloaded(self, took: timedelta) -> bool:
        if self._overflowed:
            return True
        if not self._started:
            return False
        longest = max(self._tuning.wait, took * self._tuning.wait_share)
        return self._waited / self._started > longest

    def _raise(self, windows: int) -> None:
        for _ in range(min(windows, _MOST_STEPS)):
            self.level = min(RANKS, self.level + int(self._step))
            self._step = min(_STEP_GROWTH * self._step, RANKS)

    def _lower(self) -> None:
        room = max(1, int(self._started * (1 - self._tuning.cut)))
        total = 0
        for rank, count in enumerate(self._counts[: self.level]):
            total += count
            if total > room:
                self.level = max(1, rank)
                return

    def _reset(self, now: timedelta) -> None:
        self._counts = [0] * RANKS
        self._began = now
        self._started = 0
        self._waited = timedelta()
        self._overflowed = False


def regain_level(level: int, since: timedelta) -> int:
    """Return what an admission level told some time ago still stands for.

    It holds for `LEVEL_HOLDS` and then rises back to full within
    `LEVEL_REGAIN`, so calls find out by themselves that a target has recovered.
    """
    if since <= LEVEL_HOLDS:
        return level
    return min(RANKS, level + int(RANKS * ((since - LEVEL_HOLDS) / LEVEL_REGAIN)))
