"""The side of a stream that accepts it and serves calls.

A `StreamServer` listens, checks each opening side's proof and reads each stream
in a task of its own. It hands requests to `serve_call` and questions to
`answer_ask`, which may take their time.
"""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import TYPE_CHECKING

from ..calls import CHUNK_BYTES, Answer, Body, Pipe
from .frame import (
    AnswerFrame,
    AskFrame,
    CancelFrame,
    ReplyFrame,
    RequestFrame,
)
from .handshake import Peer, accept_handshake
from .stream import Stream, tune_socket

if TYPE_CHECKING:
    from concurrent.futures import Executor

    from ..clock import Clock

__all__ = ["IncomingCall", "StreamServer"]

_HANDSHAKE_TIMEOUT = timedelta(seconds=2)
_BACKLOG = 512


class IncomingCall:
    """A request that arrived on a stream, and the way back for its answer."""

    __slots__ = (
        "_cancel",
        "_on_settled",
        "_pass_on",
        "_reader",
        "_stream",
        "body",
        "cancelled",
        "frame",
        "passed_on",
    )

    def __init__(
        self,
        frame: RequestFrame,
        body: bytes | Pipe,
        stream: Stream,
        on_settled: Callable[[int], None],
        pass_on: Callable[[], object],
    ) -> None:
        self.frame = frame
        self.body = body
        self.cancelled = False
        self._stream = stream
        self._cancel: Callable[[], None] | None = None
        self._on_settled = on_settled
        self._pass_on = pass_on
        self._reader = threading.get_ident()
        self.passed_on = False

    def pass_reading_on(self) -> None:
        """Let another thread read the stream: this one is about to wait."""
        if not self.passed_on and threading.get_ident() == self._reader:
            self.passed_on = True
            self._pass_on()

    def on_cancel(self, cancel: Callable[[], None]) -> None:
        """Register what stops the work; called at once if cancelled already."""
        self._cancel = cancel
        if self.cancelled:
            cancel()

    def cancel(self) -> None:
        """Stop the work: nobody waits for the answer."""
        self.cancelled = True
        if self._cancel is not None:
            self._cancel()

    def reply(self, answer: Answer) -> None:
        """Send the answer; a large body is sent by the calling thread."""
        self._on_settled(self.frame.call)
        if isinstance(answer.body, bytes) and len(answer.body) <= CHUNK_BYTES:
            self._stream.send(_answer_frame(self.frame.call, answer, answer.body))
            return
        self.pass_reading_on()
        length = _body_length(answer.body)
        self._stream.open_body(self.frame.call)
        if self.cancelled:
            self._stream.stop_sending(self.frame.call)
        self._stream.send(_answer_frame(self.frame.call, answer, b"", length))
        self._stream.send_body(self.frame.call, _chunks(answer.body))
        if not isinstance(answer.body, bytes):
            # Frees the target's slot even when nothing was read of it.
            answer.body.close()


class _Reading:
    """The reading of one stream, which passes from thread to thread."""

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
        answer_ask: Callable[[Peer, str, bytes], bytes | None],
        clock: Clock,
        executor: Executor,
    ) -> None:
        self._session = session
        self._find_key = find_key
        self._serve_call = serve_call
        self._answer_ask = answer_ask
        self._clock = clock
        self._executor = executor
        self._streams: set[Stream] = set()
        self._socket = socket.create_server(address, backlog=_BACKLOG)
        self.address = self._socket.getsockname()[:2]

    def start(self) -> None:
        """Start accepting, in a task of its own."""
        self._executor.submit(self._accept)

    def close(self) -> None:
        """Stop accepting and close every stream."""
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._socket.close()
        for stream in list(self._streams):
            stream.close()

    def beat(self) -> None:
        """Close the streams whose other side has gone silent."""
        for stream in list(self._streams):
            stream.beat()

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
        tune_socket(sock)
        stream = Stream(sock, self._clock)
        self._streams.add(stream)
        self._read(_Reading(stream, accepted.ok))

    def _read(self, reading: _Reading) -> None:
        # The thread that reads a request serves it. Before it waits for the
        # target, another one takes over the reading.
        stream = reading.stream
        for frame in reading.frames:
            if isinstance(frame, RequestFrame):
                if self._serve(reading, frame):
                    return
            elif isinstance(frame, CancelFrame):
                # Cancelled first: `reply` opens its body before it looks.
                _cancel(reading.calls.pop(frame.call, None))
                stream.drop_body(frame.call)
            elif isinstance(frame, AskFrame):
                self._executor.submit(self._reply, stream, reading.peer, frame)
        self._streams.discard(stream)
        for call in list(reading.calls.values()):
            _cancel(call)

    def _serve(self, reading: _Reading, frame: RequestFrame) -> bool:
        """Serve a request; return whether another thread reads by now."""
        call = self._begin(reading, frame)
        if call is None:
            return False
        self._serve_call(reading.peer, call)
        return call.passed_on

    def _begin(self, reading: _Reading, frame: RequestFrame) -> IncomingCall | None:
        calls = reading.calls
        if frame.call in calls:
            return None
        body: bytes | Pipe = frame.body
        if frame.more:
            body = reading.stream.receive_body(frame.call, frame.body, frame.length)
        call = IncomingCall(
            frame,
            body,
            reading.stream,
            on_settled=lambda number: calls.pop(number, None),
            pass_on=lambda: self._executor.submit(self._read, reading),
        )
        calls[frame.call] = call
        return call

    def _reply(self, stream: Stream, peer: Peer, frame: AskFrame) -> None:
        payload = self._answer_ask(peer, frame.topic, frame.payload)
        stream.send(ReplyFrame(frame.call, payload is not None, payload or b""))


def _cancel(call: IncomingCall | None) -> None:
    if call is not None:
        call.cancel()


def _answer_frame(
    call: int, answer: Answer, body: bytes, length: int | None = None
) -> AnswerFrame:
    after = answer.retry_after
    return AnswerFrame(
        call=call,
        status=answer.status,
        headers=answer.headers,
        body=body,
        more=length is not None,
        length=-1 if length is None else length,
        outcome=int(answer.outcome),
        refusal=int(answer.refusal),
        unused=answer.report.unused,
        level=answer.report.level,
        own_level=answer.report.own_level,
        retried=answer.report.retried,
        retry_after_ms=int(after.total_seconds() * 1000) if after else 0,
    )


def _body_length(body: Body) -> int:
    if isinstance(body, bytes):
        return len(body)
    return -1 if body.length is None else body.length


def _chunks(body: Body) -> Iterator[bytes]:
    parts = (body,) if isinstance(body, bytes) else body
    for part in parts:
        for start in range(0, len(part), CHUNK_BYTES):
            yield part[start : start + CHUNK_BYTES]
