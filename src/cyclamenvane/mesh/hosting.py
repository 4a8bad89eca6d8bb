"""Serves the frames that other nodes send: orders, greetings, snapshots."""

from __future__ import annotations

import socket
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from .frames import FrameError, FrameStream
from .order import FrameKind, Order
from .watch import Waited, watch_socket

if TYPE_CHECKING:
    from ..clock import Clock
    from .delivery import Courier
    from .liaison import Liaison
    from .model import Address

__all__ = ["Host"]

_SEND_TIMEOUT = timedelta(seconds=5)  # a node that reads no delivery has gone


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

    def serve(self, sock: socket.socket) -> None:
        """Serve one connection until the other node closes it."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = FrameStream(sock)
        watch = watch_socket(self._clock, sock)
        try:
            while (frame := stream.receive_next()) is not None:
                answer = self._answer(frame, watch, sock)
                until = self._clock.monotonic() + _SEND_TIMEOUT
                if answer is None or watch.gone:
                    return
                if stream.send(answer, watch, until) is not Waited.READY:
                    return
        except OSError:
            # The other node closed its stream, which cancels its order.
            return

    def _answer(
        self, frame: list[Any], watch: Any, sock: socket.socket
    ) -> list[Any] | None:
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
