"""Server side of a stream: accepts it and serves calls.

A `StreamServer` listens, authenticates each client and reads each stream in a
separate task. It passes requests to `serve_call` and queries to `answer_query`;
both may block.
"""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import TYPE_CHECKING

from ..calls import CHUNK_BYTES, Body, Pipe, Response
from .frame import (
    CancelFrame,
    QueryFrame,
    QueryReplyFrame,
    RequestFrame,
    ResponseFrame,
)
from .handshake import Peer, accept_handshake
from .stream import Stream, configure_socket

if TYPE_CHECKING:
    from concurrent.futures import Executor

    from ..clock import Clock

__all__ = ["IncomingCall", "StreamServer"]

_HANDSHAKE_TIMEOUT = timedelta(seconds=2)
_BACKLOG = 512


class IncomingCall:
    """A request received on a stream, with the means to send its response."""

    __slots__ = (
        "_cancel",
        "_on_complete",
        "_hand_off",
        "_reader",
        "_stream",
        "body",
        "cancelled",
        "frame",
        "handed_off",
    )

    def __init__(
        self,
        frame: RequestFrame,
        body: bytes | Pipe,
        stream: Stream,
        on_complete: Callable[[int], None],
        hand_off: Callable[[], object],
    ) -> None:
        self.frame = frame
        self.body = body
        self.cancelled = False
        self._stream = stream
        self._cancel: Callable[[], None] | None = None
        self._on_complete = on_complete
        self._hand_off = hand_off
        self._reader = threading.get_ident()
        self.handed_off = False

    def hand_off_reading(self) -> None:
        """Let another thread read the stream, as this one is about to block."""
        if not self.handed_off and threading.get_ident() == self._reader:
            self.handed_off = True
            self._hand_off()

    def on_cancel(self, cancel: Callable[[], None]) -> None:
        """Set the cancellation callback; call it now if already cancelled."""
        self._cancel = cancel
        if self.cancelled:
            cancel()

    def cancel(self) -> None:
        """Mark the call as cancelled and run the cancellation callback."""
        self.cancelled = True
        if self._cancel is not None:
            self._cancel()

    def reply(self, response: Response) -> None:
        """Send the response; the calling thread sends a large body in chunks."""
        self._on_complete(self.frame.call)
        if isinstance(response.body, bytes) and len(response.body) <= CHUNK_BYTES:
            self._stream.send(_response_frame(self.frame.call, response, response.body))
            return
        self.hand_off_reading()
        length = _body_length(response.body)
        self._stream.open_body(self.frame.call)
        if self.cancelled:
            self._stream.stop_sending(self.frame.call)
        self._stream.send(_response_frame(self.frame.call, response, b"", length))
        self._stream.send_body(self.frame.call, _split_chunks(response.body))
        if not isinstance(response.body, bytes):
            # Release the target's slot even if none of the body was read.
            response.body.close()


class _StreamState:
    """State of reading one stream; handed from thread to thread."""

    def __init__(self, stream: Stream, peer: Peer) -> None:
        self.stream = stream
        self.peer = peer
        self.frames = stream.frames()
        self.calls: dict[int, IncomingCall] = {}


