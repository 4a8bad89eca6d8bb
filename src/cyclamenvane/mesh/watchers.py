"""Selection of the nodes that follow the store for their zone.

Answers the load that a fleet puts on the store. One node of each zone, or a few of a
large one, are watchers and follow the store; the other nodes follow a watcher of their
zone. The node next in rank is the standby. All nodes rank the nodes of their zone by
the same hash, so those that know the same nodes agree on the watchers without talking.
No agreement is needed: a node that is asked for updates becomes a watcher for a while,
whatever its rank.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from ..clock import Clock
    from .model import NodeRecord

__all__ = ["WatcherSelection", "rank_nodes"]

_NODES_PER_WATCHER = 64  # each follower occupies a task of its watcher
# How long a watcher that did not answer is left alone, doubled each time.
_INITIAL_PAUSE = timedelta(seconds=1)
_MAX_PAUSE = timedelta(seconds=8)
# How long a watcher that has lost the store is avoided.
_STORE_LOST_PAUSE = timedelta(seconds=3)
# When more watchers than this have lost the store, the store is down, and further
# watchers would not reach it either.
_MAX_REPLACED_WATCHERS = 2
# The first nodes in rank try to read the configuration at once when a watcher has lost
# the store, which may still serve some of them. A few at random become watchers.
_MAX_EXPLORERS = 16
_EXPLORATION_PERIOD = timedelta(seconds=1)  # if the store does not answer
_RANDOM_WATCHERS = 2
_MAX_FAILURES = 4  # watchers in a row that do not answer, before the store is tried
_WATCH_PERIOD = timedelta(seconds=5)  # of a node that is not among the first


@dataclass(slots=True)
class _Pause:
    length: timedelta
    until: timedelta


class WatcherSelection:
    """Which node the local node follows, or that it follows the store itself.

    `list_nodes` returns the records of the zone's other nodes that seem reachable.
    """

    def __init__(
        self,
        local_node: str,
        list_nodes: Callable[[], Sequence[NodeRecord]],
        clock: Clock,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self._local_node = local_node
        self._list_nodes = list_nodes
        self._clock = clock
        self._draw = draw
        self._silent: dict[str, _Pause] = {}
        self._without_store: dict[str, timedelta] = {}
        self._failures = 0
        self._standby = ""
        self._watching_until = timedelta()
        self._explored = False
        self._exploring_until = timedelta()

    def select(self, has_rows: bool = True) -> NodeRecord | None:
        """Return the watcher to follow, None if the local node is one.

        A node that has no rows yet gets them from another node, if it knows any.
        """
        now = self._clock.monotonic()
        store_lost = now < self._without_store.get(self._local_node, now)
        if now < self._watching_until and not store_lost:
            return None
        records = {each.node: each for each in self._list_nodes()}
        paused = {node for node, pause in self._silent.items() if now < pause.until}
        members = [node for node in records if node not in paused]
        if has_rows or not members:
            members.append(self._local_node)
        watchers = self._select_watchers(members, now)
        if self._local_node in watchers:
            return None
        # Followers spread over the watchers by their own hash.
        return records[watchers[_hash(self._local_node) % len(watchers)]]

    def is_standby(self) -> bool:
        """Return whether the local node follows the configuration beside its watcher.

        It does if it was next in rank in the last selection, or is exploring.
        """
        return self._standby == self._local_node or self.is_exploring()

    def record_request(self) -> None:
        """Record that another node follows the local one."""
        self._extend_watch(_WATCH_PERIOD)

    def record_answer(self, node: str) -> None:
        """Record that a watcher answered and reaches the store."""
        self._failures = 0
        self._explored = False
        self._silent.pop(node, None)
        self._without_store.pop(node, None)

    def record_silence(self, node: str) -> None:
        """Record that a watcher did not answer."""
        known = self._silent.get(node)
        length = min(known.length * 2, _MAX_PAUSE) if known else _INITIAL_PAUSE
        self._silent[node] = _Pause(length, self._clock.monotonic() + length)
        self._failures += 1
        if self._failures >= _MAX_FAILURES:
            self._failures = 0
            self._extend_watch(_WATCH_PERIOD * (0.8 + 0.4 * self._draw()))

    def record_store_lost(self, node: str) -> None:
        """Record that a watcher, maybe the local node, does not reach the store."""
        self._failures = 0
        self._silent.pop(node, None)
        self._without_store[node] = self._clock.monotonic() + _STORE_LOST_PAUSE
        if node == self._local_node:
            return
        nodes = [each.node for each in self._list_nodes()] + [self._local_node]
        first = rank_nodes(nodes)[:_MAX_EXPLORERS]
        if not self._explored and self._local_node in first:
            self._explored = True
            self._extend_exploration(_EXPLORATION_PERIOD)
        if self._draw() < _RANDOM_WATCHERS / len(nodes):
            self._extend_watch(_WATCH_PERIOD)

    def record_store_reached(self) -> None:
        """Record that the local node, as a standby, reaches the store itself."""
        if self._explored:
            self._explored = False
            self._extend_exploration(_WATCH_PERIOD)

    def is_exploring(self) -> bool:
        """Return whether the local node tries the store since its watcher lost it."""
        return self._clock.monotonic() < self._exploring_until

    def _extend_exploration(self, period: timedelta) -> None:
        self._exploring_until = max(
            self._exploring_until, self._clock.monotonic() + period
        )

    def _extend_watch(self, period: timedelta) -> None:
        self._watching_until = max(
            self._watching_until, self._clock.monotonic() + period
        )

    def _select_watchers(self, nodes: list[str], now: timedelta) -> list[str]:
        count = math.ceil(len(nodes) / _NODES_PER_WATCHER)
        ranked = rank_nodes(nodes)
        lost = [node for node in ranked if now < self._without_store.get(node, now)]
        skipped = lost[:_MAX_REPLACED_WATCHERS]
        kept = [node for node in ranked if node not in skipped] or ranked
        self._standby = kept[count] if len(kept) > count else ""
        return kept[:count]


def rank_nodes(nodes: Collection[str]) -> list[str]:
    """Return nodes in the order in which they become watchers."""
    return sorted(nodes, key=lambda node: (_hash(node), node))


def _hash(node: str) -> int:
    return xxhash.xxh64_intdigest(node.encode())
