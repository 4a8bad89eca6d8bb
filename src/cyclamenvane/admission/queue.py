"""The queue of calls waiting for one target, the most important first.

Calls are ordered by rank, then by depth in their call chain, the deepest first
since more work has been done for them, then by arrival.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from sortedcontainers import SortedKeyList

from ..calls import Refusal

__all__ = ["AdmissionQueue", "WaitingCall"]


@dataclass(frozen=True, eq=False)
class WaitingCall:
    """A call that requests admission.

    `start` is called when the call is admitted after waiting, `refuse` when it is
    refused after waiting. Neither is called if the call is admitted or refused
    on arrival.
    """

    rank: int
    depth: int
    deadline: timedelta
    arrived: timedelta
    start: Callable[[], None]
    refuse: Callable[[Refusal], None]


class AdmissionQueue:
    """The waiting calls in order of admission."""

    def __init__(self) -> None:
        self._sequence = itertools.count()
        self._entries: SortedKeyList = SortedKeyList(key=lambda entry: entry[0])
        self._keys: dict[int, tuple] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, waiting: WaitingCall) -> None:
        """Insert a call in order of admission."""
        key = (waiting.rank, -waiting.depth, next(self._sequence))
        self._keys[id(waiting)] = key
        self._entries.add((key, waiting))

    def remove(self, waiting: WaitingCall) -> bool:
        """Remove a call; return False if it is not queued."""
        key = self._keys.pop(id(waiting), None)
        if key is None:
            return False
        self._entries.remove((key, waiting))
        return True

    def pop_first(self) -> WaitingCall:
        """Remove and return the call to be admitted next."""
        return self._pop(0)

    def pop_last(self) -> WaitingCall:
        """Remove and return the call to be refused next."""
        return self._pop(-1)

    def last(self) -> WaitingCall:
        """Return the call to be refused next."""
        return self._entries[-1][1]

    def count_before(self, rank: int) -> int:
        """Return how many queued calls precede a new call of this rank."""
        return self._entries.bisect_key_left((rank + 1,))

    def drop_expired(self, now: timedelta) -> list[WaitingCall]:
        """Remove and return the calls whose deadline has passed."""
        expired = [call for _, call in self._entries if call.deadline <= now]
        for waiting in expired:
            self.remove(waiting)
        return expired

    def _pop(self, index: int) -> WaitingCall:
        _, waiting = self._entries.pop(index)
        del self._keys[id(waiting)]
        return waiting
