"""One multiplexed stream: the socket, its writer lock and its bodies.

`Stream` is what both sides share: sending a frame in one write, reading frames
until the end, signs of life, and bodies in chunks under credit. `wire.client`
and `wire.server` build calls on top of it.
"""

from __future__ import annotations

import socket
import struct
import threading
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import TYPE_CHECKING

from ..calls import CHUNK_BYTES, PIPE_BYTES, BodyFailed, Pipe
from .codec import FrameReader, MalformedFrame, encode_frame
from .frame import AbortFrame, ChunkFrame, CreditFrame, Frame, PingFrame, PongFrame

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["SEND_TIMEOUT", "SILENCE", "Stream", "tune_socket"]

SILENCE = timedelta(seconds=2)
SEND_TIMEOUT = timedelta(seconds=2)
_PING_AFTER = timedelta(milliseconds=500)
_RECEIVE_BYTES = 64 * 1024
_PIPE_CHUNKS = PIPE_BYTES // CHUNK_BYTES


def tune_socket(sock: socket.socket) -> None:
    """Set the options that every stream needs: no delay, bounded sends."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.settimeout(None)
    interval = struct.pack("ll", int(SEND_TIMEOUT.total_seconds()), 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, interval)


class _Credit:
    """The chunks that one body may send; none until its reader has begun."""

    def __init__(self) -> None:
        self._room = threading.Semaphore(0)
        self._dropped = False

    def take(self) -> bool:
        self._room.acquire()
        return not self._dropped

    def add(self, amount: int) -> None:
        self._room.release(amount)

    def drop(self) -> None:
        self._dropped = True
        self._room.release()


class Stream:
    """A connected socket that carries frames, with bodies under credit."""

    def __init__(self, sock: socket.socket, clock: Clock) -> None:
        self.heard_at = clock.monotonic()
        self._clock = clock
        self._sock = sock
        self._send_lock = threading.Lock()
        self._closed = False
        self._pings = 0
        self._credits: dict[int, _Credit] = {}
        self._pipes: dict[int, Pipe] = {}

    @property
    def closed(self) -> bool:
        """Whether the stream is of no further use."""
        return self._closed

    def send(self, frame: Frame) -> bool:
        """Send a frame in one write; return False when the stream is closed."""
        data = encode_frame(frame)
        try:
            with self._send_lock:
                if self._closed:
                    return False
                self._sock.sendall(data)
        except OSError:
            self.close()
            return False
        return True

    def frames(self) -> Iterator[Frame]:
        """Yield what arrives until the stream ends or holds a malformed frame."""
        reader = FrameReader()
        try:
            while data := self._sock.recv(_RECEIVE_BYTES):
                self.heard_at = self._clock.monotonic()
                for frame in reader.feed(data):
                    if not self._handle(frame):
                        yield frame
        except (OSError, MalformedFrame):
            pass
        finally:
            self.close()

    def beat(self) -> None:
        """Ask for a sign of life when it has been quiet; close when silent."""
        quiet = self._clock.monotonic() - self.heard_at
        if quiet >= SILENCE:
            self.close()
        elif quiet >= _PING_AFTER:
            self._pings += 1
            self.send(PingFrame(self._pings))

    def close(self) -> None:
        """Close the socket and fail every body that is under way."""
        self._closed = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._sock.close()
        for pipe in list(self._pipes.values()):
            pipe.fail("the stream was closed")
        for credit in list(self._credits.values()):
            credit.drop()

    def receive_body(
        self,
        call: int,
        first: bytes,
        length: int,
        on_close: Callable[[], None] = lambda: None,
    ) -> Pipe:
        """Return the pipe that the chunks of a call will fill."""
        pipe = Pipe(
            length if length >= 0 else None,
            on_begin=lambda: self._return_credit(call, _PIPE_CHUNKS),
            on_read=lambda: self._return_credit(call, 1),
            on_close=on_close,
        )
        pipe.offer(first)
        self._pipes[call] = pipe
        if self._closed:
            pipe.fail("the stream was closed")
        return pipe

    def open_body(self, call: int) -> None:
        """Prepare to send the body of a call; `send_body` follows."""
        self._credits[call] = _Credit()

    def send_body(self, call: int, chunks: Iterator[bytes]) -> bool:
        """Send the chunks of a body as credit allows; False when it broke off.

        One credit is one chunk. Nothing is taken from `chunks` before the other
        side has begun to read.
        """
        credit = self._credits.get(call)
        if credit is None:
            return False
        try:
            while credit.take() and not self._closed:
                chunk = next(chunks, None)
                if chunk is None:
                    return self.send(ChunkFrame(call, b"", False))
                self.send(ChunkFrame(call, chunk, True))
            return False
        except BodyFailed:
            self.send(AbortFrame(call))
            return False
        finally:
            self._credits.pop(call, None)

    def stop_sending(self, call: int) -> None:
        """Send no more of the body of a call."""
        credit = self._credits.pop(call, None)
        if credit is not None:
            credit.drop()

    def drop_body(self, call: int) -> None:
        """Forget the bodies of a call, failing what is still under way."""
        pipe = self._pipes.pop(call, None)
        if pipe is not None:
            pipe.fail("the call was cancelled")
        self.stop_sending(call)

    def _handle(self, frame: Frame) -> bool:
        if isinstance(frame, ChunkFrame):
            self._take_chunk(frame)
        elif isinstance(frame, CreditFrame):
            credit = self._credits.get(frame.call)
            if credit is not None:
                credit.add(max(1, min(frame.amount, _PIPE_CHUNKS)))
        elif isinstance(frame, AbortFrame):
            pipe = self._pipes.pop(frame.call, None)
            if pipe is not None:
                pipe.fail("the sender gave the body up")
        elif isinstance(frame, PingFrame):
            self.send(PongFrame(frame.number))
        else:
            return isinstance(frame, PongFrame)
        return True

    def _take_chunk(self, frame: ChunkFrame) -> None:
        pipe = self._pipes.get(frame.call)
        if pipe is None:
            return
        if not pipe.offer(frame.data):
            raise MalformedFrame("a body was sent past its credit")
        if not frame.more:
            self._pipes.pop(frame.call, None)
            pipe.end()

    def _return_credit(self, call: int, chunks: int) -> None:
        self.send(CreditFrame(call, chunks))
