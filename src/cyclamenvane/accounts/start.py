"""The joint start of the nodes of a zone, and the nodes that have ended for good.

After a power loss all nodes of a zone start at about the same time. None of them holds
a bucket, so they need not wait for a holder from before.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["EndedNodes", "JointStart", "KnownNode"]

# For which nodes that start together count as usable before they grant anything.
_JOINT_START_TIME = timedelta(seconds=1)
# For which others may join. It ends well before the nodes that started first stop to
# count those that grant nothing as usable.
_JOINING_TIME = timedelta(milliseconds=400)
_HEARD_RECENTLY = timedelta(seconds=1)
_NEVER = timedelta(days=-1)
# From the announcement of a shutdown to the end of the node, unless it is heard.
_MAX_LEAVING_TIME = timedelta(seconds=10)


@dataclass(frozen=True)
class KnownNode:
    """A node of the directory, which could not be reached if not `reachable`.

    The target of a `leaving` node has announced its shutdown; its node ends after it.
    """

    name: str
    zone: str
    reachable: bool
    leaving: bool = False


class JointStart:
    """The nodes that have said that they grant nothing yet."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._starting: dict[str, timedelta] = {}
        self._until = clock.monotonic()

    def record(self, node: str) -> bool:
        """Record a node that grants nothing yet; return whether it counts as usable."""
        self._starting[node] = now = self._clock.monotonic()
        return now < self._until

    def is_possible(
        self, others: Collection[str], is_silent: Callable[[str], bool]
    ) -> bool:
        """Return whether none of the other nodes of the zone can grant anything yet.

        All that answer say so, and they are most of the zone together with the local
        node. The rest may have ended for good. If one of them is a holder behind a
        partition, it has lost most of its zone before and refills for its side only.
        """
        oldest = self._clock.monotonic() - _HEARD_RECENTLY
        starting = 0
        for node in others:
            if self._starting.get(node, _NEVER) > oldest:
                starting += 1
            elif not is_silent(node):
                return False
        return 0 < starting and 2 * (starting + 1) > len(others) + 1

    def begin(self) -> list[str]:
        """Start; return the nodes that count as usable from now on."""
        self._until = self._clock.monotonic() + _JOINT_START_TIME
        return list(self._starting)

    def may_be_joined(self) -> bool:
        """Return whether others may still start jointly with the local node."""
        left = self._until - self._clock.monotonic()
        return left > _JOINT_START_TIME - _JOINING_TIME

    def retain(self, nodes: Collection[str]) -> None:
        """Forget all nodes but these."""
        for gone in [node for node in self._starting.copy() if node not in nodes]:
            self._starting.pop(gone, None)


class EndedNodes:
    """Nodes that have ended although their records stay in the store."""

    def __init__(self) -> None:
        self._leaving_since: dict[str, timedelta] = {}

    def contains(
        self, node: KnownNode, heard_at: timedelta | None, now: timedelta
    ) -> bool:
        """Return whether a node has ended, by when it was last heard."""
        if not node.leaving:
            self._leaving_since.pop(node.name, None)
            return False
        since = self._leaving_since.setdefault(node.name, now)
        return now - max(since, heard_at or since) > _MAX_LEAVING_TIME

    def retain(self, nodes: Collection[str]) -> None:
        """Forget all nodes but these."""
        for gone in [node for node in self._leaving_since if node not in nodes]:
            del self._leaving_since[gone]
