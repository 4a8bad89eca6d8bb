"""The limit on concurrent calls to one target.

The adaptive limit starts at the number of slots that the target announced and
never exceeds it; a limit that an operator pinned may. The adaptive limit falls when
the target's own time for a call (without the time it waited for calls that it made
itself) rises far above its baseline while the limit is reached, or when the target
rejects calls itself. It rises again quickly.
"""

from __future__ import annotations

import math
from datetime import timedelta

__all__ = ["ConcurrencyLimit", "ServiceTime"]

_MIN_LIMIT = 2
_SLOWDOWN_FACTOR = 3.0
_DECREASE_FACTOR = 0.9
_INCREASE_FACTOR = 1.25
_WINDOW = timedelta(milliseconds=200)
_SMOOTHING = 0.3
_BASELINE_DRIFT = 0.02


class ServiceTime:
    """A moving average of call durations that decays without new samples.

    Without new calls the estimate stays constant for one second and then halves
    every second, so a past slow period does not cause calls to be refused.
    """

    _HALF_LIFE = timedelta(seconds=1)

    def __init__(self) -> None:
        self._estimate = timedelta()
        self._updated = timedelta()

    def record(self, duration: timedelta, now: timedelta) -> None:
        """Add the duration of one call."""
        if not self._estimate:
            self._estimate = duration
        else:
            self._estimate += (duration - self._estimate) * _SMOOTHING
        self._updated = now

    def estimate(self, now: timedelta) -> timedelta:
        """Return the expected duration of a call."""
        half_lives = (now - self._updated) / self._HALF_LIFE
        if half_lives < 1:
            return self._estimate
        return self._estimate * (0.5 ** min(half_lives - 1, 64.0))


class ConcurrencyLimit:
    """The adaptive limit of one target, or the limit that an operator pinned."""

    def __init__(self, slots: int, now: timedelta) -> None:
        self._slots = slots
        self._limit = float(slots)
        self._pinned: int | None = None
        self._automatic = True
        self._baseline: timedelta | None = None
        self._window_start = now
        self._total_time = timedelta()
        self._count = 0
        self._peak = 0
        self._rejected_by_target = False

    @property
    def limit(self) -> int:
        """The number of calls that may be in flight at once."""
        if self._pinned is not None:
            return self._pinned
        return max(1, math.floor(self._limit))

    @property
    def pinned(self) -> bool:
        """Whether an operator has pinned the limit or disabled its adjustment."""
        return self._pinned is not None or not self._automatic

    def resize(self, slots: int) -> None:
        """Apply a newly announced number of slots; a change resets the limit."""
        if slots != self._slots:
            self._slots = slots
            self._limit = float(slots)

    def pin(self, limit: int | None, automatic: bool) -> None:
        """Pin the limit (None unpins it); adjust it only if `automatic`."""
        self._pinned = limit
        self._automatic = automatic

    def record_call(
        self, own_time: timedelta, in_flight: int, rejected_by_target: bool
    ) -> None:
        """Record a finished call, and whether the target itself rejected it."""
        self._total_time += own_time
        self._count += 1
        self._peak = max(self._peak, in_flight)
        self._rejected_by_target = self._rejected_by_target or rejected_by_target

    def advance(self, now: timedelta) -> None:
        """Close the window if it has ended, and adjust the limit."""
        if now - self._window_start < _WINDOW:
            return
        if self._count and self._automatic:
            self._adjust(self._total_time / self._count)
        elif self._automatic:
            self._limit = min(float(self._slots), self._limit * _INCREASE_FACTOR)
        self._window_start = now
        self._total_time = timedelta()
        self._count = 0
        self._peak = 0
        self._rejected_by_target = False

    def _adjust(self, mean: timedelta) -> None:
        baseline = self._baseline
        if baseline is None or mean < baseline:
            self._baseline = baseline = mean
        else:
            self._baseline = baseline + (mean - baseline) * _BASELINE_DRIFT
        fully_used = self._peak >= self.limit
        if self._rejected_by_target or (
            fully_used and mean > baseline * _SLOWDOWN_FACTOR
        ):
            lowest = min(_MIN_LIMIT, self._slots)
            self._limit = max(lowest, self._limit * _DECREASE_FACTOR)
        else:
            self._limit = min(float(self._slots), self._limit * _INCREASE_FACTOR)
