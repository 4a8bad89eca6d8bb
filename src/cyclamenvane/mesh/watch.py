"""Waiting for a descriptor while the caller's connection is observed.

A task that waits for a target, for another node or for its turn in a queue has
to notice at once when its caller leaves. `Watch.wait` waits for both.
"""

from __future__ import annotations

import os
import select
import socket
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["Signal", "Waited", "Watch", "watch_socket"]

_CLOSED = select.POLLHUP | select.POLLERR | select.POLLNVAL | select.POLLRDHUP
_MILLISECOND = timedelta(milliseconds=1)


class Waited(Enum):
    """How a wait ended."""

    READY = "ready"
    TIMED_OUT = "timed out"
    CALLER_GONE = "caller gone"


class Signal:
    """An event between tasks that can be waited for beside a connection."""

    def __init__(self) -> None:
        self.descriptor = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)

    def set(self) -> None:
        """Make the descriptor readable."""
        os.eventfd_write(self.descriptor, 1)

    def clear(self) -> None:
        """Make the descriptor unreadable until it is set again."""
        try:
            os.eventfd_read(self.descriptor)
        except BlockingIOError:
            return

    def __del__(self) -> None:
        # Tasks share a signal; the last one that holds it gives it back.
        os.close(self.descriptor)


class Watch:
    """Observes one descriptor of the caller's during waits.

    `on_readable` is called when it has become readable; it returns whether the
    caller is still there.
    """

    def __init__(
        self, clock: Clock, descriptor: int, on_readable: Callable[[], bool]
    ) -> None:
        self._clock = clock
        self._caller = descriptor
        self._on_readable = on_readable
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLIN | select.POLLRDHUP)
        self.gone = False

    def wait(self, descriptor: int, until: timedelta, write: bool = False) -> Waited:
        """Wait until `descriptor` is ready, or until a time or the caller's end."""
        if self.gone:
            return Waited.CALLER_GONE
        events = select.POLLIN | select.POLLOUT if write else select.POLLIN
        self._poll.register(descriptor, events)
        try:
            return self._wait(descriptor, until)
        finally:
            self._poll.unregister(descriptor)

    def _wait(self, descriptor: int, until: timedelta) -> Waited:
        while True:
            left = (until - self._clock.monotonic()) / _MILLISECOND
            # Rounded up, so that a wait does not end just before its time.
            for ready, events in self._poll.poll(max(0, int(left) + 1)):
                if ready == descriptor:
                    return Waited.READY
                if events & _CLOSED or not self._on_readable():
                    self.gone = True
                    return Waited.CALLER_GONE
            if self._clock.monotonic() >= until:
                return Waited.TIMED_OUT

    def check_caller(self) -> bool:
        """Return whether the caller is still there, without waiting."""
        for _, events in self._poll.poll(0):
            if events & _CLOSED:
                self.gone = True
        return not self.gone

    def wait_caller(self, left: timedelta) -> bool:
        """Wait for bytes from the caller; return whether there are any."""
        return bool(self._poll.poll(int(left / _MILLISECOND) + 1))

    def resume_caller(self) -> None:
        """Observe the caller's bytes again."""
        self._poll.modify(self._caller, select.POLLIN | select.POLLRDHUP)

    def pause_caller(self) -> None:
        """Observe only the end of the caller's connection from now on."""
        self._poll.modify(self._caller, select.POLLRDHUP)


def watch_socket(clock: Clock, sock: socket.socket) -> Watch:
    """Return a watch of a connection whose other side sends nothing meanwhile."""
    return Watch(clock, sock.fileno(), lambda: False)
