"""Selects the target of a call.

Targets in the local availability zone are preferred; others are used when none of
those has a free slot and admits calls of this rank. Of the remaining targets, two
are picked at random and the one with the shorter expected delay is selected. For a
request with an id, rendezvous hashing first picks two targets of the local zone
and, if needed, two among all other zones, whether or not they admit calls, so that
resends that enter in the same zone reach the same targets.

Ejected targets are skipped unless more than half of a group is ejected: when most
targets fail, the cause is probably not in the targets alone, and all are tried.
"""

from __future__ import annotations

import heapq
import random
import threading
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import TYPE_CHECKING

import xxhash

from ..calls import RANKS, Refusal
from .directory import Directory, Endpoint
from .target_health import TargetHealth, recover_level

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["TargetSelector", "pick_by_rendezvous"]

_MAX_TARGETS = 4096
_MAX_ROUTES = 1024
_ROUTE_SMOOTHING = 0.3
_MAX_SLOWNESS = 4.0


def pick_by_rendezvous(
    request_id: str, endpoints: Sequence[Endpoint], count: int
) -> list[Endpoint]:
    """Return the `count` endpoints with the highest rendezvous hash, in order."""

    def score(endpoint: Endpoint) -> int:
        node, address = endpoint.name
        return xxhash.xxh64_intdigest(f"{request_id}\0{node}\0{address}".encode())

    return heapq.nlargest(count, endpoints, key=score)


class TargetSelector:
    """Selects targets from the calls and reports observed by this process."""

    def __init__(
        self,
        directory: Directory,
        zone: str,
        clock: Clock,
        rng: random.Random | None = None,
        on_eject: Callable[[Endpoint], None] = lambda _: None,
    ) -> None:
        self._directory = directory
        self._zone = zone
        self._clock = clock
        self._rng = rng or random.Random()
        self._on_eject = on_eject
        self._health: dict[tuple[str, str], TargetHealth] = {}
        self._routes: dict[tuple[str, str], tuple[float, timedelta]] = {}
        self._lock = threading.Lock()

    def select(
        self,
        service: str,
        route: str,
        rank: int,
        request_id: str = "",
        excluded: frozenset[tuple[str, str]] = frozenset(),
    ) -> Endpoint | Refusal:
        """Return the target for a call, or the refusal if no target is available.

        The call counts as in flight at the returned target. `route` identifies the
        kind of request within the service. `excluded` holds the names of targets
        that are not to be tried again.
        """
        endpoints = [e for e in self._directory.find(service) if e.name not in excluded]
        if not endpoints:
            return Refusal.NO_TARGET
        now = self._clock.monotonic()
        with self._lock:
            if rank >= self._route_level(service, route, now):
                return Refusal.OVERLOAD
            admitting = self._filter_admitting(endpoints, rank, request_id, now)
            if not admitting:
                return Refusal.OVERLOAD
            selected = self._pick_less_loaded(admitting, now)
            self._health_of(selected, now).in_flight += 1
            return selected

    def current_level(self, service: str, route: str) -> int:
        """Return the highest level of the targets, or the route's level if lower."""
        now = self._clock.monotonic()
        with self._lock:
            levels = [
                self._health_of(endpoint, now).level(now)
                for endpoint in self._directory.find(service)
            ]
            return min(
                max(levels, default=RANKS), self._route_level(service, route, now)
            )

    def begin(self, endpoint: Endpoint) -> None:
        """Count a call as in flight at a target that `select` did not select."""
        with self._lock:
            self._health_of(endpoint, self._clock.monotonic()).in_flight += 1

    def release(self, endpoint: Endpoint) -> None:
        """Undo the in-flight count of a call that was not sent."""
        with self._lock:
            health = self._health_of(endpoint, self._clock.monotonic())
            health.in_flight = max(0, health.in_flight - 1)

    def finish(
        self,
        endpoint: Endpoint,
        route: str,
        failed: bool,
        duration: timedelta,
        level: int,
        target_level: int,
        answered: bool = True,
    ) -> None:
        """Record the end of a call that counted as in flight at a target.

        A call that was not `answered` in time says nothing of the target. `level` is
        the lowest admission level in the call tree below, `target_level` that of the
        target.
        """
        now = self._clock.monotonic()
        ejected = False
        with self._lock:
            health = self._health_of(endpoint, now)
            health.in_flight = max(0, health.in_flight - 1)
            if failed:
                ejected = health.record_failure(now)
            elif answered:
                health.record_success(duration)
                health.record_level(target_level, now)
                self._record_route_level(endpoint.service, route, level, now)
        if ejected:
            self._on_eject(endpoint)

    def _filter_admitting(
        self, endpoints: list[Endpoint], rank: int, request_id: str, now: timedelta
    ) -> list[Endpoint]:
        local_zone = [e for e in endpoints if e.member.zone == self._zone]
        other_zones = [e for e in endpoints if e.member.zone != self._zone]
        fallback: list[Endpoint] = []
        for group in (local_zone, other_zones):
            candidates = self._filter_healthy(group, now)
            if request_id:
                candidates = pick_by_rendezvous(request_id, candidates, 2)
            admitting = [
                candidate
                for candidate in candidates
                if rank < self._health_of(candidate, now).level(now)
            ]
            with_free_slot = [e for e in admitting if self._has_free_slot(e)]
            if with_free_slot:
                return with_free_slot
            fallback += admitting
        return fallback

    def _filter_healthy(self, group: list[Endpoint], now: timedelta) -> list[Endpoint]:
        healthy = [e for e in group if self._health_of(e, now).ejected_until <= now]
        return healthy if len(healthy) * 2 >= len(group) else group

    def _has_free_slot(self, endpoint: Endpoint) -> bool:
        return self._health[endpoint.name].in_flight < max(1, endpoint.target.slots)

    def _pick_less_loaded(self, admitting: list[Endpoint], now: timedelta) -> Endpoint:
        pair = self._rng.sample(admitting, min(2, len(admitting)))
        min_latency = min(self._health[e.name].latency for e in pair)
        return min(pair, key=lambda e: self._expected_delay(e, min_latency, now))

    def _expected_delay(
        self, endpoint: Endpoint, min_latency: timedelta, now: timedelta
    ) -> float:
        health = self._health[endpoint.name]
        capacity = max(1, endpoint.target.slots) * health.warm_up_share(now)
        slowness = health.latency / min_latency if min_latency else 1.0
        return (health.in_flight + 1) / capacity * min(slowness, _MAX_SLOWNESS)

    def _health_of(self, endpoint: Endpoint, now: timedelta) -> TargetHealth:
        health = self._health.get(endpoint.name)
        if health is None:
            while len(self._health) >= _MAX_TARGETS:
                self._health.pop(next(iter(self._health)))
            health = TargetHealth(now, endpoint.target.cold)
            self._health[endpoint.name] = health
        return health

    def _route_level(self, service: str, route: str, now: timedelta) -> int:
        level, reported_at = self._routes.get((service, route), (None, now))
        if level is None:
            return RANKS
        return recover_level(int(level), now - reported_at)

    def _record_route_level(
        self, service: str, route: str, level: int, now: timedelta
    ) -> None:
        key = (service, route)
        current = self._route_level(service, route, now)
        while key not in self._routes and len(self._routes) >= _MAX_ROUTES:
            self._routes.pop(next(iter(self._routes)))
        self._routes[key] = (current + (level - current) * _ROUTE_SMOOTHING, now)
