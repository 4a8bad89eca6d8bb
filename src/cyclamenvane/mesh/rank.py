"""Where a call stands in its tree, and how urgent its tree is.

A call ranks with the root of its tree: refusing one call of a tree wastes the
work done for the others, so all nodes have to prefer the same roots. The adapter
tells a call's ancestors by the attempt's name, if the platform lets it.
"""

from __future__ import annotations

import threading
from datetime import timedelta
from typing import NamedTuple

from ..calls import RANKS, Importance, rank_call

__all__ = ["Rank", "Run", "Runs", "rank_root"]


class Rank(NamedTuple):
    """The order of admission: the smallest first, in a tree the deepest first.

    `root` is the rank of the tree's root, from 0 to `RANKS` - 1; `depth` is 0
    for the root itself.
    """

    root: int
    depth: int


def rank_root(priority: int, root: bytes) -> int:
    """Return the rank of a root from its route's priority and its name."""
    importance = Importance(min(max(priority, 0), Importance.LOW))
    return rank_call(importance, root.decode("latin-1"))


class Run:
    """A call that the target is working on, and what its own calls have met."""

    def __init__(self, rank: Rank) -> None:
        self.rank = rank
        self._levels: dict[str, tuple[int, int]] = {}
        self._inner = timedelta()

    def note_call(self, service: str, level: int, took: timedelta) -> None:
        """Take in a finished call that the target made for this run."""
        total, count = self._levels.get(service, (0, 0))
        self._levels[service] = (total + level, count + 1)
        self._inner += took

    def level(self) -> int:
        """Return the lowest admission level met, of each service the mean."""
        means = [total // count for total, count in list(self._levels.values())]
        return min(means, default=RANKS)


class Runs:
    """The calls that the target beside the node is working on."""

    def __init__(self) -> None:
        self._runs: dict[bytes, Run] = {}
        self._lock = threading.Lock()

    def begin(self, attempt: bytes | None, rank: Rank) -> Run:
        """Note that the target is given a call."""
        run = Run(rank)
        if attempt:
            with self._lock:
                self._runs[attempt] = run
        return run

    def end(self, attempt: bytes | None) -> None:
        """Note that the target has ended a call."""
        if attempt:
            with self._lock:
                self._runs.pop(attempt, None)

    def find(self, attempt: bytes) -> Run | None:
        """Return the run of a call."""
        return self._runs.get(attempt)
