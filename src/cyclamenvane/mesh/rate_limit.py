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
# A much larger one would overflow the number of calls that it allows.
_MAX_RATE = 1e9
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
        with self._lock:
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
            return self._rate > 0 and self._tokens < 1

    def take(self, rank: Rank) -> timedelta | None:
        """Count a call that is about to be sent and return None.

        If the limit does not permit the call, return after what time it may be sent,
        provided that no other call comes before it.
        """
        with self._lock:
            if not self._rate:
                self._sent_unanswered += 1
                return None
            self._refill()
            burst = _compute_burst(self._rate)
            reserve = 0.0 if rank.depth else (burst - 1) * rank.root / RANKS
            missing = 1 + reserve - self._tokens
            if missing > 0:
                return missing / self._rate * _SECOND
            self._tokens -= 1
            return None

    def update(self, named: bytes | None) -> None:
        """Apply the limit that a response names, None if it names none."""
        rate = _parse_rate(named)
        with self._lock:
            if rate:
                self._set_rate(rate)
            elif self._rate and self._clock.monotonic() - self._named_at >= _HOLD_TIME:
                self._rate = 0.0
                eliot.log_message("target:limit_withdrawn")
            self._answered = True

    def _set_rate(self, rate: float) -> None:
        self._refill()
        self._named_at = self._updated_at
        burst = _compute_burst(rate)
        if not self._rate:
            eliot.log_message("target:limit_named", calls_per_s=rate)
            self._tokens = burst
            if not self._answered:
                # The target may have named the limit before this process started, so
                # the calls that were sent without knowing it count.
                max_debt = _MAX_DEBT_TIME / _SECOND * rate
                self._tokens = max(-max_debt, burst - self._sent_unanswered)
        self._rate = rate
        self._tokens = min(self._tokens, burst)

    def _refill(self) -> None:
        now = self._clock.monotonic()
        earned = (now - self._updated_at) / _SECOND * self._rate
        self._tokens = min(self._tokens + earned, _compute_burst(self._rate))
        self._updated_at = now


def _compute_burst(rate: float) -> float:
    return _MIN_BURST + _BURST_TIME / _SECOND * rate


def _parse_rate(named: bytes | None) -> float:
    """Return the rate that a header names, 0 if there is none or it is not a rate."""
    if named is None:
        return 0.0
    try:
        rate = float(named)
    except ValueError:
        return 0.0
    if not math.isfinite(rate) or rate < 0:
        return 0.0
    return min(max(rate, _MIN_RATE), _MAX_RATE)
