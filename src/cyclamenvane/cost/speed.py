"""How fast the targets of a service are, as learned by one sending node.

A target's node reports with each result its mean self time for the route of the call.
The mean is the product of what the route costs and of how slow the target is. Each
report adjusts both factors, so targets with different mixes of routes are comparable,
and a few reports of any routes suffice to know a target.
"""

from __future__ import annotations

from .self_time import MIN_SAMPLES

__all__ = ["ServiceSpeeds", "SpeedBook", "TargetSpeed"]

_TARGET_SMOOTHING = 0.25  # weight of one report, already a mean of many calls
_ROUTE_SMOOTHING = 0.05
_SERVICE_SMOOTHING = 0.05
_MIN_SLOWNESS, _MAX_SLOWNESS = 0.1, 10.0
_SLOWNESS_HOLD_S = 5.0  # for which a learned slowness holds without reports
_SLOWNESS_TTL_S = 10.0  # after which a target counts as average
# Targets differ once the squares of their relative distances from the mean slowness,
# times the calls behind them, exceed what chance explains. The variance of a call's
# time is 0.43 of its squared mean where the logarithm of times has a deviation of 0.6.
_CALL_VARIANCE = 0.43
_MIN_EXCESS = 0.43  # over the variance, in the mean of the targets
_MAX_CALLS = 32  # counted for a target; its node forgets earlier ones
_UNREPORTED_CALLS = MIN_SAMPLES - 1  # behind the first report of a target
_EXCESS_PERIOD_S = 2.0  # for which targets have to differ, less if they differ much
_MAX_EXCESS_WEIGHT = 0.05  # of one report, where reports are rare
_DIFFER_HOLD_S = 3.0  # for which targets count as different after the last such report
_UNKNOWN_LOAD = 0.5  # so that a target about which nothing is known gets calls
_UNKNOWN_ZONE = _UNKNOWN_LOAD, 0.0
_ZONE_LOAD_HOLD_S = 1.0
_ZONE_LOAD_DECAY_S = 3.0
_EXPLORATION_INTERVAL = 16  # one call in so many is sent whatever the speed
_MAX_ROUTES = 1000  # routes that are removed from the configuration are kept


class TargetSpeed:
    """What one sending node knows about the speed of one target."""

    def __init__(self) -> None:
        self.slowness = 1.0
        self.reports = 0
        self.learned_at_s = 0.0

    def reset(self) -> None:
        """Forget the speed, as for a target that has been replaced."""
        self.reports = 0


class _RouteCost:
    def __init__(self, mean_s: float) -> None:
        self.mean_s = mean_s
        self.reports = 1


