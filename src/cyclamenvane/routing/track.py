"""What one process has seen of a target that it sends calls to."""

from __future__ import annotations

from datetime import timedelta

from ..admission.level import regain_level
from ..calls import RANKS

__all__ = ["TargetTrack"]

_FAILURES_TO_EJECT = 5
_SHORTEST_EJECTION = timedelta(seconds=1)
_LONGEST_EJECTION = timedelta(seconds=30)
_WARM_UP = timedelta(seconds=5)
_COLDEST_SHARE = 0.1
_SMOOTHING = 0.2


class TargetTrack:
    """Calls under way, the level last told, failures, warmth and delay."""

    def __init__(self, now: timedelta, cold: bool) -> None:
        self.in_flight = 0
        self.ejected_until = now
        self.delay = timedelta()
        self._level = RANKS
        self._level_at = now
        self._failures = 0
        self._ejections = 0
        self._cold_since = now if cold else now - _WARM_UP

    def level(self, now: timedelta) -> int:
        """Return the level at which the target is taken to admit calls."""
        return regain_level(self._level, now - self._level_at)

    def warmth(self, now: timedelta) -> float:
        """Return the share of its slots that a target may use while it warms."""
        return min(1.0, max(_COLDEST_SHARE, (now - self._cold_since) / _WARM_UP))

    def note_level(self, level: int, now: timedelta) -> None:
        """Take in the level that an answer told."""
        self._level = level
        self._level_at = now

    def note_success(self, took: timedelta) -> None:
        """Take in a call that the target answered."""
        self._failures = 0
        self._ejections = 0
        self.delay += (took - self.delay) * _SMOOTHING

    def note_failure(self, now: timedelta) -> bool:
        """Take in a call without a whole answer; say whether this ejects."""
        self._failures += 1
        if self._failures < _FAILURES_TO_EJECT:
            return False
        rest = min(_SHORTEST_EJECTION * 2**self._ejections, _LONGEST_EJECTION)
        self.ejected_until = now + rest
        self._ejections = min(self._ejections + 1, 10)
        self._failures = _FAILURES_TO_EJECT - 1
        return True
