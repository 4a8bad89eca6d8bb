"""The clock interface, and the clock of the operating system.

Every part of the library that looks at time takes a `Clock`, so a test can
pass one that it moves by hand. Wall time is an aware UTC `datetime`. Monotonic
time is a `timedelta` since an arbitrary origin: only differences between two
readings in the same process mean anything, so it never crosses a stream.
"""

from __future__ import annotations

import time
from datetime import datetime, timedelta, timezone
from typing import Protocol

__all__ = ["Clock", "SystemClock"]


class Clock(Protocol):
    """A source of wall time and of monotonic time."""

    def now(self) -> datetime:
        """Return the wall time as an aware UTC datetime."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary origin; it never goes back."""


class SystemClock:
    """The operating system's clock."""

    def now(self) -> datetime:
        """Return the wall time as an aware UTC datetime."""
        return datetime.now(timezone.utc)

    def monotonic(self) -> timedelta:
        """Return the time since the machine started."""
        return timedelta(0, time.monotonic())
