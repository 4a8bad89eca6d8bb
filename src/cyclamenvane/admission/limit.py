"""The number of calls that one target is given at once.

It starts at the slots that the target announced and never exceeds them. The
limit falls when the target's own time for a call (the time it spent waiting for
calls of its own left out) grows well beyond its usual time while the limit is
in use, or when the target sheds load itself. It rises again quickly.
"""

from __future__ import annotations

import math
from datetime import timedelta

__all__ = ["ConcurrencyLimit", "ServiceTime"]

_LOWEST_LIMIT = 2
_SLOW_FACTOR = 3.0
_SHRINK = 0.9
_GROW = 1.25
_WINDOW = timedelta(milliseconds=200)
_SMOOTHING = 0.3
_BASELINE_DRIFT = 0.02


class ServiceTime:
    """A running estimate of how long calls take, which fades when unused.

    Without new calls the estimate halves every second, so a slow spell never
    keeps calls out after it has passed.
    """

    _HALF_LIFE = timedelta(seconds=1)

    def __init__(self) -> None:
        self._estimate = timedelta()
        self._updated = timedelta()

    def note(self, took: timedelta, now: timedelta) -> None:
        """Take in how long one call took."""
        if not self._estimate:
            self._estimate = took
        else:
            self._estimate += (took - self._estimate) * _SMOOTHING
        self._updated = now

    def estimate(self, now: timedelta) -> timedelta:
        """Return the time that a call is expected to take."""
        idle = (now - self._updated) / self._HALF_LIFE
        if idle < 1:
            return self._estimate
        return self._estimate * (0.5 ** min(idle - 1, 64.0))


class ConcurrencyLimit:
    """The learned limit of one target, or the one that an operator pinned."""

    def __init__(self, slots: int, now: timedelta) -> None:
        self._slots = slots
        self._limit = float(slots)
        self._pinned: int | None = None
        self._automatic = True
        self._baseline: timedelta | None = None
        self._began = now
        self._total = timedelta()
        self._count = 0
        self._peak = 0
        self._shed = False

    @property
    def limit(self) -> int:
        """The calls that may be in flight at once."""
        if self._pinned is not None:
            return self._pinned
        return max(1, math.floor(self._limit))

    @property
    def pinned(self) -> bool:
        """Whether an operator has pinned the limit or stopped its adjustment."""
        return self._pinned is not None or not self._automatic

    def resize(self, slots: int) -> None:
        """Take the slots that the target announced anew."""
        if slots != self._slots:
            self._slots = slots
            self._limit = float(slots)

    def pin(self, limit: int | None, automatic: bool) -> None:
        """Fix the limit, or stop its adjustment where it stands."""
        self._pinned = limit
        self._automatic = automatic

    def note(self, own_time: timedelta, in_flight: int, shed: bool) -> None:
        """Take in one finished call; `shed` says the target refused it itself."""
        self._total += own_time
        self._count += 1
        self._peak = max(self._peak, in_flight)
        self._shed = self._shed or shed

    def advance(self, now: timedelta) -> None:
        """End the window when it is over, and move the limit."""
        if now - self._began < _WINDOW:
            return
        if self._count and self._automatic:
            self._adjust(self._total / self._count)
        elif self._automatic:
            self._limit = min(float(self._slots), self._limit * _GROW)
        self._began = now
        self._total = timedelta()
        self._count = 0
        self._peak = 0
        self._shed = False

    def _adjust(self, mean: timedelta) -> None:
        baseline = self._baseline
        if baseline is None or mean < baseline:
            self._baseline = baseline = mean
        else:
            self._baseline = baseline + (mean - baseline) * _BASELINE_DRIFT
        used = self._peak >= self.limit
        if self._shed or (used and mean > baseline * _SLOW_FACTOR):
            self._limit = max(_LOWEST_LIMIT, self._limit * _SHRINK)
        else:
            self._limit = min(float(self._slots), self._limit * _GROW)
