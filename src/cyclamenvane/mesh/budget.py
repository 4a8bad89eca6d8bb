"""The share of the repeated sends that this node may make.

All nodes together may repeat a bounded part of a service's calls. They do not
talk about it: each node earns from its own calls, and takes an equal part of
the slack, so that the parts add up to less than the whole. What a window earned
and did not spend may be spent at once when calls begin to fail.
"""

from __future__ import annotations

import math
import threading
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["RetryBudget"]

# A repeated call repeats its own calls too, which count where they arrive. So a
# service spends a part of what is allowed: four in a chain may do so at once.
_SPENT_SHARE = 0.16
_SAVED_SHARE = 0.5  # of a window's earnings that may be saved for a burst


@dataclass
class _Account:
    """The tokens of one service, and its calls of about the last window."""

    tokens: float
    calls: float
    at: timedelta


class RetryBudget:
    """Tokens for repeated sends, by service."""

    def __init__(
        self, ratio: float, slack: float, window: timedelta, clock: Clock
    ) -> None:
        self._clock = clock
        self._accounts: dict[str, _Account] = {}
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
            account = self._open(service, nodes)
            account.calls += 1
            account.tokens += self._ratio

    def spend(self, service: str, nodes: int) -> bool:
        """Take one repeated send; return whether there was one."""
        with self._lock:
            account = self._open(service, nodes)
            if account.tokens < 1:
                return False
            account.tokens -= 1
            return True

    def _open(self, service: str, nodes: int) -> _Account:
        now = self._clock.monotonic()
        # One window's part of the slack, but never less than one send.
        slack = max(1.0, self._slack / max(1, nodes))
        account = self._accounts.get(service)
        if account is None:
            account = self._accounts[service] = _Account(slack, 0.0, now)
        passed = (now - account.at) / self._window
        account.at = now
        account.calls *= math.exp(-passed)
        account.tokens += self._slack / max(1, nodes) * passed
        saved = slack + _SAVED_SHARE * self._ratio * account.calls
        account.tokens = min(account.tokens, saved)
        return account
