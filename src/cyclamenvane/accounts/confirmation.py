"""When the configuration in force was last known to be the newest of the store.

Times are readings of `Clock.monotonic`. They come from this node's own calls to the
store, and from nodes that reach it. A node says how long before it got the question
its configuration was confirmed; the answer counts from when the question was sent, so
that a delay on the way never makes the confirmation look newer than it is.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..clock import Clock
    from ..mesh.model import MeshSettings

__all__ = ["Confirmation"]

_MILLISECOND = timedelta(milliseconds=1)
# Share of the revocation time after which other nodes are asked. While the zone's
# watcher reaches the store, its answers come sooner.
_ASK_SHARE = 0.6
# Share of the revocation time for which a node lets the store wait for changes. The
# rest is for relaying the answer and for asking other nodes when it does not come.
_MAX_WATCH_SHARE = 0.3


class Confirmation:
    """The last confirmation, and whether it is recent enough to accept keys."""

    def __init__(self, get_settings: Callable[[], MeshSettings], clock: Clock) -> None:
        self._get_settings = get_settings
        self._clock = clock
        self._confirmed_at: timedelta | None = None
        self._lock = threading.Lock()

    def record(self, at: timedelta) -> None:
        """Record that nothing newer than what this node has was stored at a time."""
        with self._lock:
            if self._confirmed_at is None or at > self._confirmed_at:
                self._confirmed_at = at

    def age(self) -> timedelta | None:
        """Return how long ago the last confirmation was, None before the first."""
        confirmed_at = self._confirmed_at
        return None if confirmed_at is None else self._clock.monotonic() - confirmed_at

    def is_strict(self) -> bool:
        """Return whether keys are accepted only after a recent confirmation."""
        return self._get_settings().strict_revocation

    def is_recent(self) -> bool:
        """Return whether keys may be accepted; always, unless settings are strict."""
        settings = self._get_settings()
        if not settings.strict_revocation:
            return True
        age = self.age()
        return age is not None and age <= settings.revocation_time

    def should_ask(self) -> bool:
        """Return whether to ask other nodes for a confirmation."""
        settings = self._get_settings()
        if not settings.strict_revocation:
            return False
        age = self.age()
        return age is None or age > settings.revocation_time * _ASK_SHARE

    def limit_watch(self, timeout: timedelta) -> timedelta:
        """Return how long to let the store wait, at most the given time."""
        settings = self._get_settings()
        if not settings.strict_revocation:
            return timeout
        return min(timeout, settings.revocation_time * _MAX_WATCH_SHARE)

    def pack(self, asked_at: timedelta) -> list[float]:
        """Return the answer to a node whose question arrived at a time.

        It is empty before the first confirmation.
        """
        confirmed_at = self._confirmed_at
        if confirmed_at is None:
            return []
        return [(confirmed_at - asked_at) / _MILLISECOND]

    def record_answer(self, fields: object, sent_at: timedelta) -> bool:
        """Record another node's answer to a question sent at a time.

        Return whether it has a confirmation. Nodes of an earlier release send none.
        """
        if not isinstance(fields, list) or len(fields) != 1:
            return False
        offset = fields[0]
        if isinstance(offset, bool) or not isinstance(offset, (int, float)):
            return False
        now = self._clock.monotonic()
        try:
            confirmed_at = sent_at + offset * _MILLISECOND
        except (OverflowError, ValueError):
            return False
        # The other node's clock may run faster than this one's.
        self.record(min(confirmed_at, now))
        return True
