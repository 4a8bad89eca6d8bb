"""Clock interface and the operating system's clock.

Code that reads the time takes a `Clock`, so that a test can pass a clock that it
advances itself. Wall time is an aware UTC `datetime`. Monotonic time is a
`timedelta` since an arbitrary origin: only the difference between two readings in
the same process is meaningful, so it is never sent over a stream.
"""

from __future__ import annotations

import time
from datetime import datetime, timedelta, timezone
from typing import Protocol

__all__ = ["Clock", "SystemClock"]

_MICROSECOND = timedelta(microseconds=1)


class Clock(Protocol):
    """A source of wall time and of monotonic time."""

    def now(self) -> datetime:
        """Return the wall time as an aware UTC datetime."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary origin; it never decreases."""


class SystemClock:
    """The operating system's clock."""

    def now(self) -> datetime:
        """Return the wall time as an aware UTC datetime."""
        return datetime.now(timezone.utc)

    def monotonic(self) -> timedelta:
        """Return the time since the machine started."""
        # Faster than the constructor of `timedelta`, which takes a number apart.
        return _MICROSECOND * (time.monotonic_ns() // 1000)