class StreamServer:
    """Accepts streams from nodes and embedded callers."""

    def __init__(
        self,
        address: tuple[str, int],
        session: str,
        find_key: Callable[[str, str], bytes | None],
        serve_call: Callable[[Peer, IncomingCall], None],
        answer_query: Callable[[Peer, str, bytes], bytes | None],
        clock: Clock,
        executor: Executor,
    ) -> None:
        self._session = session
        self._find_key = find_key
        self._serve_call = serve_call
        self._answer_query = answer_query
        self._clock = clock
        self._executor = executor
        self._streams: set[Stream] = set()
        self._closed = False
        self._lock = threading.Lock()
        self._socket = socket.create_server(address, backlog=_BACKLOG)
        self.address = self._socket.getsockname()[:2]

    def start(self) -> None:
        """Start accepting connections in a separate task."""
        self._executor.submit(self._accept)

    def close(self) -> None:
        """Stop accepting connections and close all streams."""
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._socket.close()
        with self._lock:
            self._closed = True
            streams = list(self._streams)
        for stream in streams:
            stream.close()

    def check_alive(self) -> None:
        """Send pings on idle streams; close those whose peer is silent."""
        for stream in list(self._streams):
            stream.check_alive()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._socket.accept()
            except OSError:
                return
            self._executor.submit(self._run, sock)

    def _run(self, sock: socket.socket) -> None:
        sock.settimeout(_HANDSHAKE_TIMEOUT.total_seconds())
        accepted = accept_handshake(sock, self._session, self._find_key)
        if accepted.is_error():
            sock.close()
            return
        configure_socket(sock)
        stream = Stream(sock, self._clock)
        with self._lock:
            closed = self._closed
            if not closed:
                self._streams.add(stream)
        if closed:
            # The server was closed during the handshake.
            stream.close()
            return
        self._read(_StreamState(stream, accepted.ok))

    def _read(self, state: _StreamState) -> None:
        # The thread that reads a request also serves it. Before it blocks on the
        # target, it hands the reading over to another thread.
        stream = state.stream
        for frame in state.frames:
            if isinstance(frame, RequestFrame):
                if self._serve(state, frame):
                    return
            elif isinstance(frame, CancelFrame):
                # Cancel before discarding: `reply` opens its body before it checks
                # `cancelled`.
                _cancel(state.calls.pop(frame.call, None))
                stream.discard_bodies(frame.call)
            elif isinstance(frame, QueryFrame):
                self._executor.submit(self._reply, stream, state.peer, frame)
        self._streams.discard(stream)
        for call in list(state.calls.values()):
            _cancel(call)

    def _serve(self, state: _StreamState, frame: RequestFrame) -> bool:
        """Serve a request; return whether another thread now reads the stream."""
        call = self._register_call(state, frame)
        if call is None:
            return False
        self._serve_call(state.peer, call)
        return call.handed_off

    def _register_call(
        self, state: _StreamState, frame: RequestFrame
    ) -> IncomingCall | None:
        calls = state.calls
        if frame.call in calls:
            return None
        body: bytes | Pipe = frame.body
        if frame.more:
            body = state.stream.receive_body(frame.call, frame.body, frame.length)
        call = IncomingCall(
            frame,
            body,
            state.stream,
            on_complete=lambda number: calls.pop(number, None),
            hand_off=lambda: self._executor.submit(self._read, state),
        )
        calls[frame.call] = call
        return call

    def _reply(self, stream: Stream, peer: Peer, frame: QueryFrame) -> None:
        payload = self._answer_query(peer, frame.topic, frame.payload)
        stream.send(QueryReplyFrame(frame.call, payload is not None, payload or b""))


def _cancel(call: IncomingCall | None) -> None:
    if call is not None:
        call.cancel()


def _response_frame(
    call: int, response: Response, body: bytes, length: int | None = None
) -> ResponseFrame:
    after = response.retry_after
    return ResponseFrame(
        call=call,
        status=response.status,
        headers=response.headers,
        body=body,
        more=length is not None,
        length=-1 if length is None else length,
        outcome=int(response.outcome),
        refusal=int(response.refusal),
        unused=response.report.unused,
        level=response.report.level,
        target_level=response.report.target_level,
        retried=response.report.retried,
        retry_after_ms=int(after.total_seconds() * 1000) if after else 0,
    )


def _body_length(body: Body) -> int:
    if isinstance(body, bytes):
        return len(body)
    return -1 if body.length is None else body.length


def _split_chunks(body: Body) -> Iterator[bytes]:
    parts = (body,) if isinstance(body, bytes) else body
    for part in parts:
        for start in range(0, len(part), CHUNK_BYTES):
            yield part[start : start + CHUNK_BYTES]
