"""Polls idle connections, so that they do not occupy a task each.

A task serves a connection as long as requests arrive back to back. After a short
time without a request the connection is parked, and a few tasks poll all parked
connections. The task that finds a connection readable also serves it, so a request on
a parked connection costs one wake-up. Before serving, it ensures that another task
polls.
"""

from __future__ import annotations

import select
import socket
import threading
from collections.abc import Callable
from concurrent.futures import Executor
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from .watch import Signal

if TYPE_CHECKING:
    from ..clock import Clock
    from .stop_event import Sleep

__all__ = ["Evictable", "IdlePoller"]

_SWEEP_INTERVAL = timedelta(seconds=1)  # maximum delay in closing an expired connection
_MIN_SWEEP_INTERVAL = timedelta(milliseconds=100)
_READABLE = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLONESHOT
# Maximum number of tasks that poll, to absorb bursts of requests; further tasks are
# started on demand.
_MAX_POLLING_TASKS = 16


class _ParkedConnection(NamedTuple):
    resume: Callable[[], None]
    expire: Callable[[], None]
    until: timedelta
    evictable: Evictable | None


class Evictable(NamedTuple):
    """How a parked connection is closed in favour of another one of its `owner`.

    Those with the lowest `rank` go first, and of these the one parked for longest.
    """

    owner: object
    rank: int
    close: Callable[[], None]


class IdlePoller:
    """Polls the idle connections of a node."""

    def __init__(self, clock: Clock, executor: Executor, sleep: Sleep) -> None:
        self._clock = clock
        self._executor = executor
        self._sleep = sleep
        self._epoll = select.epoll()
        self._parked: dict[int, _ParkedConnection] = {}
        self._registered: set[int] = set()
        self._lock = threading.Lock()
        self._polling_tasks = 0
        # Set once the node stops, which wakes all polling tasks.
        self._stopped = Signal()
        self._epoll.register(self._stopped.descriptor, select.EPOLLIN)

    def count(self) -> int:
        """Return the number of parked connections."""
        return len(self._parked)

    def park(
        self,
        sock: socket.socket,
        until: timedelta,
        resume: Callable[[], None],
        expire: Callable[[], None],
        evictable: Evictable | None = None,
    ) -> None:
        """Call `resume` once the connection is readable, or `expire` after `until`.

        `until` is in monotonic time. With `evictable`, it may be evicted before.
        """
        descriptor = sock.fileno()
        parked = _ParkedConnection(resume, expire, until, evictable)
        with self._lock:
            self._parked[descriptor] = parked
            if descriptor in self._registered:
                self._epoll.modify(descriptor, _READABLE)
            else:
                self._registered.add(descriptor)
                self._epoll.register(descriptor, _READABLE)

    def evict(self, owner: object) -> bool:
        """Close a parked connection of an owner; return False if it has none."""
        with self._lock:
            selected = self._select_evictable(owner)
            if selected is None:
                return False
            descriptor, evictable = selected
            del self._parked[descriptor]
        evictable.close()
        return True

    def _select_evictable(self, owner: object) -> tuple[int, Evictable] | None:
        selected: tuple[int, Evictable] | None = None
        for descriptor, parked in self._parked.items():  # in the order of parking
            evictable = parked.evictable
            if evictable is None or evictable.owner is not owner:
                continue
            if selected is None or evictable.rank < selected[1].rank:
                selected = descriptor, evictable
                if not evictable.rank:
                    break
        return selected

    def remove(self, sock: socket.socket) -> None:
        """Unregister a connection that is about to be closed."""
        descriptor = sock.fileno()
        with self._lock:
            self._parked.pop(descriptor, None)
            if descriptor in self._registered:
                self._registered.discard(descriptor)
                self._epoll.unregister(descriptor)

    def run(self) -> None:
        """Start polling tasks, and close expired connections until the node stops."""
        self._polling_tasks = 1
        self._executor.submit(self._poll)
        interval = _SWEEP_INTERVAL
        while self._sleep(interval):
            interval = self._expire_idle()
        self._stopped.set()

    def _poll(self) -> None:
        """Poll and resume connections, one at a time, until the node stops."""
        while True:
            for descriptor, _ in self._epoll.poll(None, 1):
                if descriptor == self._stopped.descriptor:
                    return
                if not self._resume(descriptor):
                    return

    def _resume(self, descriptor: int) -> bool:
        """Resume a connection; return whether to poll again afterwards."""
        with self._lock:
            parked = self._parked.pop(descriptor, None)
            if parked is None:
                return True
            is_last = self._polling_tasks == 1
            if not is_last:
                self._polling_tasks -= 1
        if is_last:
            # The new task is counted in place of this one.
            self._executor.submit(self._poll)
        parked.resume()
        with self._lock:
            if self._polling_tasks >= _MAX_POLLING_TASKS:
                return False
            self._polling_tasks += 1
        return True

    def _expire_idle(self) -> timedelta:
        """Expire connections; return the time until the next ones may expire."""
        now = self._clock.monotonic()
        with self._lock:
            expired = [item for item in self._parked.items() if item[1].until <= now]
            for descriptor, _ in expired:
                del self._parked[descriptor]
            next_until = min(
                (each.until for each in self._parked.values()),
                default=now + _SWEEP_INTERVAL,
            )
        for _, parked in expired:
            parked.expire()
        left = max(next_until - now, _MIN_SWEEP_INTERVAL)
        return min(left, _SWEEP_INTERVAL)
