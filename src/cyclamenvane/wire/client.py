"""The side of a stream that opens it and makes calls.

A `StreamClient` gives each call a number and hands an answer only to the call
of that number. An answer that nobody waits for (late, repeated or unknown) is
dropped and counted in `dropped`.
"""

from __future__ import annotations

import itertools
import queue
import socket
import threading
from datetime import timedelta
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from ..calls import CHUNK_BYTES, Pipe
from .frame import AnswerFrame, AskFrame, CancelFrame, ReplyFrame, RequestFrame
from .handshake import HandshakeError, Peer, open_handshake
from .stream import Stream, tune_socket

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from concurrent.futures import Executor

    from ..clock import Clock

__all__ = ["PendingCall", "ReceivedAnswer", "StreamClient", "open_stream"]

CONNECT_TIMEOUT = timedelta(seconds=1)


class ReceivedAnswer:
    """An answer frame with its body, which may still be arriving."""

    __slots__ = ("body", "frame")

    def __init__(self, frame: AnswerFrame, body: bytes | Pipe) -> None:
        self.frame = frame
        self.body = body


class PendingCall:
    """A call that has been sent and waits for its answer."""

    __slots__ = ("_box", "_client", "number")

    def __init__(self, client: StreamClient, number: int) -> None:
        self.number = number
        self._client = client
        self._box: queue.SimpleQueue = queue.SimpleQueue()

    def wait(self, timeout: timedelta) -> ReceivedAnswer | None:
        """Return the answer; None when the stream broke or time ran out."""
        try:
            answer = self._box.get(timeout=max(0.0, timeout.total_seconds()))
        except queue.Empty:
            answer = None
        self._client.forget(self.number)
        return answer

    def cancel(self) -> None:
        """Tell the other side that nobody waits, and wake the waiter."""
        self._client.cancel(self.number)
        self._box.put(None)

    def settle(self, answer: ReceivedAnswer | ReplyFrame | None) -> None:
        """Hand the answer to the waiter."""
        self._box.put(answer)


class StreamClient:
    """Calls over one open stream, from any number of threads."""

    def __init__(self, stream: Stream, peer: Peer, executor: Executor) -> None:
        self.peer = peer
        self.dropped = 0
        self._stream = stream
        self._executor = executor
        self._numbers = itertools.count(1)
        self._pending: dict[int, PendingCall] = {}
        self._lock = threading.Lock()

    @property
    def closed(self) -> bool:
        """Whether the stream is of no further use."""
        return self._stream.closed

    @property
    def busy(self) -> bool:
        """Whether calls wait for their answers."""
        return bool(self._pending)

    def call(
        self, frame_for: Callable[[int], RequestFrame], body: Pipe | None
    ) -> PendingCall | None:
        """Send a request; return its pending call, or None when not sent.

        None is only returned when the request cannot have arrived whole.
        """
        pending = self._register()
        if body is not None:
            self._stream.open_body(pending.number)
        if not self._stream.send(frame_for(pending.number)):
            self.forget(pending.number)
            return None
        if body is not None:
            chunks = _split_chunks(body)
            self._executor.submit(self._stream.send_body, pending.number, chunks)
        return pending

    def ask(self, topic: str, payload: bytes, timeout: timedelta) -> bytes | None:
        """Ask the node a question; None when it gave no reply in time."""
        pending = self._register()
        if not self._stream.send(AskFrame(pending.number, topic, payload)):
            self.forget(pending.number)
            return None
        reply = pending.wait(timeout)
        return reply.payload if isinstance(reply, ReplyFrame) and reply.found else None

    def read(self) -> None:
        """Read the stream until it ends; run this as a task of its own."""
        for frame in self._stream.frames():
            if isinstance(frame, AnswerFrame):
                self._stream.stop_sending(frame.call)
                self._settle(frame.call, self._receive(frame))
            elif isinstance(frame, ReplyFrame):
                self._settle(frame.call, frame)
        with self._lock:
            pending = list(self._pending.values())
            self._pending.clear()
        for call in pending:
            call.settle(None)

    def beat(self) -> None:
        """Check that the other side still answers."""
        self._stream.beat()

    def cancel(self, number: int) -> None:
        """Tell the other side that nobody waits for a call."""
        self._stream.send(CancelFrame(number))
        self._stream.drop_body(number)

    def forget(self, number: int) -> None:
        """Stop waiting for a call; its answer will be dropped."""
        with self._lock:
            self._pending.pop(number, None)

    def close(self) -> None:
        """Close the stream; pending calls get no answer."""
        self._stream.close()

    def _register(self) -> PendingCall:
        pending = PendingCall(self, next(self._numbers))
        with self._lock:
            self._pending[pending.number] = pending
        if self._stream.closed:
            pending.settle(None)
        return pending

    def _receive(self, frame: AnswerFrame) -> ReceivedAnswer | None:
        if frame.call not in self._pending:
            return None
        if not frame.more:
            return ReceivedAnswer(frame, frame.body)
        pipe = self._stream.receive_body(
            frame.call,
            frame.body,
            frame.length,
            on_close=lambda: self.cancel(frame.call),
        )
        return ReceivedAnswer(frame, pipe)

    def _settle(self, number: int, answer: ReceivedAnswer | ReplyFrame | None) -> None:
        with self._lock:
            pending = self._pending.pop(number, None)
        if pending is None:
            self.dropped += 1
        else:
            pending.settle(answer)


def open_stream(
    address: tuple[str, int],
    role: str,
    name: str,
    key: bytes,
    clock: Clock,
    executor: Executor,
) -> Result[StreamClient, HandshakeError]:
    """Connect to a node, prove the key and start reading."""
    try:
        sock = socket.create_connection(address, CONNECT_TIMEOUT.total_seconds())
    except OSError as error:
        return Error(HandshakeError(str(error)))
    opened = open_handshake(sock, role, name, key)
    if opened.is_error():
        sock.close()
        return Error(opened.error)
    tune_socket(sock)
    client = StreamClient(Stream(sock, clock), opened.ok, executor)
    executor.submit(client.read)
    return Ok(client)


def _split_chunks(body: Pipe) -> Iterator[bytes]:
    for chunk in body:
        for start in range(0, len(chunk), CHUNK_BYTES):
            yield chunk[start : start + CHUNK_BYTES]
