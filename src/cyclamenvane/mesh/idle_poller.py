"""Polls idle connections, so that they do not occupy a task each.

A task serves a connection as long as requests arrive back to back. After a short
time without a request the connection is parked: one task polls all parked
connections and resumes those that become readable in the task pool.
"""

from __future__ import annotations

import select
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..clock import Clock
    from .stop_event import Sleep

__all__ = ["IdlePoller"]

_SWEEP_INTERVAL = timedelta(seconds=1)  # maximum delay in closing an expired connection
_READABLE = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLONESHOT


@dataclass(frozen=True, slots=True)
class _ParkedConnection:
    resume: Callable[[], None]
    expire: Callable[[], None]
    until: timedelta


class IdlePoller:
    """Polls the idle connections of a node."""

    def __init__(self, clock: Clock, stop_event: Sleep) -> None:
        self._clock = clock
        self._stop_event = stop_event
        self._epoll = select.epoll()
        self._parked: dict[int, _ParkedConnection] = {}
        self._registered: set[int] = set()
        self._lock = threading.Lock()

    def count(self) -> int:
        """Return the number of parked connections."""
        return len(self._parked)

    def park(
        self,
        sock: socket.socket,
        until: timedelta,
        resume: Callable[[], None],
        expire: Callable[[], None],
    ) -> None:
        """Call `resume` once the connection is readable, or `expire` after `until`.

        `until` is in monotonic time.
        """
        descriptor = sock.fileno()
        with self._lock:
            self._parked[descriptor] = _ParkedConnection(resume, expire, until)
            if descriptor in self._registered:
                self._epoll.modify(descriptor, _READABLE)
            else:
                self._registered.add(descriptor)
                self._epoll.register(descriptor, _READABLE)

    def remove(self, sock: socket.socket) -> None:
        """Unregister a connection that is about to be closed."""
        descriptor = sock.fileno()
        with self._lock:
            self._parked.pop(descriptor, None)
            if descriptor in self._registered:
                self._registered.discard(descriptor)
                self._epoll.unregister(descriptor)

    def run(self) -> None:
        """Poll until the node stops."""
        sweep_at = self._clock.monotonic() + _SWEEP_INTERVAL
        while not self._stop_event.is_stopped():
            for descriptor, _ in self._epoll.poll(_SWEEP_INTERVAL.total_seconds()):
                with self._lock:
                    parked = self._parked.pop(descriptor, None)
                if parked is not None:
                    parked.resume()
            if self._clock.monotonic() >= sweep_at:
                sweep_at = self._clock.monotonic() + _SWEEP_INTERVAL
                self._expire_idle()

    def _expire_idle(self) -> None:
        now = self._clock.monotonic()
        with self._lock:
            expired = [item for item in self._parked.items() if item[1].until <= now]
            for descriptor, _ in expired:
                del self._parked[descriptor]
        for _, parked in expired:
            parked.expire()
