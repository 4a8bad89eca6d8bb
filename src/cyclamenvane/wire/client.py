"""Client side of a stream: opens it, sends calls and receives responses.

A `StreamClient` numbers its calls and matches each response to a call by number.
A response without a pending call (late, repeated or unknown) is discarded and
counted in `dropped`.
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
from .frame import CancelFrame, QueryFrame, QueryReplyFrame, RequestFrame, ResponseFrame
from .handshake import HandshakeError, Peer, open_handshake
from .stream import Stream, configure_socket

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from concurrent.futures import Executor

    from ..clock import Clock

__all__ = ["PendingCall", "ReceivedResponse", "StreamClient", "open_stream"]

CONNECT_TIMEOUT = timedelta(seconds=1)


class ReceivedResponse:
    """A response frame and its body, which may not be complete yet."""

    __slots__ = ("body", "frame")

    def __init__(self, frame: ResponseFrame, body: bytes | Pipe) -> None:
        self.frame = frame
        self.body = body


class PendingCall:
    """A call that has been sent and has no response yet."""

    __slots__ = ("_responses", "_client", "number")

    def __init__(self, client: StreamClient, number: int) -> None:
        self.number = number
        self._client = client
        self._responses: queue.SimpleQueue = queue.SimpleQueue()

    def wait(self, timeout: timedelta) -> ReceivedResponse | None:
        """Return the response, or None if the stream closes or `timeout` expires."""
        try:
            response = self._responses.get(timeout=max(0.0, timeout.total_seconds()))
        except queue.Empty:
            response = None
        self._client.discard_call(self.number)
        return response

    def cancel(self) -> None:
        """Send a cancellation to the peer and unblock `wait`."""
        self._client.cancel(self.number)
        self._responses.put(None)

    def complete(self, response: ReceivedResponse | QueryReplyFrame | None) -> None:
        """Set the response that `wait` returns; None if there is none."""
        self._responses.put(response)


class StreamClient:
    """Sends calls over one open stream; thread-safe."""

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
        """Whether the stream is closed."""
        return self._stream.closed

    @property
    def busy(self) -> bool:
        """Whether any call is pending."""
        return bool(self._pending)

    def call(
        self, make_frame: Callable[[int], RequestFrame], body: Pipe | None
    ) -> PendingCall | None:
        """Send a request; return its pending call, or None if sending failed.

        None means that the peer cannot have received the complete request.
        """
        pending = self._register()
        if body is not None:
            self._stream.open_body(pending.number)
        if not self._stream.send(make_frame(pending.number)):
            self.discard_call(pending.number)
            return None
        if body is not None:
            chunks = _split_chunks(body)
            self._executor.submit(self._stream.send_body, pending.number, chunks)
        return pending

    def query(self, topic: str, payload: bytes, timeout: timedelta) -> bytes | None:
        """Send a query to the node; return the reply payload.

        None if no reply arrives within `timeout` or the node found nothing.
        """
        pending = self._register()
        if not self._stream.send(QueryFrame(pending.number, topic, payload)):
            self.discard_call(pending.number)
            return None
        reply = pending.wait(timeout)
        return (
            reply.payload
            if isinstance(reply, QueryReplyFrame) and reply.found
            else None
        )

    def read(self) -> None:
        """Read the stream until it closes; run in a separate task."""
        for frame in self._stream.frames():
            if isinstance(frame, ResponseFrame):
                self._stream.stop_sending(frame.call)
                self._complete_call(frame.call, self._receive(frame))
            elif isinstance(frame, QueryReplyFrame):
                self._complete_call(frame.call, frame)
        with self._lock:
            pending = list(self._pending.values())
            self._pending.clear()
        for call in pending:
            call.complete(None)

    def check_alive(self) -> None:
        """Send a ping if the stream is idle; close it if the peer is silent."""
        self._stream.check_alive()

    def cancel(self, number: int) -> None:
        """Send a cancellation of a call to the peer and discard its bodies."""
        self._stream.send(CancelFrame(number))
        self._stream.discard_bodies(number)

    def discard_call(self, number: int) -> None:
        """Remove a pending call; its response is discarded when it arrives."""
        with self._lock:
            self._pending.pop(number, None)

    def close(self) -> None:
        """Close the stream; pending calls end without a response."""
        self._stream.close()

    def _register(self) -> PendingCall:
        pending = PendingCall(self, next(self._numbers))
        with self._lock:
            self._pending[pending.number] = pending
        if self._stream.closed:
            pending.complete(None)
        return pending

    def _receive(self, frame: ResponseFrame) -> ReceivedResponse | None:
        if frame.call not in self._pending:
            return None
        if not frame.more:
            return ReceivedResponse(frame, frame.body)
        pipe = self._stream.receive_body(
            frame.call,
            frame.body,
            frame.length,
            on_close=lambda: self.cancel(frame.call),
        )
        return ReceivedResponse(frame, pipe)

    def _complete_call(
        self, number: int, response: ReceivedResponse | QueryReplyFrame | None
    ) -> None:
        with self._lock:
            pending = self._pending.pop(number, None)
        if pending is None:
            self.dropped += 1
        else:
            pending.complete(response)


def open_stream(
    address: tuple[str, int],
    role: str,
    name: str,
    key: bytes,
    clock: Clock,
    executor: Executor,
) -> Result[StreamClient, HandshakeError]:
    """Connect to a node, authenticate with `key` and start reading."""
    try:
        sock = socket.create_connection(address, CONNECT_TIMEOUT.total_seconds())
    except OSError as error:
        return Error(HandshakeError(str(error)))
    handshake = open_handshake(sock, role, name, key)
    if handshake.is_error():
        sock.close()
        return Error(handshake.error)
    configure_socket(sock)
    client = StreamClient(Stream(sock, clock), handshake.ok, executor)
    executor.submit(client.read)
    return Ok(client)


def _split_chunks(body: Pipe) -> Iterator[bytes]:
    for chunk in body:
        for start in range(0, len(chunk), CHUNK_BYTES):
            yield chunk[start : start + CHUNK_BYTES]
