"""Selection of the service and the target for a call.

Targets in the local zone are preferred, the least loaded first. A call is sent to
another zone only if the selected local target is nearly full and a target in the
other zone is clearly less loaded, because traffic between zones costs time and
money.

Where the targets of a service are known to differ in speed, the expected completion of
the call decides in place of the load, see docs/design/cost.md.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection, Sequence
from datetime import timedelta
from typing import NamedTuple, TypeAlias

import eliot

from ..cost import Completion, ServiceSpeeds, SpeedBook, estimate_completion
from .directory import Peer
from .forward import ForwardResult, Verdict
from .model import Route

__all__ = ["record_cost", "select_peer", "select_service"]

# All loads below are shares of a target's limit on concurrent calls.
_SPILL_THRESHOLD = 1.0  # load from which other zones are considered
_ZONE_MARGIN = 0.4  # how much lower the load in another zone has to be
_ZONE_MARGIN_PER_UNIT = 0.5  # added for each 100 KB of bodies to transfer
_MAX_ZONE_MARGIN = 3.0  # a longer queue costs callers more than any transfer
_BODY_UNIT_BYTES = 100_000
_FAULT_LOAD = 0.25  # load added for each recent fault of a target
_SAMPLE_SIZE = 3  # targets compared; with more, all nodes would select the same one

_Sample: TypeAlias = Callable[[Sequence[Peer], int], list[Peer]]

# Where the targets of a service differ in speed:
_WARMUP_SLOWNESS = 2.0  # of a target that has just started
_FAULT_COST = 0.25  # share of the call's time added for each recent fault of a target
_SINGLE_RUN_FAULT_COST = 0.5  # for a call that may run once only
_BUSY_LOAD = 0.9  # load from which other zones are considered
_REFUSED_ZONE_MARGIN = 0.15  # in place of _ZONE_MARGIN once a target has refused
_MIN_WAIT_MARGIN_S = 0.01  # how much shorter the wait there has to be
_WAIT_MARGIN_SHARE = 0.25  # of the time of the call, if that is more
_TRANSFER_S = 0.006  # to another zone and back
_NO_COMPLETION = Completion(math.inf, math.inf, math.inf)


def select_service(route: Route, draw: float) -> str:
    """Return a service of the route by weight; `draw` is random from [0, 1)."""
    if len(route.shares) == 1:
        return route.shares[0].service
    point = draw * sum(share.weight for share in route.shares)
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


def select_peer(
    peers: Sequence[Peer],
    local_zone: str,
    tried: Collection[str],
    now: timedelta,
    body_bytes: int = 0,
    speeds: ServiceSpeeds | None = None,
    route: Route | None = None,
    sample: _Sample = random.sample,
) -> Peer | None:
    """Return the target for a call, or None if no target is usable.

    `tried` holds the names of the nodes that the call was already sent to.
    `body_bytes` is the size of the request body and of the expected response body.
    If the `speeds` of the targets differ, the expected completion of a call of the
    `route` decides.
    """
    untried = [peer for peer in peers if peer.record.node not in tried]
    usable = [peer for peer in untried if peer.is_usable(now)]
    if not usable:
        usable = [peer for peer in untried if peer.is_usable_as_fallback(now)]
    local = [peer for peer in usable if peer.record.zone == local_zone]
    if speeds is not None and route is not None:
        now_s = now.total_seconds()
        if speeds.differ(now_s) and not speeds.is_exploration_due():
            fault_cost = _FAULT_COST if route.idempotent else _SINGLE_RUN_FAULT_COST
            speeds.placed_by_completion += 1
            call = _CallCost(speeds, speeds.cost(route.name), fault_cost, now_s)
            remote = [peer for peer in usable if peer.record.zone != local_zone]
            load_margin = _REFUSED_ZONE_MARGIN if tried else _ZONE_MARGIN
            margin = _zone_margin(load_margin, body_bytes)
            return _select_by_completion(call, local, remote, margin, sample)
    best, load = _find_least_loaded(local, now, sample)
    if best is not None and load < _SPILL_THRESHOLD:
        return best
    remote = [peer for peer in usable if peer.record.zone != local_zone]
    best_remote, remote_load = _find_least_loaded(remote, now, sample)
    if best is None or best_remote is None:
        return best or best_remote
    margin = _zone_margin(_ZONE_MARGIN, body_bytes)
    return best_remote if remote_load < load - margin else best


def record_cost(
    book: SpeedBook,
    peer: Peer,
    route: Route,
    result: ForwardResult,
    duration: timedelta,
) -> None:
    """Learn from a result what calls cost at its target; `duration` is the call's."""
    service, zone = peer.record.service, peer.record.zone
    speeds, load, now_s = book.of(service), result.load, peer.reports.reported_at_s
    if load.limit:
        speeds.learn_load(zone, load.in_flight / load.limit, now_s)
    if result.verdict is Verdict.ANSWERED:
        speeds.learn_hold(duration.total_seconds())
    if not load.call_time:
        return
    call_time_s = load.call_time.total_seconds()
    if speeds.learn(peer.speed, route.name, call_time_s, now_s):
        eliot.log_message(
            "service:targets_differ",
            service=service,
            node=peer.record.node,
            slowness=round(peer.speed.slowness / speeds.mean_slowness, 2),
        )


