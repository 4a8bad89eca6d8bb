"""The requests that ended with a crash of their target, at the node that sent them.

A caller may send its request again before the nodes of the service have told each other
of the crash. This node has the result, so it can mark the request as a suspect without
any message. Then it is not sent to a target that runs another suspect.
"""

from __future__ import annotations

import threading
from datetime import timedelta
from typing import TYPE_CHECKING

from .content import digest_content

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["CrashedCalls"]

_MAX_ENTRIES = 1024  # about 0.2 KB each
# By then, all reachable nodes of the service know of the crash.
_TTL = timedelta(seconds=2)


class CrashedCalls:
    """The requests of recent calls whose target crashed."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._expires_at: dict[bytes, timedelta] = {}  # by content, the oldest first
        self._lock = threading.Lock()

    def add(self, head: bytes, body: bytes) -> None:
        """Add the request of a call whose target crashed."""
        content = digest_content(head, body)
        with self._lock:
            self._expires_at.pop(content, None)
            self._expires_at[content] = self._clock.monotonic() + _TTL
            if len(self._expires_at) > _MAX_ENTRIES:
                del self._expires_at[next(iter(self._expires_at))]

    def remove(self, head: bytes, body: bytes) -> None:
        """Remove a request that a target has answered."""
        # Read without the lock: nearly always there are none.
        if not self._expires_at:
            return
        content = digest_content(head, body)
        with self._lock:
            self._expires_at.pop(content, None)

    def contains(self, head: bytes, body: bytes) -> bool:
        """Return whether a target crashed during a recent call of a request."""
        if not self._expires_at:
            return False
        content = digest_content(head, body)
        with self._lock:
            self._drop_expired()
            return content in self._expires_at

    def _drop_expired(self) -> None:
        now = self._clock.monotonic()
        for content, expires_at in list(self._expires_at.items()):
            if now < expires_at:
                return
            del self._expires_at[content]
