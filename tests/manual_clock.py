"""A clock for tests."""

from __future__ import annotations

from datetime import datetime, timedelta, timezone


class ManualClock:
    """A clock that stands still until a test advances it."""

    def __init__(self) -> None:
        self.elapsed = timedelta(seconds=1000)

    def now(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=timezone.utc) + self.elapsed

    def monotonic(self) -> timedelta:
        return self.elapsed

    def advance(self, seconds: float) -> None:
        self.elapsed += timedelta(seconds=seconds)
