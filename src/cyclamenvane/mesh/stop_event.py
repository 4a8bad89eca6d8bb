"""Interruptible sleep for background tasks; ends early when the node stops."""

from __future__ import annotations

import threading
from datetime import timedelta
from typing import Protocol

__all__ = ["Sleep", "StopEvent"]


class Sleep(Protocol):
    """Sleeps for a duration, unless the node stops."""

    def __call__(self, duration: timedelta) -> bool:
        """Sleep for `duration`; return False if the node has stopped."""

    def is_stopped(self) -> bool:
        """Return whether the node has stopped."""


class StopEvent:
    """Stop event of one node, with interruptible sleep."""

    def __init__(self) -> None:
        self._event = threading.Event()

    def __call__(self, duration: timedelta) -> bool:
        """Sleep for `duration`; return False if the node has stopped."""
        return not self._event.wait(duration.total_seconds())

    def is_stopped(self) -> bool:
        """Return whether the node has stopped."""
        return self._event.is_set()

    def stop(self) -> None:
        """Set the stop event, which ends all sleeps."""
        self._event.set()
