"""The share of the repeated sends that this node may make.

All nodes together may repeat a bounded part of a service's calls. They do not
talk about it: each node earns from its own calls, and takes an equal part of
the slack, so that the parts add up to less than the whole.
"""

from __future__ import annotations

import threading
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["RetryBudget"]

# A repeated call repeats its own calls too, which count where they arrive, so
# each service may spend only a part of what is allowed.
_SPENT_SHARE = 0.3


class RetryBudget:
    """Tokens for repeated sends, by service."""

    def __init__(
        self, ratio: float, slack: float, window: timedelta, clock: Clock
    ) -> None:
        self._clock = clock
        self._tokens: dict[str, tuple[float, timedelta]] = {}
        self._lock = threading.Lock()
        self.retune(ratio, slack, window)

    def retune(self, ratio: float, slack: float, window: timedelta) -> None:
        """Take the bounds for all nodes together."""
        self._ratio = ratio * _SPENT_SHARE
        self._slack = slack * _SPENT_SHARE
        self._window = window

    def note_call(self, service: str, nodes: int) -> None:
        """Earn from a call that is sent for the first time."""
        with self._lock:
            tokens, now = self._refill(service, nodes)
            most = self._most(nodes)
            self._tokens[service] = (min(most, tokens + self._ratio), now)

    def spend(self, service: str, nodes: int) -> bool:
        """Take one repeated send; return whether there was one."""
        with self._lock:
            tokens, now = self._refill(service, nodes)
            allowed = tokens >= 1
            self._tokens[service] = (tokens - 1 if allowed else tokens, now)
        return allowed

    def _refill(self, service: str, nodes: int) -> tuple[float, timedelta]:
        now = self._clock.monotonic()
        tokens, at = self._tokens.get(service, (self._most(nodes), now))
        grown = self._slack / max(1, nodes) * ((now - at) / self._window)
        return min(self._most(nodes), tokens + grown), now

    def _most(self, nodes: int) -> float:
        # One window's part of the slack, but never less than one send.
        return max(1.0, self._slack / max(1, nodes))
