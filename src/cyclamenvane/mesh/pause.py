"""Interruptible sleep for background tasks; ends early when the node stops."""

from __future__ import annotations

import threading
from datetime import timedelta
from typing import Protocol

__all__ = ["Lifetime", "Pause"]


class Pause(Protocol):
    """Sleeps for a duration, unless the node stops."""

    def __call__(self, duration: timedelta) -> bool:
        """Sleep for `duration`; return False if the node has stopped."""

    def has_ended(self) -> bool:
        """Return whether the node has stopped."""


class Lifetime:
    """Stop event of one node, with interruptible sleep."""

    def __init__(self) -> None:
        self._ended = threading.Event()

    def __call__(self, duration: timedelta) -> bool:
        """Sleep for `duration`; return False if the node has stopped."""
        return not self._ended.wait(duration.total_seconds())

    def has_ended(self) -> bool:
        """Return whether the node has stopped."""
        return self._ended.is_set()

    def end(self) -> None:
        """Set the stop event, which ends all sleeps."""
        self._ended.set()
