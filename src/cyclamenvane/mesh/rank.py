"""The rank of calls for admission, and the calls running at the local target.

All calls of a call tree have the rank of its root call: refusing one call of a tree
wastes the work done for the others, so all nodes have to prefer the same roots. The
adapter reads the ancestors of a call from its attempt ID, if the platform's IDs
contain them.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from ..calls import ONLY_TIER, RANKS, Importance, Tier, rank_call
from ..cost import NestedTime

if TYPE_CHECKING:
    from .model import Route

__all__ = ["ActiveCall", "ActiveCalls", "Rank", "make_ranker", "rank_root"]


class Rank(NamedTuple):
    """The order of admission: lowest `root` first, for equal roots deepest first.

    `root` is the rank of the call tree's root call, from 0 to `RANKS` - 1. `depth` is
    the depth of the call in its tree, 0 for the root call.
    """

    root: int
    depth: int


def rank_root(priority: int, root_name: bytes, tier: Tier = ONLY_TIER) -> int:
    """Return the rank of a root call from its route's priority and its attempt ID.

    `tier` is that of the account whose call it is; it goes before the priority.
    """
    importance = Importance(min(max(priority, 0), Importance.LOW))
    return rank_call(importance, root_name.decode("latin-1"), tier)


class ActiveCall:
    """A call running at the target, and what was reported to its nested calls.

    `call_time` is the mean self time of the target for the route of the call, once the
    call has ended.
    """

    def __init__(self, rank: Rank) -> None:
        self.rank = rank
        self.nested_time = NestedTime()
        self.call_time = timedelta()
        self._levels: dict[str, tuple[int, int]] = {}
        # A target may make several nested calls at once, each in a task of its own.
        self._lock = threading.Lock()
        # Calls and rejections by service; None without nested calls.
        self.usage: dict[str, tuple[int, int]] | None = None

    def add_nested_call(self, service: str, level: int) -> None:
        """Add a finished nested call that the target made for this call."""
        with self._lock:
            total, count = self._levels.get(service, (0, 0))
            self._levels[service] = (total + level, count + 1)

    def add_usage(self, service: str, calls: int, rejections: int) -> None:
        """Add what a nested call, or one of its own nested calls, used."""
        with self._lock:
            usage = self.usage
            if usage is None:
                usage = self.usage = {}
            earlier_calls, earlier_rejections = usage.get(service, (0, 0))
            usage[service] = (earlier_calls + calls, earlier_rejections + rejections)

    def lowest_level(self) -> int:
        """Return the lowest of the mean admission levels of the services called."""
        means = [total // count for total, count in list(self._levels.values())]
        return min(means, default=RANKS)


class ActiveCalls:
    """The calls running at the local target, by their attempt ID."""

    def __init__(self) -> None:
        self._calls: dict[bytes, ActiveCall] = {}
        self._lock = threading.Lock()

    def begin(self, attempt: bytes | None, rank: Rank) -> ActiveCall:
        """Add a call, before it is sent to the target."""
        call = ActiveCall(rank)
        if attempt:
            with self._lock:
                self._calls[attempt] = call
        return call

    def end(self, attempt: bytes | None, call: ActiveCall) -> None:
        """Remove a call that has ended, unless another has begun with its attempt ID.

        A caller may send an attempt again while the first is still being cancelled.
        """
        if attempt:
            with self._lock:
                if self._calls.get(attempt) is call:
                    del self._calls[attempt]

    def find(self, attempt: bytes) -> ActiveCall | None:
        """Return the call with this attempt, or None if it is not active."""
        return self._calls.get(attempt)


def make_ranker(
    parse_ancestor_ids: Callable[[bytes], tuple[bytes, ...]],
    active_calls: ActiveCalls,
) -> Callable[[bytes | None, Route, Tier, bool], tuple[Rank, ActiveCall | None]]:
    """Return a function that ranks a call, given the tier of its account.

    It also returns the active call at the local target that made the call, if any. A
    call with a known key is a root, whatever its attempt ID says: targets have no keys,
    and a caller could pass its calls off as nested ones.
    """

    def rank(
        attempt: bytes | None, route: Route, tier: Tier, is_root: bool
    ) -> tuple[Rank, ActiveCall | None]:
        ancestor_ids = parse_ancestor_ids(attempt or b"")
        depth = 0 if is_root else len(ancestor_ids) - 1
        parent = active_calls.find(ancestor_ids[-2]) if depth else None
        if parent is not None:
            return Rank(parent.rank.root, depth), parent
        return Rank(rank_root(route.priority, ancestor_ids[0], tier), depth), None

    return rank
