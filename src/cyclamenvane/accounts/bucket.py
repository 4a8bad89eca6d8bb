"""A token bucket whose rate and capacity change while it is in use."""

from __future__ import annotations

from datetime import timedelta

__all__ = ["Bucket"]

_MAX_WAIT = timedelta(seconds=2)
# Tokens are added in fractions, whose rounding errors must not cost a whole one.
_ROUNDING = 1e-6


class Bucket:
    """The tokens of one account at its holder; not safe for concurrent use.

    It fills from `starts_at` on, with `initial` tokens at that time.
    """

    def __init__(self, starts_at: timedelta, initial: float = 0.0) -> None:
        self.rate = 0.0
        self.capacity = 0.0
        self.level = 0.0
        self._updated_at = starts_at
        self._initial = initial

    def start(self, at: timedelta) -> None:
        """Set when a bucket that has not started fills from."""
        self._updated_at = at

    def configure(self, rate: float, capacity: float, now: timedelta) -> None:
        """Set the rate in tokens a second; tokens above the capacity are lost."""
        if not self.capacity:
            self.capacity = capacity  # or the initial tokens would not fit
        self.refill(now)
        self.rate = rate
        self.capacity = capacity
        # A small share holds less than the one token that another zone has given.
        self.level = min(self.level, max(capacity, 1.0))

    def refill(self, now: timedelta) -> None:
        """Add the tokens due since the last refill."""
        if now < self._updated_at:
            return
        elapsed = (now - self._updated_at).total_seconds()
        self._updated_at = now
        due, self._initial = self._initial + elapsed * self.rate, 0.0
        self.level = max(self.level, min(self.capacity, self.level + due))

    def take(self, amount: int, now: timedelta) -> int:
        """Take whole tokens, at most `amount`; return how many there were."""
        self.refill(now)
        taken = min(amount, int(self.level + _ROUNDING))
        self.level = max(0.0, self.level - taken)
        return taken

    def level_share(self) -> float:
        """Return the share of the capacity that the bucket holds."""
        return min(1.0, self.level / self.capacity) if self.capacity else 1.0

    def take_share(
        self, amount: float, now: timedelta, level_share: float | None = None
    ) -> float:
        """Take tokens for another bucket, which may lack a fraction of one only.

        A bucket with plenty keeps at least half of them, or of those above the
        level of the other bucket if that one is not empty.
        """
        self.refill(now)
        if level_share is None:
            available = max(min(self.level, 1.0), self.level / 2)
        else:
            available = max(0.0, self.level - level_share * self.capacity) / 2
        taken = min(amount, available)
        self.level -= taken
        return taken

    def add(self, tokens: float) -> None:
        """Add tokens that another bucket has given; those that do not fit are lost."""
        self.level = min(max(self.capacity, 1.0), self.level + tokens)

    def wait_time(self, rate: float) -> timedelta:
        """Return the time until there is a token, if `rate` come in a second.

        It is two seconds at most.
        """
        missing = 1.0 - self.level
        if missing <= 0:
            return timedelta()
        if rate * _MAX_WAIT.total_seconds() <= missing:
            return _MAX_WAIT
        return timedelta(seconds=missing / rate)
