"""Frames between nodes: msgpack arrays on a TCP stream, one request at a time.

A stream is used by one call from its request to its result; closing it cancels
the call. This avoids call numbers, flow control windows and handover between
tasks: the task that sent the request reads the result.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import msgpack

from .connection import DONT_WAIT, INITIAL_RECEIVE_BYTES, RECEIVE_BYTES, send_all
from .errors import FrameError, NoMemoryError
from .frame_reader import LONG_BYTES, LONG_BYTES_TAG, FrameReader
from .memory import LARGE_BYTES
from .watch import WaitResult, Watch

if TYPE_CHECKING:
    from .memory import Reservation

__all__ = ["FrameStream"]

_MAX_FRAME_BYTES = 128 * 1024 * 1024
_RESERVATION_STEP_BYTES = 16 * 1024


class FrameStream:
    """Frames sent and received on one connection.

    With a reservation, frames that are being received take their memory from it.
    """

    def __init__(
        self,
        sock: socket.socket,
        max_frame_bytes: int = _MAX_FRAME_BYTES,
        reservation: Reservation | None = None,
    ) -> None:
        self.sock = sock
        self._max_frame_bytes = max_frame_bytes
        self.reservation = reservation
        self._reader = FrameReader(max_frame_bytes)

    def send(
        self, frame: list[Any], watch: Watch, until: timedelta
    ) -> tuple[WaitResult, bool]:
        """Send a frame; return how that ended, and whether all of it was sent.

        Sending ends early if the peer responds before it has read the frame. Raise
        OSError if the connection fails; the peer has not got the whole frame then.
        """
        for piece in _encode(frame):
            wait_result, sent = send_all(self.sock, piece, watch, until)
            if wait_result is not WaitResult.READY or sent < len(piece):
                return wait_result, False
        return WaitResult.READY, True

    def receive(self, watch: Watch, until: timedelta) -> tuple[WaitResult, list[Any]]:
        """Wait for a frame; raise OSError if the connection fails."""
        while True:
            frame = self._reader.next_frame()
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
            frame = self._reader.next_frame()
            if frame is not None:
                return frame
            try:
                self._feed(self.sock.recv(INITIAL_RECEIVE_BYTES))
            except BlockingIOError:
                return None

    def is_drained(self) -> bool:
        """Return whether nothing was received after the last frame."""
        return self._reader.is_drained()

    def free(self) -> None:
        """Release the memory of the last frame, once it is not used."""
        if self.reservation is not None:
            self.reservation.close()

    def pin(self) -> None:
        """Keep the memory of the last frame until `free`, as its request is served."""
        if self.reservation is not None:
            self.reservation.pinned = True

    def expose(self, evict: Callable[[], None]) -> None:
        """Let the next frame be evicted until it is whole."""
        if self.reservation is not None:
            self.reservation.expose(evict)

    def abandon(self) -> None:
        """Drop what was received of a frame that is not read on."""
        self._reader = FrameReader(self._max_frame_bytes)
        self.free()

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()

    def _receive_more(self) -> None:
        self._feed(self.sock.recv(RECEIVE_BYTES, DONT_WAIT))

    def _feed(self, data: bytes) -> None:
        if not data:
            raise FrameError("connection closed by the peer")
        self._reader.feed(data)
        if self.reservation is not None:
            held = self._reader.held_bytes
            if not self.reservation.cover(held, _RESERVATION_STEP_BYTES):
                raise NoMemoryError("no memory for a frame")


def _encode(frame: list[Any]) -> list[bytes]:
    """Return the encoded frame in pieces, without copies of large bytes."""
    large = [
        number
        for number, item in enumerate(frame)
        if type(item) is bytes and len(item) >= LARGE_BYTES
    ]
    if not large:
        return [msgpack.packb(frame)]
    pieces = [msgpack.Packer().pack_array_header(len(frame))]
    for number, item in enumerate(frame):
        if number in large:
            pieces[-1] += LONG_BYTES.pack(LONG_BYTES_TAG, len(item))
            pieces += [item, b""]
        else:
            pieces[-1] += msgpack.packb(item)
    return pieces
