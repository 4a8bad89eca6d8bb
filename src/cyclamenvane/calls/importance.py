"""The importance of a call, and the rank that orders calls for admission.

The policy document assigns an `Importance` to each call where it enters the graph.
Calls of the same importance are ordered by a hash of their root, which is the same
at every hop: when some calls have to be refused, every hop refuses the same roots.
Importance and hash together form the rank, an integer from 0 (refused last) to
`RANKS - 1`.

    >>> rank_call(Importance.CRITICAL, "root-1") < rank_call(Importance.LOW, "root-1")
    True

Calls may be divided into tiers first, which share the ranks evenly.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

import xxhash

__all__ = [
    "MAX_TIERS",
    "ONLY_TIER",
    "RANKS",
    "RANKS_PER_IMPORTANCE",
    "Importance",
    "Tier",
    "rank_call",
]

RANKS_PER_IMPORTANCE = 128


class Importance(IntEnum):
    """The importance of a call; smaller values are refused later."""

    CRITICAL = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3


RANKS = RANKS_PER_IMPORTANCE * len(Importance)
MAX_TIERS = 32  # leaves four ranks to each importance of a tier


class Tier(NamedTuple):
    """The position of a tier among `count` tiers; tier 0 is refused last."""

    position: int
    count: int


ONLY_TIER = Tier(0, 1)


def rank_call(importance: Importance, root: str, tier: Tier = ONLY_TIER) -> int:
    """Return the rank of a call, given its importance, its root and its tier."""
    root_rank = xxhash.xxh32_intdigest(root.encode()) % RANKS_PER_IMPORTANCE
    width = RANKS_PER_IMPORTANCE // tier.count
    level = tier.position * len(Importance) + importance
    return level * width + root_rank * width // RANKS_PER_IMPORTANCE
