"""Frames between nodes: msgpack arrays on a TCP stream, one request at a time.

A stream is used by one call from its request to its result; closing it cancels
the call. This avoids call numbers, flow control windows and handover between
tasks: the task that sent the request reads the result.
"""

from __future__ import annotations

import socket
from datetime import timedelta
from typing import Any

import msgpack

from .connection import DONT_WAIT, INITIAL_RECEIVE_BYTES, RECEIVE_BYTES, send_all
from .errors import FrameError
from .watch import WaitResult, Watch

__all__ = ["FrameStream"]

_MAX_FRAME_BYTES = 128 * 1024 * 1024


class FrameStream:
    """Frames sent and received on one connection."""

    def __init__(
        self, sock: socket.socket, max_frame_bytes: int = _MAX_FRAME_BYTES
    ) -> None:
        self.sock = sock
        self._unpacker = msgpack.Unpacker(max_buffer_size=max_frame_bytes)
        self._fed_bytes = 0

    def send(self, frame: list[Any], watch: Watch, until: timedelta) -> WaitResult:
        """Send a frame; raise OSError if the connection fails."""
        data = msgpack.packb(frame)
        wait_result, sent = send_all(self.sock, data, watch, until)
        if wait_result is WaitResult.READY and sent < len(data):
            raise FrameError("frame received while another was being sent")
        return wait_result

    def receive(self, watch: Watch, until: timedelta) -> tuple[WaitResult, list[Any]]:
        """Wait for a frame; raise OSError if the connection fails."""
        while True:
            frame = self._next_frame()
            if frame is not None:
                return WaitResult.READY, frame
            wait_result = watch.wait(self.sock.fileno(), until)
            if wait_result is not WaitResult.READY:
                return wait_result, []
            self._receive_more()

    def receive_or_timeout(self) -> list[Any] | None:
        """Return the next frame, or None if no data arrives in time.

        The limit is the receive timeout of the socket. Raise OSError if the
        connection is closed.
        """
        while True:
            frame = self._next_frame()
            if frame is not None:
                return frame
            try:
                self._feed(self.sock.recv(INITIAL_RECEIVE_BYTES))
            except BlockingIOError:
                return None

    def is_drained(self) -> bool:
        """Return whether nothing was received after the last frame."""
        return self._unpacker.tell() == self._fed_bytes

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()

    def _receive_more(self) -> None:
        self._feed(self.sock.recv(RECEIVE_BYTES, DONT_WAIT))

    def _feed(self, data: bytes) -> None:
        if not data:
            raise FrameError("connection closed by the peer")
        try:
            self._unpacker.feed(data)
            self._fed_bytes += len(data)
        except msgpack.BufferFull as error:
            raise FrameError("frame too large") from error

    def _next_frame(self) -> list[Any] | None:
        try:
            frame = next(self._unpacker, None)
        except (msgpack.UnpackException, ValueError) as error:
            raise FrameError(f"invalid frame: {error}") from error
        if frame is not None and not (isinstance(frame, list) and frame):
            raise FrameError(f"invalid frame: {type(frame).__name__}")
        return frame
