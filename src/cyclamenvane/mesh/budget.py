"""This node's share of the retry budget.

All nodes together may retry a bounded part of a service's calls. The nodes do
not coordinate: each earns tokens from its own calls and gets an equal part of
the slack, so that the sum of all shares stays below the overall bound. Tokens
that a window earns and does not spend may be spent in a burst when calls start
to fail.

Answers targets that fail part of their calls, when the budget cannot cover all of
them: less important calls leave a reserve for more important ones, so that some call
trees complete rather than all of them failing at one call or another.
"""

from __future__ import annotations

import math
import threading
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from ..calls import RANKS

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["RetryBudget"]

# A retried call also repeats its nested calls, which count against the services
# they go to. Each service therefore uses only this share of the bound, so that
# four services in a chain may retry at once.
_USABLE_SHARE = 0.16
_BURST_SHARE = 0.5  # part of a window's earnings that may be saved for a burst


@dataclass
class _TokenBucket:
    """The tokens of one service, and an exponentially decayed count of its calls."""

    tokens: float
    calls: float
    updated_at: timedelta


class RetryBudget:
    """Token buckets for retries, one for each service."""

    def __init__(
        self, ratio: float, slack: float, window: timedelta, clock: Clock
    ) -> None:
        self._clock = clock
        self._buckets: dict[str, _TokenBucket] = {}
        self._lock = threading.Lock()
        self.reconfigure(ratio, slack, window)

    def reconfigure(self, ratio: float, slack: float, window: timedelta) -> None:
        """Set the bounds that apply to all nodes together."""
        self._ratio = ratio * _USABLE_SHARE
        self._slack = slack * _USABLE_SHARE
        self._window = window

    def add_call(self, service: str, nodes: int) -> None:
        """Add the tokens earned by a call that is sent for the first time."""
        with self._lock:
            bucket = self._refill(service, nodes)
            bucket.calls += 1
            bucket.tokens += self._ratio

    def spend(self, service: str, nodes: int, rank: int = 0) -> bool:
        """Take one token for a retry of a call; return False if none is available.

        `rank` is that of the call's root: the higher, the more tokens have to remain.
        """
        with self._lock:
            bucket = self._refill(service, nodes)
            reserve = (self._capacity(bucket, nodes) - 1) * rank / RANKS
            if bucket.tokens < 1 + reserve:
                return False
            bucket.tokens -= 1
            return True

    def _refill(self, service: str, nodes: int) -> _TokenBucket:
        now = self._clock.monotonic()
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = self._buckets[service] = _TokenBucket(0.0, 0.0, now)
            bucket.tokens = self._capacity(bucket, nodes)
        elapsed_windows = (now - bucket.updated_at) / self._window
        bucket.updated_at = now
        bucket.calls *= math.exp(-elapsed_windows)
        bucket.tokens += self._slack / max(1, nodes) * elapsed_windows
        bucket.tokens = min(bucket.tokens, self._capacity(bucket, nodes))
        return bucket

    def _capacity(self, bucket: _TokenBucket, nodes: int) -> float:
        # This node's part of the slack for one window, at least one retry.
        slack = max(1.0, self._slack / max(1, nodes))
        return slack + _BURST_SHARE * self._ratio * bucket.calls
