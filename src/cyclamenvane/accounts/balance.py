"""When the bucket of one zone fetches tokens from the buckets of other zones.

A full bucket loses what it would refill. If all calls of an account enter at one zone,
the buckets of the other zones stay full until that one is empty, so the account loses
a large part of its rate and burst. Its bucket therefore fetches tokens before it is
empty, which draws all buckets down together.
"""

from __future__ import annotations

from datetime import timedelta

from .bucket import Bucket

__all__ = ["Balance"]

# Of the capacity. With 0.3, 0.985 instead of 0.990 of the bursty calls at one node were
# admitted in the model; a higher share costs more requests.
_LOW_SHARE = 0.5
# Tokens that a bucket has to lack: fewer are not worth a request.
_MIN_LACK = 2.0
# Of the refill, and tokens above it. In zones that get their share of the calls, the
# others are as low and have nothing to give; two tokens are the variation of an account
# with a few calls a second.
_DEMAND_RATIO = 1.1
_DEMAND_MARGIN = 2.0
_PAUSE = timedelta(milliseconds=100)
_MAX_PAUSE = timedelta(seconds=2)  # doubled up to it while other zones give nothing


class Balance:
    """The fetches of one bucket; not safe for concurrent use."""

    def __init__(self) -> None:
        self._due_at = timedelta()
        self._pause = _PAUSE

    def is_due(self, bucket: Bucket, now: timedelta) -> bool:
        """Return whether the bucket is low and no fetch has been made just now."""
        lack = bucket.capacity - bucket.level
        return (
            lack >= _MIN_LACK
            and bucket.level < _LOW_SHARE * bucket.capacity
            and now >= self._due_at
        )

    def start(
        self, bucket: Bucket, granted: float, period: timedelta, now: timedelta
    ) -> bool:
        """Return whether to fetch tokens now, if one is due.

        `granted` tokens have been taken in a period. `finish` says how many tokens
        other zones have given.
        """
        refilled = bucket.rate * period.total_seconds()
        if granted < refilled * _DEMAND_RATIO + _DEMAND_MARGIN:
            return False
        # Not again until it has finished, or has failed.
        self._due_at = now + _MAX_PAUSE
        return True

    def finish(self, tokens: float, now: timedelta) -> None:
        """Record how many tokens other zones have given."""
        gained = tokens >= _MIN_LACK / 2
        self._pause = _PAUSE if gained else min(_MAX_PAUSE, self._pause * 2)
        self._due_at = now + self._pause
