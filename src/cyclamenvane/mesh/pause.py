"""The pauses of background tasks, which the end of the node cuts short."""

from __future__ import annotations

import threading
from datetime import timedelta
from typing import Protocol

__all__ = ["Lifetime", "Pause"]


class Pause(Protocol):
    """Lets some time pass, and tells whether the node goes on."""

    def __call__(self, duration: timedelta) -> bool:
        """Return after the duration; False when the node has ended."""

    def has_ended(self) -> bool:
        """Return whether the node has ended."""


class Lifetime:
    """The pauses of one node."""

    def __init__(self) -> None:
        self._ended = threading.Event()

    def __call__(self, duration: timedelta) -> bool:
        """Return after the duration; False when the node has ended."""
        return not self._ended.wait(duration.total_seconds())

    def has_ended(self) -> bool:
        """Return whether the node has ended."""
        return self._ended.is_set()

    def end(self) -> None:
        """End all pauses."""
        self._ended.set()
