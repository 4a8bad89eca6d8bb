"""The rank of calls for admission, and the calls running at the local target.

All calls of a call tree have the rank of its root call: refusing one call of a tree
wastes the work done for the others, so all nodes have to prefer the same roots. The
adapter reads the ancestors of a call from its attempt's name, if the platform's
names contain them.
"""

from __future__ import annotations

import threading
from datetime import timedelta
from typing import NamedTuple

from ..calls import RANKS, Importance, rank_call

__all__ = ["Rank", "Run", "Runs", "rank_root"]


class Rank(NamedTuple):
    """The order of admission: lowest `root` first, for equal roots deepest first.

    `root` is the rank of the call tree's root call, from 0 to `RANKS` - 1. `depth` is
    the depth of the call in its tree, 0 for the root call.
    """

    root: int
    depth: int


def rank_root(priority: int, root_name: bytes) -> int:
    """Return the rank of a root call from its route's priority and its name."""
    importance = Importance(min(max(priority, 0), Importance.LOW))
    return rank_call(importance, root_name.decode("latin-1"))


class Run:
    """A call running at the target, and the levels that its nested calls met."""

    def __init__(self, rank: Rank) -> None:
        self.rank = rank
        self._levels: dict[str, tuple[int, int]] = {}
        self._nested_duration = timedelta()

    def note_call(self, service: str, level: int, duration: timedelta) -> None:
        """Add a finished nested call that the target made for this run."""
        total, count = self._levels.get(service, (0, 0))
        self._levels[service] = (total + level, count + 1)
        self._nested_duration += duration

    def lowest_level(self) -> int:
        """Return the lowest of the mean admission levels of the services called."""
        means = [total // count for total, count in list(self._levels.values())]
        return min(means, default=RANKS)


class Runs:
    """The calls running at the local target, by the name of their attempt."""

    def __init__(self) -> None:
        self._runs: dict[bytes, Run] = {}
        self._lock = threading.Lock()

    def begin(self, attempt: bytes | None, rank: Rank) -> Run:
        """Add a call, before it is sent to the target."""
        run = Run(rank)
        if attempt:
            with self._lock:
                self._runs[attempt] = run
        return run

    def end(self, attempt: bytes | None) -> None:
        """Remove a call that has ended."""
        if attempt:
            with self._lock:
                self._runs.pop(attempt, None)

    def find(self, attempt: bytes) -> Run | None:
        """Return the run with this attempt, or None if it is not running."""
        return self._runs.get(attempt)
