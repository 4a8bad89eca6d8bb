"""The node of a zone that holds the bucket of an account.

All nodes rank the nodes of a zone by the same hash of account and node, so those that
know the same nodes agree on the holder without talking, and a node that comes or goes
moves only the accounts that it holds.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

__all__ = ["rank_holders"]


def rank_holders(account: str, nodes: Iterable[str]) -> tuple[str, ...]:
    """Return nodes in the order in which they hold the bucket of an account."""
    seed = xxhash.xxh32_intdigest(account.encode())

    def weigh(node: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(node.encode(), seed), node

    return tuple(sorted(nodes, key=weigh))
