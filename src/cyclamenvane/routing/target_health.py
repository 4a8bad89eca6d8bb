"""The health of a target, as observed by a process that sends calls to it."""

from __future__ import annotations

from datetime import timedelta

from ..admission.level import recover_level
from ..calls import RANKS

__all__ = ["TargetHealth"]

_FAILURES_TO_EJECT = 5
_MIN_EJECTION = timedelta(seconds=1)
_MAX_EJECTION = timedelta(seconds=30)
_WARM_UP = timedelta(seconds=5)
_MIN_WARM_UP_SHARE = 0.1
_SMOOTHING = 0.2


class TargetHealth:
    """Calls in flight, last reported level, failures, warm-up and latency."""

    def __init__(self, now: timedelta, cold: bool) -> None:
        self.in_flight = 0
        self.ejected_until = now
        self.latency = timedelta()
        self._level = RANKS
        self._level_at = now
        self._failures = 0
        self._ejections = 0
        self._warm_up_started_at = now if cold else now - _WARM_UP

    def level(self, now: timedelta) -> int:
        """Return the assumed admission level of the target."""
        return recover_level(self._level, now - self._level_at)

    def warm_up_share(self, now: timedelta) -> float:
        """Return the share of the slots to use while the target warms up, up to 1."""
        return min(
            1.0, max(_MIN_WARM_UP_SHARE, (now - self._warm_up_started_at) / _WARM_UP)
        )

    def record_level(self, level: int, now: timedelta) -> None:
        """Record the level that a response reported."""
        self._level = level
        self._level_at = now

    def record_success(self, duration: timedelta) -> None:
        """Record a call that did not count as a failure of the target."""
        self._failures = 0
        self._ejections = 0
        self.latency += (duration - self.latency) * _SMOOTHING

    def record_failure(self, now: timedelta) -> bool:
        """Record a call without a complete response; return True on ejection."""
        self._failures += 1
        if self._failures < _FAILURES_TO_EJECT:
            return False
        ejection = min(_MIN_EJECTION * 2**self._ejections, _MAX_EJECTION)
        self.ejected_until = now + ejection
        self._ejections = min(self._ejections + 1, 10)
        self._failures = _FAILURES_TO_EJECT - 1
        return True
