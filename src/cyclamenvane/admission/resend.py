"""Limits how often a caller may resend one request to a target.

For callers that identify their requests (by `Cyclamenvane-Request-Id` or an
idempotency key), the target's node counts the sends of each id. After a failure
a request may be resent `resends` times within the window; further sends are
refused on arrival. A success resets the count, so resending a request that
succeeds is not limited.
"""

from __future__ import annotations

import threading
from collections import OrderedDict
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["RESEND_WINDOW", "ResendLimiter"]

RESEND_WINDOW = timedelta(seconds=30)
_MAX_REQUESTS = 20_000


class ResendLimiter:
    """The number of sends of each recent request that has not succeeded."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._requests: OrderedDict[tuple[str, str], tuple[int, timedelta]] = (
            OrderedDict()
        )
        self._lock = threading.Lock()

    def admit(self, caller: str, request_id: str, resends: int) -> bool:
        """Count one send of a request; return False if it exceeds the limit."""
        now = self._clock.monotonic()
        with self._lock:
            self._evict_old(now)
            sends, window_start = self._requests.get((caller, request_id), (0, now))
            if sends > resends:
                return False
            self._requests[caller, request_id] = (sends + 1, window_start)
            return True

    def clear(self, caller: str, request_id: str) -> None:
        """Reset the count of a request that succeeded."""
        with self._lock:
            self._requests.pop((caller, request_id), None)

    def __len__(self) -> int:
        return len(self._requests)

    def _evict_old(self, now: timedelta) -> None:
        while self._requests:
            key, (_, window_start) = next(iter(self._requests.items()))
            if (
                now - window_start < RESEND_WINDOW
                and len(self._requests) < _MAX_REQUESTS
            ):
                return
            del self._requests[key]
