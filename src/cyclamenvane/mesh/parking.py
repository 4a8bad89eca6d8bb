"""Connections that are idle wait here, without a task of their own.

A task serves a connection for as long as requests come one after another. When
none has come for a moment, the connection is parked: one task polls all parked
connections and hands those that become readable back to the pool.
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
    from .pause import Pause

__all__ = ["Parking"]

_SWEEP = timedelta(seconds=1)  # how late an idle connection may be closed
_READABLE = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLONESHOT


@dataclass(frozen=True, slots=True)
class _Parked:
    resume: Callable[[], None]
    expire: Callable[[], None]
    until: timedelta


class Parking:
    """The idle connections of a node."""

    def __init__(self, clock: Clock, pause: Pause) -> None:
        self._clock = clock
        self._pause = pause
        self._epoll = select.epoll()
        self._parked: dict[int, _Parked] = {}
        self._known: set[int] = set()
        self._lock = threading.Lock()

    def count(self) -> int:
        """Return how many connections are parked."""
        return len(self._parked)

    def park(
        self,
        sock: socket.socket,
        until: timedelta,
        resume: Callable[[], None],
        expire: Callable[[], None],
    ) -> None:
        """Call `resume` once the connection is readable, or `expire` at a time."""
        descriptor = sock.fileno()
        with self._lock:
            self._parked[descriptor] = _Parked(resume, expire, until)
            if descriptor in self._known:
                self._epoll.modify(descriptor, _READABLE)
            else:
                self._known.add(descriptor)
                self._epoll.register(descriptor, _READABLE)

    def forget(self, sock: socket.socket) -> None:
        """Forget a connection that is about to be closed."""
        descriptor = sock.fileno()
        with self._lock:
            self._parked.pop(descriptor, None)
            if descriptor in self._known:
                self._known.discard(descriptor)
                self._epoll.unregister(descriptor)

    def run(self) -> None:
        """Poll until the node ends."""
        sweep_at = self._clock.monotonic() + _SWEEP
        while not self._pause.has_ended():
            for descriptor, _ in self._epoll.poll(_SWEEP.total_seconds()):
                with self._lock:
                    parked = self._parked.pop(descriptor, None)
                if parked is not None:
                    parked.resume()
            if self._clock.monotonic() >= sweep_at:
                sweep_at = self._clock.monotonic() + _SWEEP
                self._expire()

    def _expire(self) -> None:
        now = self._clock.monotonic()
        with self._lock:
            late = [each for each in self._parked.items() if each[1].until <= now]
            for descriptor, _ in late:
                del self._parked[descriptor]
        for _, parked in late:
            parked.expire()
