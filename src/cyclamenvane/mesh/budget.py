"""This node's share of the retry budget.

All nodes together may retry a bounded part of a service's calls. The nodes do
not coordinate: each earns tokens from its own calls and gets an equal part of
the slack, so that the sum of all shares stays below the overall bound. Tokens
that a window earns and does not spend may be spent in a burst when calls start
to fail.

Answers targets that fail part of their calls, when the budget cannot cover all of
them: less important calls leave a reserve for more important ones, so that some call
trees complete rather than all of them failing at one call or another.

A retry repeats the nested calls of the execution that follows, which count as retries
at the services called. Two rules keep the sum within the bound:

- The token buckets use a share of the bound so small that all services of a chain may
  spend theirs at once. They decide on retries for which no target has rejected the call
  and on those of routes whose nested calls are not known.
- The retry of a rejected call takes one retry at its service and its nested calls at
  theirs from this node's part of the bound there, counted exactly over the last window.
  Of a call that is retried several times, only the last send is run. So the nested
  calls that are retries are a smaller part of all than the retries are of the calls,
  and one service can use nearly all of the bound. Services that reject calls at the
  same time may be in one chain, and share it.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from ..calls import RANKS
from ..shedding.window import SendWindow

if TYPE_CHECKING:
    from ..clock import Clock
    from .forward import ServiceUsage
    from .model import MeshSettings

__all__ = ["RetryBudget", "retry_bounds"]

# A retried call also repeats its nested calls, which count against the services
# they go to. Each service therefore uses only this share of the bound, so that
# four services in a chain may retry at once.
_USABLE_SHARE = 0.16
_BURST_SHARE = 0.5  # part of a window's earnings that may be saved for a burst

# The rest is for retries of calls that were not rejected, and for nodes that count the
# calls of a window in different slots.
_EXACT_SHARE = 0.85


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
        self._sent: dict[str, SendWindow] = {}
        self._nested: dict[str, SendWindow] = {}
        self._lock = threading.Lock()
        self._window = window
        self.reconfigure(ratio, slack, window)

    def reconfigure(self, ratio: float, slack: float, window: timedelta) -> None:
        """Set the bounds that apply to all nodes together."""
        self._ratio = ratio * _USABLE_SHARE
        self._slack = slack * _USABLE_SHARE
        self._full_ratio = ratio
        self._full_slack = slack
        if window != self._window:
            self._window = window
            self._sent, self._nested = {}, {}

    def add_call(self, service: str, nodes: int) -> None:
        """Add the tokens earned by a call that is sent for the first time."""
        with self._lock:
            bucket = self._refill(service, nodes)
            bucket.calls += 1
            bucket.tokens += self._ratio
            self._find(self._sent, service).add_calls(1, bucket.updated_at)

    def add_usage(self, usage: Iterable[ServiceUsage]) -> None:
        """Add the nested calls of a call that this node sent."""
        with self._lock:
            now = self._clock.monotonic()
            for each in usage:
                self._find(self._nested, each.service).add_calls(each.calls, now)

    def spend(self, service: str, nodes: int, rank: int = 0) -> bool:
        """Take one token for a retry of a call; return False if none is available.

        `rank` is that of the call's root: the higher, the more tokens have to remain.
        """
        with self._lock:
            return self._take_token(service, nodes, rank)

    def spend_rejected(
        self,
        service: str,
        nodes: int,
        rank: int,
        nested: Mapping[str, float],
        rejecting: int,
        reserve: float,
    ) -> timedelta | None:
        """Take what a retry of a rejected call costs; return None if it is too much.

        `nested` is the mean number of its nested calls by service, `rejecting` the
        number of services that reject calls. `reserve` is the part of the budget that
        has to be left for more important roots.
        """
        share = _EXACT_SHARE / max(1, rejecting)
        slack = share * self._full_slack / max(1, nodes)
        ratio = share * self._full_ratio
        with self._lock:
            now = self._clock.monotonic()
            sent = self._find(self._sent, service)
            parts = [(sent, slack + ratio * sent.calls(now), 1.0)]
            for each, calls in nested.items():
                window = self._find(self._nested, each)
                parts.append((window, slack + ratio * window.calls(now), calls))
            if all(part >= retries for _, part, retries in parts):
                for window, part, retries in parts:
                    if not _has_room(window, part, retries, reserve, now):
                        return None
                sent.add_retries(1, now)
            # The part of a node with few calls may be less than one retry, or less than
            # its nested calls.
            elif not self._take_token(service, nodes, rank):
                return None
            # Under the same lock, or concurrent retries would find the same room.
            for each, calls in nested.items():
                self._find(self._nested, each).add_retries(calls, now)
        return now

    def return_nested(self, nested: Mapping[str, float], spent_at: timedelta) -> None:
        """Give back the nested calls of a retry that no target has run."""
        with self._lock:
            for service, calls in nested.items():
                self._find(self._nested, service).take_back(calls, spent_at)

    def _take_token(self, service: str, nodes: int, rank: int) -> bool:
        bucket = self._refill(service, nodes)
        reserve = (self._capacity(bucket, nodes) - 1) * rank / RANKS
        if bucket.tokens < 1 + reserve:
            return False
        # Retries of rejected calls may have used most of the bound, and tokens are
        # earned and saved meanwhile.
        window, now = self._find(self._sent, service), bucket.updated_at
        bound = self._full_slack / max(1, nodes) + self._full_ratio * window.calls(now)
        if window.retries(now) + 1 > max(1.0, bound):
            return False
        bucket.tokens -= 1
        window.add_retries(1, now)
        return True

    def _find(self, windows: dict[str, SendWindow], service: str) -> SendWindow:
        window = windows.get(service)
        if window is None:
            now = self._clock.monotonic()
            window = windows[service] = SendWindow(self._window, now)
        return window

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


def _has_room(
    window: SendWindow, allowance: float, retries: float, reserve: float, now: timedelta
) -> bool:
    left = (allowance - retries) * (1 - reserve)
    return window.retries(now) <= left


def retry_bounds(settings: MeshSettings) -> tuple[float, float, timedelta]:
    """Return the ratio, slack and window that bound the retries of all nodes."""
    return (
        settings.retry_budget_ratio,
        settings.retry_budget_slack,
        settings.retry_budget_window,
    )
