"""Frames between nodes: msgpack arrays on a stream, one order at a time.

A stream belongs to one call from its order to its delivery; closing it cancels
the call. That needs no call numbers, no window and no handing over between
tasks: the task that sent the order reads the delivery.
"""

from __future__ import annotations

import socket
from datetime import timedelta
from typing import Any

import msgpack

from .connection import FIRST_BYTES, RECEIVE_BYTES, send_all
from .errors import FrameError
from .watch import Waited, Watch

__all__ = ["FrameStream"]

_LARGEST_FRAME = 128 * 1024 * 1024


class FrameStream:
    """The frames of one connection."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._unpacker = msgpack.Unpacker(max_buffer_size=_LARGEST_FRAME)

    def send(self, frame: list[Any], watch: Watch, until: timedelta) -> Waited:
        """Send a frame; raises OSError when the connection breaks."""
        data = msgpack.packb(frame)
        waited, sent = send_all(self.sock, data, watch, until)
        if waited is Waited.READY and sent < len(data):
            raise FrameError("a frame arrived while another was being sent")
        return waited

    def receive(self, watch: Watch, until: timedelta) -> tuple[Waited, list[Any]]:
        """Wait for a frame; raises OSError when the connection breaks."""
        while True:
            frame = self._next()
            if frame is not None:
                return Waited.READY, frame
            waited = watch.wait(self.sock.fileno(), until)
            if waited is not Waited.READY:
                return waited, []
            self._fill()

    def receive_soon(self) -> list[Any] | None:
        """Return the next frame, or None when none begins to arrive soon.

        How soon is the receive timeout of the socket. Raises OSError when the
        connection has ended.
        """
        while True:
            frame = self._next()
            if frame is not None:
                return frame
            try:
                self._take(self.sock.recv(FIRST_BYTES))
            except BlockingIOError:
                return None

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()

    def _fill(self) -> None:
        self._take(self.sock.recv(RECEIVE_BYTES, socket.MSG_DONTWAIT))

    def _take(self, data: bytes) -> None:
        if not data:
            raise FrameError("the other side closed the connection")
        self._unpacker.feed(data)

    def _next(self) -> list[Any] | None:
        try:
            frame = next(self._unpacker, None)
        except (msgpack.UnpackException, ValueError) as error:
            raise FrameError(f"not a frame: {error}") from error
        if frame is not None and not (isinstance(frame, list) and frame):
            raise FrameError(f"not a frame: {type(frame).__name__}")
        return frame
