"""The waiting calls of one target, the most important first.

Calls are ordered by rank; of one rank those deeper in their chain come first,
since more has been spent on them, then those that came first.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from sortedcontainers import SortedKeyList

from ..calls import Refusal

__all__ = ["Waiting", "WaitingList"]


@dataclass(frozen=True, eq=False)
class Waiting:
    """A call that asks to be admitted.

    `start` is called when it is admitted after waiting, `refuse` when it will
    not be. Neither is called for a call that is admitted or refused at once.
    """

    rank: int
    depth: int
    deadline: timedelta
    arrived: timedelta
    start: Callable[[], None]
    refuse: Callable[[Refusal], None]


class WaitingList:
    """Waiting calls in order of admission."""

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._list: SortedKeyList = SortedKeyList(key=lambda item: item[0])
        self._keys: dict[int, tuple] = {}

    def __len__(self) -> int:
        return len(self._list)

    def add(self, waiting: Waiting) -> None:
        """Add a call at its place."""
        key = (waiting.rank, -waiting.depth, next(self._numbers))
        self._keys[id(waiting)] = key
        self._list.add((key, waiting))

    def remove(self, waiting: Waiting) -> bool:
        """Take a call out; return False when it does not wait."""
        key = self._keys.pop(id(waiting), None)
        if key is None:
            return False
        self._list.remove((key, waiting))
        return True

    def pop_first(self) -> Waiting:
        """Take out the call to be admitted next."""
        return self._pop(0)

    def pop_last(self) -> Waiting:
        """Take out the call to be refused next."""
        return self._pop(-1)

    def last(self) -> Waiting:
        """Return the call to be refused next."""
        return self._list[-1][1]

    def count_before(self, rank: int) -> int:
        """Return how many calls would be admitted before one of that rank."""
        return self._list.bisect_key_left((rank + 1,))

    def drop_expired(self, now: timedelta) -> list[Waiting]:
        """Take out and return the calls whose deadline has passed."""
        expired = [each for _, each in self._list if each.deadline <= now]
        for waiting in expired:
            self.remove(waiting)
        return expired

    def _pop(self, index: int) -> Waiting:
        _, waiting = self._list.pop(index)
        del self._keys[id(waiting)]
        return waiting
