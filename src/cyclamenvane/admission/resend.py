"""Bounds how often a caller's own re-sends of one request reach a target.

A sender that names its requests (`Cyclamenvane-Request-Id`, or an idempotency
key) has re-sends of one name counted at the node of the target. After a failure
the name may be sent again `resends` times within the window; more are refused
at once. A success clears the name, so repeating a request that works is free.
"""

from __future__ import annotations

import threading
from collections import OrderedDict
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["RESEND_WINDOW", "ResendGuard"]

RESEND_WINDOW = timedelta(seconds=30)
_MOST_NAMES = 20_000


class ResendGuard:
    """The names that failed lately at one node, with how often they came."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._names: OrderedDict[tuple[str, str], tuple[int, timedelta]] = OrderedDict()
        self._lock = threading.Lock()

    def admit(self, caller: str, name: str, resends: int) -> bool:
        """Count one send of a request; return False when it is one too many."""
        now = self._clock.monotonic()
        with self._lock:
            self._drop_old(now)
            sent, began = self._names.get((caller, name), (0, now))
            if sent > resends:
                return False
            self._names[caller, name] = (sent + 1, began)
            return True

    def settle(self, caller: str, name: str) -> None:
        """Forget a request that succeeded."""
        with self._lock:
            self._names.pop((caller, name), None)

    def __len__(self) -> int:
        return len(self._names)

    def _drop_old(self, now: timedelta) -> None:
        while self._names:
            key, (_, began) = next(iter(self._names.items()))
            if now - began < RESEND_WINDOW and len(self._names) < _MOST_NAMES:
                return
            del self._names[key]
