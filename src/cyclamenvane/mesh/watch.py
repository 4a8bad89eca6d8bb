"""Waiting for a descriptor while monitoring the caller's connection.

A task that waits for a target, for another node or for admission from a queue has
to detect immediately when its caller disconnects. `Watch.wait` polls both.
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

__all__ = ["Signal", "WaitResult", "Watch", "watch_no_caller", "watch_socket"]

_READABLE, _WRITABLE = select.POLLIN, select.POLLIN | select.POLLOUT
_FROM_CALLER = select.POLLIN | select.POLLRDHUP
_CLOSED = select.POLLHUP | select.POLLERR | select.POLLNVAL | select.POLLRDHUP
_NO_DESCRIPTOR = -1
_MILLISECOND = timedelta(milliseconds=1)


class WaitResult(Enum):
    """Result of a wait."""

    READY = "ready"
    TIMED_OUT = "timed out"
    CALLER_GONE = "caller gone"


class Signal:
    """Event between tasks that can be polled together with a socket (eventfd)."""

    def __init__(self) -> None:
        self.descriptor = _NO_DESCRIPTOR
        self.descriptor = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)

    def set(self) -> None:
        """Set the event: the descriptor becomes readable."""
        os.eventfd_write(self.descriptor, 1)

    def clear(self) -> None:
        """Reset the event: the descriptor is not readable until the next `set`."""
        try:
            os.eventfd_read(self.descriptor)
        except BlockingIOError:
            return

    def __del__(self) -> None:
        # Tasks share a signal, so the descriptor is closed with the last reference.
        if self.descriptor != _NO_DESCRIPTOR:
            os.close(self.descriptor)


class Watch:
    """Monitors the caller's descriptor during waits.

    `on_readable` is called when the descriptor becomes readable; it returns whether
    the caller is still connected.
    """

    def __init__(
        self, clock: Clock, descriptor: int, on_readable: Callable[[], bool]
    ) -> None:
        self._clock = clock
        self._caller_descriptor = descriptor
        self._on_readable = on_readable
        self._poll = select.poll()
        self._caller_events = _FROM_CALLER
        if descriptor != _NO_DESCRIPTOR:
            self._poll.register(descriptor, _FROM_CALLER)
        self.caller_gone = False

    def wait(
        self, descriptor: int, until: timedelta, write: bool = False
    ) -> WaitResult:
        """Wait until `descriptor` is ready, time runs out or the caller disconnects.

        `until` is in monotonic time.
        """
        if self.caller_gone:
            return WaitResult.CALLER_GONE
        self._poll.register(descriptor, _WRITABLE if write else _READABLE)
        try:
            return self._wait(descriptor, until)
        finally:
            if descriptor == self._caller_descriptor:
                # What was sent was for the caller, which is still monitored.
                self._poll.modify(descriptor, self._caller_events)
            else:
                self._poll.unregister(descriptor)

    def wait_caller_writable(self, until: timedelta, timeout: timedelta) -> bool:
        """Wait until data can be sent to the caller; return False on timeout.

        Requests that the caller sends meanwhile do not end the wait.
        """
        poll = select.poll()
        poll.register(self._caller_descriptor, select.POLLOUT)
        left = min(until - self._clock.monotonic(), timeout) / _MILLISECOND
        return bool(poll.poll(max(0, int(left) + 1)))

    def _wait(self, descriptor: int, until: timedelta) -> WaitResult:
        while True:
            left = (until - self._clock.monotonic()) / _MILLISECOND
            # Rounded up, so that the poll does not return just before `until`.
            for ready, events in self._poll.poll(max(0, int(left) + 1)):
                if ready == descriptor:
                    return WaitResult.READY
                if events & _CLOSED or not self._on_readable():
                    self.caller_gone = True
                    return WaitResult.CALLER_GONE
            if self._clock.monotonic() >= until:
                return WaitResult.TIMED_OUT

    def is_caller_connected(self) -> bool:
        """Return whether the caller is still connected, without blocking."""
        for _, events in self._poll.poll(0):
            if events & _CLOSED:
                self.caller_gone = True
        return not self.caller_gone

    def wait_readable(self, timeout: timedelta) -> bool:
        """Wait for data from the caller; return False on timeout."""
        return bool(self._poll.poll(int(timeout / _MILLISECOND) + 1))

    def resume_reading(self) -> None:
        """Poll the caller's connection for data again."""
        if self._caller_events != _FROM_CALLER:
            self._caller_events = _FROM_CALLER
            self._poll.modify(self._caller_descriptor, _FROM_CALLER)

    def pause_reading(self) -> None:
        """Poll only for the end of the caller's connection."""
        self._caller_events = select.POLLRDHUP
        self._poll.modify(self._caller_descriptor, select.POLLRDHUP)


def watch_socket(clock: Clock, sock: socket.socket) -> Watch:
    """Return a watch for a connection whose peer must not send during a wait.

    Any data or end of stream counts as a disconnect.
    """
    return Watch(clock, sock.fileno(), lambda: False)


def watch_no_caller(clock: Clock) -> Watch:
    """Return a watch for waits that no caller can end."""
    return Watch(clock, _NO_DESCRIPTOR, lambda: True)
