"""The number of calls a second that the local target takes, as its responses name it.

Answers a target in need that names a limit for the calls of all nodes together. They
all pass through the target's own node, so this node alone counts them, at a cost that
does not depend on the fleet. Calls that exceed the limit are refused as not run, and
other nodes select other targets. Less important root calls leave a reserve for more
important ones; nested calls do not, since work has been done for their call tree.
"""

from __future__ import annotations

import math
import threading
from datetime import timedelta
from typing import TYPE_CHECKING

import eliot

from ..calls import RANKS
from .rank import Rank

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["RateLimit"]

_MIN_BURST = 2.0  # calls
_BURST_TIME = timedelta(milliseconds=500)  # in which the calls of a burst are earned
# Calls a second to a target that takes none, so that it can withdraw the limit.
_MIN_RATE = 0.5
# A response that does not name the limit withdraws it only after this time, since
# early rejections do not always have all headers.
_HOLD_TIME = timedelta(seconds=1)
_MAX_DEBT_TIME = timedelta(seconds=2)
_SECOND = timedelta(seconds=1)


class RateLimit:
    """A token bucket at the rate that the target names; without one, no limit."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self.reset()

    def reset(self) -> None:
        """Forget the limit: the target is a new incarnation."""
        self._rate = 0.0
        self._tokens = 0.0
        self._updated_at = self._named_at = self._clock.monotonic()
        self._answered = False
        self._sent_unanswered = 0

    def rate(self) -> float:
        """Return the limit in calls a second, 0 without one."""
        return self._rate

    def is_exhausted(self) -> bool:
        """Return whether a call would have to wait for the limit."""
        if not self._rate:
            return False
        with self._lock:
            self._refill()
            return self._tokens < 1

    def take(self, rank: Rank) -> timedelta:
        """Count a call that is about to be sent, if the limit permits it.

        Otherwise return after what time it may, if no other call comes before it.
        """
        if not self._rate:
            self._sent_unanswered += 1
            return timedelta()
        with self._lock:
            self._refill()
            reserve = 0.0 if rank.depth else (self._burst() - 1) * rank.root / RANKS
            missing = 1 + reserve - self._tokens
            if missing > 0:
                return missing / self._rate * _SECOND
            self._tokens -= 1
            return timedelta()

    def update(self, named: bytes | None) -> None:
        """Apply the limit that a response names, None if it names none."""
        rate = _parse_rate(named)
        if not rate and not self._rate:
            self._answered = True
            return
        with self._lock:
            self._refill()
            now = self._clock.monotonic()
            if rate:
                self._named_at = now
                self._set_rate(rate)
            elif now - self._named_at >= _HOLD_TIME:
                self._rate = 0.0
                eliot.log_message("target:limit_withdrawn")
            self._answered = True

    def _set_rate(self, rate: float) -> None:
        if not self._rate:
            eliot.log_message("target:limit_named", calls_per_s=rate)
            self._rate, self._tokens = rate, self._burst(rate)
            if not self._answered:
                # The limit may be older than this process or this connection to the
                # target, so the calls that were sent without knowing it count.
                debt = _MAX_DEBT_TIME / _SECOND * rate
                self._tokens = max(-debt, self._tokens - self._sent_unanswered)
        self._rate = rate
        self._tokens = min(self._tokens, self._burst(rate))

    def _burst(self, rate: float = 0.0) -> float:
        return _MIN_BURST + _BURST_TIME / _SECOND * (rate or self._rate)

    def _refill(self) -> None:
        now = self._clock.monotonic()
        earned = (now - self._updated_at) / _SECOND * self._rate
        self._tokens = min(self._tokens + earned, self._burst())
        self._updated_at = now


def _parse_rate(named: bytes | None) -> float:
    """Return the rate that a header names, 0 if there is none or it is not a rate."""
    try:
        rate = float(named or b"nan")
    except ValueError:
        return 0.0
    if not math.isfinite(rate) or rate < 0:
        return 0.0
    return max(rate, _MIN_RATE)
