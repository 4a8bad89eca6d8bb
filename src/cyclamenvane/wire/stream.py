"""A multiplexed stream over one socket, common to client and server.

`Stream` sends each frame in one write, reads frames until the stream closes,
sends keepalive pings, and transfers bodies in chunks with credit-based flow
control. `wire.client` and `wire.server` implement calls on top of it.
"""

from __future__ import annotations

import select
import socket
import struct
import threading
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import TYPE_CHECKING

from ..calls import CHUNK_BYTES, PIPE_BYTES, IncompleteBody, Pipe
from .codec import FrameReader, MalformedFrame, encode_frame
from .frame import AbortFrame, ChunkFrame, CreditFrame, Frame, PingFrame, PongFrame

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["SEND_TIMEOUT", "SILENCE_TIMEOUT", "Stream", "configure_socket"]

SILENCE_TIMEOUT = timedelta(seconds=2)
SEND_TIMEOUT = timedelta(seconds=2)
_PING_AFTER_IDLE = timedelta(milliseconds=500)
# Without these a peer does not count as silent: after a pause of this process, or of
# the machine, no ping was sent for a while, or the answers are not read yet.
_MIN_UNANSWERED_PINGS = 2
_RECEIVE_BYTES = 64 * 1024
_PIPE_CHUNKS = PIPE_BYTES // CHUNK_BYTES


def configure_socket(sock: socket.socket) -> None:
    """Disable Nagle's algorithm and set the send timeout of a stream's socket."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.settimeout(None)
    interval = struct.pack("ll", int(SEND_TIMEOUT.total_seconds()), 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, interval)


class _Credit:
    """Number of chunks that may be sent; 0 until the receiver starts reading."""

    def __init__(self) -> None:
        self._available = threading.Semaphore(0)
        self._cancelled = False

    def acquire(self) -> bool:
        self._available.acquire()
        return not self._cancelled

    def grant(self, amount: int) -> None:
        self._available.release(amount)

    def cancel(self) -> None:
        self._cancelled = True
        self._available.release()


class Stream:
    """A connected socket that carries frames and flow-controlled bodies."""

    def __init__(self, sock: socket.socket, clock: Clock) -> None:
        self.last_received_at = clock.monotonic()
        self._clock = clock
        self._sock = sock
        self._send_lock = threading.Lock()
        self._closed = False
        self._pings = 0
        self._unanswered_pings = 0
        self._credits: dict[int, _Credit] = {}
        self._pipes: dict[int, Pipe] = {}

    @property
    def closed(self) -> bool:
        """Whether the stream is closed."""
        return self._closed

    def send(self, frame: Frame) -> bool:
        """Send a frame in one write; return False if the stream is closed."""
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
        """Yield received frames until the stream closes or a frame is malformed.

        Frames that the stream handles itself are not yielded.
        """
        reader = FrameReader()
        try:
            while data := self._sock.recv(_RECEIVE_BYTES):
                self.last_received_at = self._clock.monotonic()
                self._unanswered_pings = 0
                for frame in reader.feed(data):
                    if not self._handle(frame):
                        yield frame
        except (OSError, MalformedFrame):
            pass
        finally:
            self.close()

    def check_alive(self) -> None:
        """Send a ping if the stream is idle; close it if the peer is silent.

        That is when nothing has arrived for SILENCE_TIMEOUT although pings were sent.
        Data that has arrived and was not read yet is no silence.
        """
        idle = self._clock.monotonic() - self.last_received_at
        if idle < _PING_AFTER_IDLE:
            return
        pinged = self._unanswered_pings >= _MIN_UNANSWERED_PINGS
        if idle >= SILENCE_TIMEOUT and pinged and not self._has_unread_data():
            self.close()
            return
        self._unanswered_pings += 1
        self._pings += 1
        self.send(PingFrame(self._pings))

    def close(self) -> None:
        """Close the socket and fail every unfinished body."""
        self._closed = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._sock.close()
        for pipe in list(self._pipes.values()):
            pipe.fail("the stream was closed")
        for credit in list(self._credits.values()):
            credit.cancel()

    def receive_body(
        self,
        call: int,
        first: bytes,
        length: int,
        on_close: Callable[[], None] = lambda: None,
    ) -> Pipe:
        """Return the pipe that receives the body of a call.

        `first` is the part of the body already received; `length` is -1 if unknown.
        """
        pipe = Pipe(
            length if length >= 0 else None,
            on_begin=lambda: self._grant_credit(call, _PIPE_CHUNKS),
            on_read=lambda: self._grant_credit(call, 1),
            on_close=on_close,
        )
        pipe.try_write(first)
        self._pipes[call] = pipe
        if self._closed:
            pipe.fail("the stream was closed")
        return pipe

    def open_body(self, call: int) -> None:
        """Prepare to send the body of a call; call before `send_body`."""
        credit = self._credits[call] = _Credit()
        if self._closed:
            # `close` may have cancelled the others already.
            credit.cancel()

    def send_body(self, call: int, chunks: Iterator[bytes]) -> bool:
        """Send the chunks of a body as credit allows; False if not completed.

        One credit allows one chunk. Nothing is read from `chunks` until the
        receiver starts reading.
        """
        credit = self._credits.get(call)
        if credit is None:
            return False
        try:
            while credit.acquire() and not self._closed:
                chunk = next(chunks, None)
                if chunk is None:
                    return self.send(ChunkFrame(call, b"", False))
                self.send(ChunkFrame(call, chunk, True))
            return False
        except IncompleteBody:
            self.send(AbortFrame(call))
            return False
        finally:
            self._credits.pop(call, None)

    def stop_sending(self, call: int) -> None:
        """Stop sending the body of a call."""
        credit = self._credits.pop(call, None)
        if credit is not None:
            credit.cancel()

    def discard_bodies(self, call: int) -> None:
        """Discard both bodies of a call; fail the incoming one if unfinished."""
        pipe = self._pipes.pop(call, None)
        if pipe is not None:
            pipe.fail("the call was cancelled")
        self.stop_sending(call)

    def _has_unread_data(self) -> bool:
        poll = select.poll()
        try:
            poll.register(self._sock, select.POLLIN)
        except ValueError:
            return False  # closed by another thread
        return any(events & select.POLLIN for _, events in poll.poll(0))

    def _handle(self, frame: Frame) -> bool:
        if isinstance(frame, ChunkFrame):
            self._receive_chunk(frame)
        elif isinstance(frame, CreditFrame):
            credit = self._credits.get(frame.call)
            if credit is not None:
                credit.grant(max(1, min(frame.amount, _PIPE_CHUNKS)))
        elif isinstance(frame, AbortFrame):
            pipe = self._pipes.pop(frame.call, None)
            if pipe is not None:
                pipe.fail("the sender aborted the body")
        elif isinstance(frame, PingFrame):
            self.send(PongFrame(frame.number))
        else:
            return isinstance(frame, PongFrame)
        return True

    def _receive_chunk(self, frame: ChunkFrame) -> None:
        pipe = self._pipes.get(frame.call)
        if pipe is None:
            return
        if not pipe.try_write(frame.data):
            raise MalformedFrame("body chunk exceeds the granted credit")
        if not frame.more:
            self._pipes.pop(frame.call, None)
            pipe.end()

    def _grant_credit(self, call: int, chunks: int) -> None:
        self.send(CreditFrame(call, chunks))