class ServiceSpeeds:
    """What the calls of one service cost, by route, and how much its targets differ."""

    def __init__(self) -> None:
        self.hold_s = 0.0
        self.mean_slowness = 1.0
        self.placed_by_completion = 0
        self._selections = 0
        self._zone_loads: dict[str, tuple[float, float]] = {}
        self._routes: dict[str, _RouteCost] = {}
        self._mean_cost_s = 0.0
        self._excess = 0.0
        self._learned_at_s = 0.0
        self._differ_until_s = 0.0

    def learn(
        self, target: TargetSpeed, route: str, call_time_s: float, now_s: float
    ) -> bool:
        """Add a target's mean self time for a route.

        Return whether the targets count as different since this report.
        """
        slowness = self.slowness(target, now_s)
        if now_s - target.learned_at_s > _SLOWNESS_TTL_S:
            target.reports = 0
        cost = self._routes.get(route)
        if cost is None:
            if len(self._routes) >= _MAX_ROUTES:
                self._routes = {}
            cost = self._routes[route] = _RouteCost(call_time_s / slowness)
        # Other threads may reset the number meanwhile.
        target.reports = reports = target.reports + 1
        weight = 1 / reports if reports * _TARGET_SMOOTHING < 1 else _TARGET_SMOOTHING
        slowness += (call_time_s / cost.mean_s - slowness) * weight
        if not _MIN_SLOWNESS <= slowness <= _MAX_SLOWNESS:
            slowness = min(max(slowness, _MIN_SLOWNESS), _MAX_SLOWNESS)
        target.slowness, target.learned_at_s = slowness, now_s
        weight = _ROUTE_SMOOTHING
        if cost.reports * _ROUTE_SMOOTHING < 1:
            cost.reports += 1
            weight = max(1 / cost.reports, _ROUTE_SMOOTHING)
        # By the mean slowness, which this keeps near 1. Otherwise only the product of
        # both factors is determined, and the slowness of all targets drifts to a limit.
        relative = slowness / self.mean_slowness
        cost.mean_s += (call_time_s / relative - cost.mean_s) * weight
        self._mean_cost_s += (cost.mean_s - self._mean_cost_s) * (
            _SERVICE_SMOOTHING if self._mean_cost_s else 1.0
        )
        self.mean_slowness += (slowness - self.mean_slowness) * _SERVICE_SMOOTHING
        # Each report of a target follows a further call of it; other nodes get the
        # reports of more calls, so this is the least number.
        calls = reports + _UNREPORTED_CALLS
        if calls > _MAX_CALLS:
            calls = _MAX_CALLS
        ratio = slowness / self.mean_slowness
        distance = ratio - 1.0
        excess = calls * distance * distance / ratio - _CALL_VARIANCE
        if excess < 0.0:
            excess = 0.0
        weight = (now_s - self._learned_at_s) / _EXCESS_PERIOD_S
        # Results are added by many threads, not in the order of their arrival.
        if weight > 0.0:
            self._learned_at_s = now_s
            if weight > _MAX_EXCESS_WEIGHT:
                weight = _MAX_EXCESS_WEIGHT
            self._excess += (excess - self._excess) * weight
        if self._excess < _MIN_EXCESS:
            return False
        began = not self.differ(now_s)
        self._differ_until_s = now_s + _DIFFER_HOLD_S
        return began

    def learn_hold(self, duration_s: float) -> None:
        """Add the duration of an answered call."""
        weight = _SERVICE_SMOOTHING if self.hold_s else 1.0
        self.hold_s += (duration_s - self.hold_s) * weight

    def learn_load(self, zone: str, utilization: float, now_s: float) -> None:
        """Add the reported load of a target in a zone, as a share of its limit."""
        load, _ = self._zone_loads.get(zone, _UNKNOWN_ZONE)
        if utilization > 1.0:
            utilization = 1.0
        load += (utilization - load) * _SERVICE_SMOOTHING
        self._zone_loads[zone] = (load, now_s)

    def usual_load(self, zone: str, now_s: float) -> float:
        """Return the load of the targets in a zone about which nothing else is known.

        It goes back to a medium load, so that a zone that was busy is tried again.
        """
        load, learned_at_s = self._zone_loads.get(zone, _UNKNOWN_ZONE)
        age_s = now_s - learned_at_s
        if age_s <= _ZONE_LOAD_HOLD_S:
            return load
        share = min(1.0, (age_s - _ZONE_LOAD_HOLD_S) / _ZONE_LOAD_DECAY_S)
        return load + (_UNKNOWN_LOAD - load) * share

    def slowness(self, target: TargetSpeed, now_s: float) -> float:
        """Return how slow a target is; the average of the service if not known."""
        if not target.reports:
            return self.mean_slowness
        age_s = now_s - target.learned_at_s
        if age_s <= _SLOWNESS_HOLD_S:
            return target.slowness
        if age_s >= _SLOWNESS_TTL_S:
            return self.mean_slowness
        share = (age_s - _SLOWNESS_HOLD_S) / (_SLOWNESS_TTL_S - _SLOWNESS_HOLD_S)
        return target.slowness + (self.mean_slowness - target.slowness) * share

    def cost(self, route: str) -> float:
        """Return the self time of a call of the route at a target of slowness 1."""
        cost = self._routes.get(route)
        return cost.mean_s if cost is not None else self._mean_cost_s

    def differ(self, now_s: float) -> bool:
        """Return whether targets of the service are known to differ in speed."""
        return now_s < self._differ_until_s

    def is_exploration_due(self) -> bool:
        """Count a selection; return whether it should ignore the speeds of targets.

        Otherwise a target that seems slow would get no calls, and no new reports.
        """
        self._selections += 1
        return self._selections % _EXPLORATION_INTERVAL == 0


class SpeedBook:
    """The speeds of the targets of all services, as known to one sending node."""

    def __init__(self) -> None:
        self._services: dict[str, ServiceSpeeds] = {}

    def of(self, service: str) -> ServiceSpeeds:
        """Return what is known of a service."""
        speeds = self._services.get(service)
        if speeds is None:
            speeds = self._services[service] = ServiceSpeeds()
        return speeds

    def count_different(self, now_s: float) -> int:
        """Return the number of services whose targets differ in speed."""
        return sum(each.differ(now_s) for each in list(self._services.values()))

    def count_placed_by_completion(self) -> int:
        """Return how many selections were made by expected completion."""
        return sum(each.placed_by_completion for each in list(self._services.values()))
