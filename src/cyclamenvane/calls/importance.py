"""The importance of a call, and the rank that orders calls for admission.

The policy document assigns an `Importance` to each call where it enters the graph.
Calls of the same importance are ordered by a hash of their root, which is the same
at every hop: when some calls have to be refused, every hop refuses the same roots.
Importance and hash together form the rank, an integer from 0 (refused last) to
`RANKS - 1`.

    >>> rank_call(Importance.CRITICAL, "root-1") < rank_call(Importance.LOW, "root-1")
    True
"""

from __future__ import annotations

from enum import IntEnum

import xxhash

__all__ = ["RANKS", "RANKS_PER_IMPORTANCE", "Importance", "rank_call"]

RANKS_PER_IMPORTANCE = 128


class Importance(IntEnum):
    """The importance of a call; smaller values are refused later."""

    CRITICAL = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3


RANKS = RANKS_PER_IMPORTANCE * len(Importance)


def rank_call(importance: Importance, root: str) -> int:
    """Return the rank of a call, given its importance and its root."""
    root_rank = xxhash.xxh32_intdigest(root.encode()) % RANKS_PER_IMPORTANCE
    return importance * RANKS_PER_IMPORTANCE + root_rank
