"""Chooses the target of a call.

Targets of the own availability zone come first; others are used when none of
those takes calls of this rank. Of the targets that are left, two are drawn and
the one with the shorter expected delay is taken. For a request with a name the
two are its own by rendezvous hashing, whether they take calls or not, so that its
re-sends meet at the same two targets of each zone wherever they enter.

Ejected targets are passed over, but never more than half of a group: when most
of them fail, it is not the targets' fault alone and all are tried.
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
from .track import TargetTrack, regain_level

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["Chooser", "rank_rendezvous"]

_MOST_TRACKS = 4096
_MOST_ROUTES = 1024
_ROUTE_SMOOTHING = 0.3
_DELAY_RANGE = 4.0


def rank_rendezvous(
    name: str, endpoints: Sequence[Endpoint], count: int
) -> list[Endpoint]:
    """Return the `count` endpoints that a name hashes to, in a fixed order."""

    def score(endpoint: Endpoint) -> int:
        node, address = endpoint.name
        return xxhash.xxh64_intdigest(f"{name}\0{node}\0{address}".encode())

    return heapq.nlargest(count, endpoints, key=score)


class Chooser:
    """Chooses targets for one process, from what that process has seen."""

    def __init__(
        self,
        directory: Directory,
        zone: str,
        clock: Clock,
        choose: random.Random | None = None,
        on_eject: Callable[[Endpoint], None] = lambda _: None,
    ) -> None:
        self._directory = directory
        self._zone = zone
        self._clock = clock
        self._random = choose or random.Random()
        self._on_eject = on_eject
        self._tracks: dict[tuple[str, str], TargetTrack] = {}
        self._routes: dict[tuple[str, str], tuple[float, timedelta]] = {}
        self._lock = threading.Lock()

    def choose(
        self,
        service: str,
        route: str,
        rank: int,
        name: str = "",
        without: frozenset[tuple[str, str]] = frozenset(),
    ) -> Endpoint | Refusal:
        """Return the target for a call and count it as under way, or why none.

        `route` tells apart the kinds of requests of a service, `name` is the
        request's own name, `without` holds targets not to be tried again.
        """
        endpoints = [e for e in self._directory.find(service) if e.name not in without]
        if not endpoints:
            return Refusal.NO_TARGET
        now = self._clock.monotonic()
        with self._lock:
            if rank >= self._route_level(service, route, now):
                return Refusal.OVERLOAD
            taking = self._keep_taking(endpoints, rank, name, now)
            if not taking:
                return Refusal.OVERLOAD
            chosen = self._pick(taking, now)
            self._track(chosen, now).in_flight += 1
            return chosen

    def read_level(self, service: str, route: str) -> int:
        """Return the level at which calls of a kind are taken at present."""
        now = self._clock.monotonic()
        with self._lock:
            targets = [
                self._track(each, now).level(now)
                for each in self._directory.find(service)
            ]
            return min(
                max(targets, default=RANKS), self._route_level(service, route, now)
            )

    def begin(self, endpoint: Endpoint) -> None:
        """Count a call as under way at a target that was not chosen here."""
        with self._lock:
            self._track(endpoint, self._clock.monotonic()).in_flight += 1

    def release(self, endpoint: Endpoint) -> None:
        """Take back a call that was counted as under way but not sent."""
        with self._lock:
            track = self._track(endpoint, self._clock.monotonic())
            track.in_flight = max(0, track.in_flight - 1)

    def finish(
        self,
        endpoint: Endpoint,
        route: str,
        failed: bool,
        took: timedelta,
        level: int,
        own_level: int,
    ) -> None:
        """Take in the end of a call that was begun at a target.

        `level` is the lowest admission level below, `own_level` the target's.
        """
        now = self._clock.monotonic()
        ejected = False
        with self._lock:
            track = self._track(endpoint, now)
            track.in_flight = max(0, track.in_flight - 1)
            if failed:
                ejected = track.note_failure(now)
            else:
                track.note_success(took)
                track.note_level(own_level, now)
                self._note_route(endpoint.service, route, level, now)
        if ejected:
            self._on_eject(endpoint)

    def _keep_taking(
        self, endpoints: list[Endpoint], rank: int, name: str, now: timedelta
    ) -> list[Endpoint]:
        near = [each for each in endpoints if each.member.zone == self._zone]
        far = [each for each in endpoints if each.member.zone != self._zone]
        admitting: list[Endpoint] = []
        for group in (near, far):
            drawn = self._keep_sound(group, now)
            if name:
                drawn = rank_rendezvous(name, drawn, 2)
            taking = [e for e in drawn if rank < self._track(e, now).level(now)]
            with_room = [each for each in taking if self._has_room(each)]
            if with_room:
                return with_room
            admitting += taking
        return admitting

    def _keep_sound(self, group: list[Endpoint], now: timedelta) -> list[Endpoint]:
        sound = [e for e in group if self._track(e, now).ejected_until <= now]
        return sound if len(sound) * 2 >= len(group) else group

    def _has_room(self, endpoint: Endpoint) -> bool:
        return self._tracks[endpoint.name].in_flight < max(1, endpoint.target.slots)

    def _pick(self, taking: list[Endpoint], now: timedelta) -> Endpoint:
        pair = self._random.sample(taking, min(2, len(taking)))
        fastest = min(self._tracks[each.name].delay for each in pair)
        return min(pair, key=lambda each: self._expect_delay(each, fastest, now))

    def _expect_delay(
        self, endpoint: Endpoint, fastest: timedelta, now: timedelta
    ) -> float:
        track = self._tracks[endpoint.name]
        room = max(1, endpoint.target.slots) * track.warmth(now)
        slowness = track.delay / fastest if fastest else 1.0
        return (track.in_flight + 1) / room * min(slowness, _DELAY_RANGE)

    def _track(self, endpoint: Endpoint, now: timedelta) -> TargetTrack:
        track = self._tracks.get(endpoint.name)
        if track is None:
            while len(self._tracks) >= _MOST_TRACKS:
                self._tracks.pop(next(iter(self._tracks)))
            track = TargetTrack(now, endpoint.target.cold)
            self._tracks[endpoint.name] = track
        return track

    def _route_level(self, service: str, route: str, now: timedelta) -> int:
        level, told_at = self._routes.get((service, route), (None, now))
        if level is None:
            return RANKS
        return regain_level(int(level), now - told_at)

    def _note_route(self, service: str, route: str, level: int, now: timedelta) -> None:
        key = (service, route)
        before = self._route_level(service, route, now)
        while key not in self._routes and len(self._routes) >= _MOST_ROUTES:
            self._routes.pop(next(iter(self._routes)))
        self._routes[key] = (before + (level - before) * _ROUTE_SMOOTHING, now)
