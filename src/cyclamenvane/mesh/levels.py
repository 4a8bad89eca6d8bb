"""The admission level of each route, as reported to this node.

The forward result of a root call reports the admission level of its target, or the
lowest of the mean levels reported by the services that it called, if that is lower.
A root call whose rank is at or above the level of its route is refused on the node
where it starts, before any work is done.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from ..admission.level import LEVEL_HOLD_TIME, recover_level
from ..calls import RANKS
from ..shedding.profile import MAX_ROUTES

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["RouteLevels"]

_SMOOTHING = 0.25  # weight of a new level against the earlier ones


class RouteLevels:
    """The smoothed admission level of each route."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._levels: dict[str, tuple[float, timedelta]] = {}

    def update(self, route: str, level: int) -> None:
        """Add the level reported with the result of a root call of the route."""
        if level >= RANKS and self.level(route) >= RANKS:
            return  # A full level does not age.
        now = self._clock.monotonic()
        previous = self._level_at(route, now)
        smoothed = previous + (level - previous) * _SMOOTHING
        if len(self._levels) >= MAX_ROUTES and route not in self._levels:
            self._levels = {}
        self._levels[route] = (smoothed, now)

    def level(self, route: str) -> int:
        """Return the level of a route: lower ranks are admitted."""
        entry = self._levels.get(route)
        if entry is None or entry[0] >= RANKS:
            return RANKS  # at any time
        # Rounded, since a mean of levels that rise to `RANKS` does not reach it.
        return round(self._level_at(route, self._clock.monotonic()))

    def _level_at(self, route: str, now: timedelta) -> float:
        entry = self._levels.get(route)
        if entry is None:
            return float(RANKS)
        level, updated_at = entry
        age = now - updated_at
        if age <= LEVEL_HOLD_TIME:
            return level
        return float(recover_level(int(level), age))
