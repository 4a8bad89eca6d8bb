"""The self time of calls, learned at the node of the target that runs them.

The self time of a call is the time of its exchange with the target, less the time in
which at least one of its nested calls ran. A nested call holds a slot of the target
and costs it no work.
"""

from __future__ import annotations

import threading

__all__ = ["MIN_SAMPLES", "NestedTime", "SelfTimes"]

# Calls of a route before its mean is reported. The mean of four calls is wrong by a
# third where the logarithm of times has a deviation of 0.6.
MIN_SAMPLES = 8
_SMOOTHING = 1 / 32  # weight of one call in the mean of its route
_MAX_AGE_S = 10.0  # after this time without a call, a mean is learned anew
_MAX_ROUTES = 1000  # routes that are removed from the configuration are kept


class NestedTime:
    """The time in which at least one nested call of a call ran."""

    def __init__(self) -> None:
        # Disjoint intervals in ascending order.
        self._intervals: list[tuple[float, float]] = []
        self._lock = threading.Lock()

    def add(self, start_s: float, end_s: float) -> None:
        """Add a nested call; calls need not be added in the order of their ends."""
        intervals = self._intervals
        with self._lock:
            if not intervals or start_s > intervals[-1][1]:
                intervals.append((start_s, end_s))
                return
            first = len(intervals)
            while first and intervals[first - 1][1] >= start_s:
                first -= 1
            end = first
            while end < len(intervals) and intervals[end][0] <= end_s:
                start_s = min(start_s, intervals[end][0])
                end_s = max(end_s, intervals[end][1])
                end += 1
            intervals[first:end] = [(start_s, end_s)]

    def total(self) -> float:
        """Return the total time in seconds."""
        with self._lock:
            return sum(end - start for start, end in self._intervals)


class _RouteTime:
    def __init__(self) -> None:
        self.mean_s = 0.0
        self.samples = 0
        self.updated_at_s = 0.0


class SelfTimes:
    """The mean self time of the target's recent calls, of all and by route."""

    def __init__(self) -> None:
        self.mean_s = 0.0
        self._routes: dict[str, _RouteTime] = {}

    def add(self, route: str, self_time_s: float, now_s: float) -> float:
        """Add a call; return the mean of its route, 0 if it is not known yet."""
        entry = self._routes.get(route)
        if entry is None:
            if len(self._routes) >= _MAX_ROUTES:
                self._routes = {}
            entry = self._routes[route] = _RouteTime()
        self.mean_s += (self_time_s - self.mean_s) * (_SMOOTHING if self.mean_s else 1)
        if now_s - entry.updated_at_s > _MAX_AGE_S:
            entry.samples = 0
        entry.updated_at_s = now_s
        # Other threads may reset the number meanwhile.
        entry.samples = samples = entry.samples + 1
        weight = 1 / samples if samples * _SMOOTHING < 1 else _SMOOTHING
        entry.mean_s += (self_time_s - entry.mean_s) * weight
        return entry.mean_s if samples >= MIN_SAMPLES else 0.0

    def reset(self) -> None:
        """Forget all calls, since the speed of the target has changed."""
        self._routes = {}
