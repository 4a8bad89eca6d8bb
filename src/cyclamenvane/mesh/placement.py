"""The choice of a target for one call.

Targets of the own zone go first, the one with the most room. A call leaves the
zone only when its own targets are nearly full and another zone has clearly more
room, since bytes between zones cost time and money.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection, Sequence
from datetime import timedelta

from .directory import Peer
from .model import Route

__all__ = ["choose_peer", "choose_service"]

_FULL = 1.0  # share of a target's room beyond which other zones are looked at
_MARGIN = 0.4  # room that another zone must have more
_BODY_MARGIN = 0.5  # and more for each 100 KB that would be carried over
_BODY_UNIT = 100_000
_FAULT_WEIGHT = 0.25  # share of a target's room that one recent fault stands for
_CHOICES = 3  # targets compared; more would send all nodes to the same one


def choose_service(route: Route, draw: float) -> str:
    """Return the service for a call, by the weights; `draw` lies in [0, 1)."""
    if len(route.shares) == 1:
        return route.shares[0].service
    point = draw * sum(share.weight for share in route.shares)
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


def choose_peer(
    peers: Sequence[Peer],
    own_zone: str,
    tried: Collection[str],
    now: timedelta,
    body_bytes: int = 0,
    sample: Callable[[Sequence[Peer], int], list[Peer]] = random.sample,
) -> Peer | None:
    """Return the target for a call, or None when none can be used."""
    left = [peer for peer in peers if peer.record.node not in tried]
    usable = [peer for peer in left if peer.is_usable(now)]
    if not usable:
        usable = [peer for peer in left if peer.is_last_resort(now)]
    near = [peer for peer in usable if peer.record.zone == own_zone]
    best, used = _find_least_used(near, now, sample)
    if best is not None and used < _FULL:
        return best
    far = [peer for peer in usable if peer.record.zone != own_zone]
    other, other_used = _find_least_used(far, now, sample)
    if best is None or other is None:
        return best or other
    margin = _MARGIN + _BODY_MARGIN * body_bytes / _BODY_UNIT
    return other if other_used < used - margin else best


def _find_least_used(
    peers: list[Peer],
    now: timedelta,
    sample: Callable[[Sequence[Peer], int], list[Peer]],
) -> tuple[Peer | None, float]:
    if len(peers) > _CHOICES:
        peers = sample(peers, _CHOICES)
    best, least = None, math.inf
    for peer in peers:
        used = peer.used_share(now) + peer.faults * _FAULT_WEIGHT
        if used < least:
            best, least = peer, used
    return best, least
