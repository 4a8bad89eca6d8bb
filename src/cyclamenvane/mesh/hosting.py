"""Serves the frames that other nodes send: orders, greetings, snapshots."""

from __future__ import annotations

import socket
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from .activity import Activity
from .connection import limit_receive
from .errors import FrameError
from .frames import FrameStream
from .order import FrameKind, Order
from .watch import Waited, Watch, watch_socket

if TYPE_CHECKING:
    from ..clock import Clock
    from .delivery import Courier
    from .liaison import Liaison
    from .model import Address

__all__ = ["Host", "HostSession"]

_SEND_TIMEOUT = timedelta(seconds=5)  # a node that reads no delivery has gone
# Under load the next order comes within this; a task is not kept for longer.
_LINGER = timedelta(milliseconds=250)
_LONGEST_IDLE = timedelta(seconds=60)  # the other node closes much sooner


class Host:
    """The side of a node that other nodes call."""

    def __init__(
        self,
        courier: Courier,
        clock: Clock,
        liaison: Liaison,
        find_address: Callable[[socket.socket], Address],
        version: Callable[[], int],
    ) -> None:
        self._courier = courier
        self._clock = clock
        self._liaison = liaison
        self._find_address = find_address
        self._version = version
        self.activity = Activity()

    def open_session(self, sock: socket.socket) -> HostSession:
        """Return the session of a connection that another node has opened."""
        return HostSession(self, sock, self._clock)

    def answer(self, frame: list[Any], watch: Watch, sock: socket.socket) -> list[Any]:
        """Return the answer to a frame; raises FrameError for a strange one."""
        kind = frame[0]
        if kind == FrameKind.ORDER:
            try:
                order = Order.unpack(frame)
            except (ValueError, TypeError) as error:
                raise FrameError(f"not an order: {error}") from error
            if order.version > self._version():
                address = self._find_address(sock)
                self._liaison.note_newer_version(order.version, address)
            return self._courier.deliver(order, watch).pack()
        if kind == FrameKind.SNAPSHOT:
            return self._liaison.make_snapshot()
        if kind == FrameKind.HELLO:
            self._liaison.note_greeting(frame, self._find_address(sock))
            return self._liaison.make_greeting()
        raise FrameError(f"unknown kind of frame: {kind!r}")


class HostSession:
    """One connection of another node."""

    def __init__(self, host: Host, sock: socket.socket, clock: Clock) -> None:
        self.sock = sock
        limit_receive(sock, _LINGER)
        self._host = host
        self._clock = clock
        self._stream = FrameStream(sock)
        self._watch = watch_socket(clock, sock)

    def run(self) -> timedelta | None:
        """Serve frames while they come."""
        resumed = True
        try:
            while True:
                frame = self._stream.receive_soon()
                if frame is None:
                    return self._clock.monotonic() + _LONGEST_IDLE
                # The order may have waited for a task until its caller left.
                if resumed and not self._watch.check_caller():
                    return None
                resumed = False
                with self._host.activity:
                    if not self._answer(frame):
                        return None
        except OSError:
            # The other node closed its stream, which cancels its order.
            return None

    def _answer(self, frame: list[Any]) -> bool:
        answer = self._host.answer(frame, self._watch, self.sock)
        until = self._clock.monotonic() + _SEND_TIMEOUT
        if self._watch.gone:
            return False
        return self._stream.send(answer, self._watch, until) is Waited.READY

    def close(self) -> None:
        """Nothing is held beside the connection."""