def _zone_margin(margin: float, body_bytes: int) -> float:
    margin += _ZONE_MARGIN_PER_UNIT * body_bytes / _BODY_UNIT_BYTES
    return min(margin, _MAX_ZONE_MARGIN)


def _find_least_loaded(
    peers: list[Peer], now: timedelta, sample: _Sample
) -> tuple[Peer | None, float]:
    if len(peers) > _SAMPLE_SIZE:
        peers = sample(peers, _SAMPLE_SIZE)
    best, lowest = None, math.inf
    now_s = now.total_seconds()
    for peer in peers:
        load = peer.utilization(now) + peer.faults(now_s) * _FAULT_LOAD
        if load < lowest:
            best, lowest = peer, load
    return best, lowest


class _CallCost(NamedTuple):
    """What a call costs at a target of slowness 1, and what is known of targets."""

    speeds: ServiceSpeeds
    cost_s: float
    fault_cost: float
    now_s: float


def _select_by_completion(
    call: _CallCost,
    local: list[Peer],
    remote: list[Peer],
    load_margin: float,
    sample: _Sample,
) -> Peer | None:
    best, expected = _find_earliest(call, local, sample)
    if best is not None and expected.utilization < _BUSY_LOAD:
        return best
    best_remote, remote_expected = _find_earliest(call, remote, sample)
    if best is None or best_remote is None:
        return best or best_remote
    if remote_expected.utilization > expected.utilization - load_margin:
        return best
    # A faster target is no reason to leave the zone, a shorter wait is.
    wait_margin_s = max(_MIN_WAIT_MARGIN_S, _WAIT_MARGIN_SHARE * expected.service_s)
    if remote_expected.wait_s > expected.wait_s - wait_margin_s:
        return best
    remote_total_s = remote_expected.wait_s + remote_expected.service_s + _TRANSFER_S
    return (
        best_remote if remote_total_s < expected.wait_s + expected.service_s else best
    )


def _find_earliest(
    call: _CallCost, peers: list[Peer], sample: _Sample
) -> tuple[Peer | None, Completion]:
    if len(peers) > _SAMPLE_SIZE:
        peers = sample(peers, _SAMPLE_SIZE)
    best, best_expected, earliest_s = None, _NO_COMPLETION, math.inf
    speeds, now_s = call.speeds, call.now_s
    for peer in peers:
        slowness = speeds.slowness(peer.speed, now_s)
        if now_s < peer.warm_at_s:
            slowness = max(slowness, speeds.mean_slowness * _WARMUP_SLOWNESS)
        load = peer.estimate_load(speeds.usual_load(peer.record.zone, now_s), now_s)
        faults = peer.faults(now_s)
        if faults:
            slowness *= 1.0 + faults * call.fault_cost
            load += faults * _FAULT_LOAD
        expected = estimate_completion(
            load,
            peer.reports.queue_wait_s(now_s),
            call.cost_s * slowness,
            speeds.hold_s * slowness,
        )
        total_s = expected.wait_s + expected.service_s
        if total_s < earliest_s:
            best, best_expected, earliest_s = peer, expected, total_s
    return best, best_expected
