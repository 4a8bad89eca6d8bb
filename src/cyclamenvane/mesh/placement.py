"""Selection of the service and the target for a call.

Targets in the local zone are preferred, the least loaded first. A call is sent to
another zone only if the selected local target is nearly full and a target in the
other zone is clearly less loaded, because traffic between zones costs time and
money.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection, Sequence
from datetime import timedelta

from .directory import Peer
from .model import Route

__all__ = ["select_peer", "select_service"]

# All loads below are shares of a target's limit on concurrent calls.
_SPILL_THRESHOLD = 1.0  # load from which other zones are considered
_ZONE_MARGIN = 0.4  # how much lower the load in another zone has to be
_ZONE_MARGIN_PER_UNIT = 0.5  # added for each 100 KB of bodies to transfer
_MAX_ZONE_MARGIN = 3.0  # a longer queue costs callers more than any transfer
_BODY_UNIT_BYTES = 100_000
_FAULT_LOAD = 0.25  # load added for each recent fault of a target
_SAMPLE_SIZE = 3  # targets compared; with more, all nodes would select the same one


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
    sample: Callable[[Sequence[Peer], int], list[Peer]] = random.sample,
) -> Peer | None:
    """Return the target for a call, or None if no target is usable.

    `tried` holds the names of the nodes that the call was already sent to.
    `body_bytes` is the size of the request body and of the expected response body.
    """
    untried = [peer for peer in peers if peer.record.node not in tried]
    usable = [peer for peer in untried if peer.is_usable(now)]
    if not usable:
        usable = [peer for peer in untried if peer.is_usable_as_fallback(now)]
    local = [peer for peer in usable if peer.record.zone == local_zone]
    best, load = _find_least_loaded(local, now, sample)
    if best is not None and load < _SPILL_THRESHOLD:
        return best
    remote = [peer for peer in usable if peer.record.zone != local_zone]
    best_remote, remote_load = _find_least_loaded(remote, now, sample)
    if best is None or best_remote is None:
        return best or best_remote
    margin = _ZONE_MARGIN + _ZONE_MARGIN_PER_UNIT * body_bytes / _BODY_UNIT_BYTES
    margin = min(margin, _MAX_ZONE_MARGIN)
    return best_remote if remote_load < load - margin else best


def _find_least_loaded(
    peers: list[Peer],
    now: timedelta,
    sample: Callable[[Sequence[Peer], int], list[Peer]],
) -> tuple[Peer | None, float]:
    if len(peers) > _SAMPLE_SIZE:
        peers = sample(peers, _SAMPLE_SIZE)
    best, lowest = None, math.inf
    for peer in peers:
        load = peer.utilization(now) + peer.faults * _FAULT_LOAD
        if load < lowest:
            best, lowest = peer, load
    return best, lowest
