"""The admission level of one target: the ranks that it takes at present.

Calls whose rank is at or above the level are refused on arrival. The level is
set anew at the end of each window. After a window in which calls waited too
long it is lowered to the rank below which somewhat fewer calls arrived than
were admitted; after any other window it rises again.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from ..calls import RANKS

__all__ = ["GOODPUT", "RECOVERY", "AdmissionLevel", "LevelTuning"]


@dataclass(frozen=True, slots=True)
class LevelTuning:
    """How quickly a level moves, and what wait it aims for.

    `wait` is the mean wait in the queue above which the target counts as
    overloaded, `cut` the share by which admissions are then reduced, `rise` the
    ranks by which the level rises after a window without overload.
    """

    window: timedelta
    wait: timedelta
    cut: float
    rise: int


RECOVERY = LevelTuning(
    window=timedelta(milliseconds=100),
    wait=timedelta(milliseconds=10),
    cut=0.10,
    rise=64,
)
GOODPUT = LevelTuning(
    window=timedelta(milliseconds=200),
    wait=timedelta(milliseconds=40),
    cut=0.05,
    rise=32,
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

    def admits(self, rank: int) -> bool:
        """Whether a call of that rank is taken at present."""
        return rank < self.level

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

    def advance(self, now: timedelta) -> None:
        """End the window when it is over, and move the level."""
        elapsed = now - self._began
        if elapsed < self._tuning.window:
            return
        if self._is_overloaded():
            self._lower()
        else:
            windows = elapsed // self._tuning.window
            self.level = min(RANKS, self.level + self._tuning.rise * windows)
        self._reset(now)

    def _is_overloaded(self) -> bool:
        if self._overflowed:
            return True
        if not self._started:
            return False
        return self._waited / self._started > self._tuning.wait

    def _lower(self) -> None:
        room = int(self._started * (1 - self._tuning.cut))
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
