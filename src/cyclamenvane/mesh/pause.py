"""The pauses of background tasks."""

from __future__ import annotations

import time
from datetime import timedelta
from typing import Protocol

__all__ = ["Pause", "sleep"]


class Pause(Protocol):
    """Lets some time pass."""

    def __call__(self, duration: timedelta) -> None:
        """Return after the duration."""


def sleep(duration: timedelta) -> None:
    """Let the task sleep."""
    time.sleep(duration.total_seconds())
