"""What this node has heard of how much work of each route is admitted.

Each delivery of a root tells the lowest admission level that its tree met. A
root whose rank is not admitted is refused where it begins, before any work.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from ..admission.level import regain_level
from ..calls import RANKS

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["RouteLevels"]

_SMOOTHING = 0.25  # a level heard counts so much against those before it


class RouteLevels:
    """The admission level of each route."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._levels: dict[str, tuple[float, timedelta]] = {}

    def note(self, route: str, level: int) -> None:
        """Take in the level that a tree of the route met."""
        now = self._clock.monotonic()
        known = float(self._level_at(route, now))
        smoothed = known + (level - known) * _SMOOTHING
        self._levels[route] = (smoothed, now)

    def level(self, route: str) -> int:
        """Return the level of a route: ranks below it are admitted."""
        return self._level_at(route, self._clock.monotonic())

    def _level_at(self, route: str, now: timedelta) -> int:
        found = self._levels.get(route)
        if found is None:
            return RANKS
        level, heard = found
        return regain_level(int(level), now - heard)
