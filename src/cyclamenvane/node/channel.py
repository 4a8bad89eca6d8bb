"""HTTP connections of callers, with streamed uploads and keep-alive threads.

waitress reads a complete body before it calls the application, and writes large
bodies to a temporary file. The VMs have no disk, so a body above a small size is
passed to the application as a bounded pipe instead: the application is called
once the headers are read, and the connection is read no faster than the pipe is
drained. A body without a length is buffered, and rejected above a small size.

A thread that has answered a request waits briefly for the next request on the
same connection before it returns the connection to its loop. On a busy
connection this saves switching from the loop to a thread and back for each
request. A thread that holds a connection detects by itself that the caller has
disconnected.
"""

from __future__ import annotations

import select
import socket
import threading
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser
from waitress.server import TcpWSGIServer
from waitress.task import WSGITask
from waitress.utilities import RequestEntityTooLarge

from ..calls import CHUNK_BYTES, Pipe

if TYPE_CHECKING:
    from concurrent.futures import Executor

__all__ = ["UPLOAD_KEY", "KeepAliveSlots", "PoolDispatcher", "UploadServer"]

UPLOAD_KEY = "cyclamenvane.upload"
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_MAX_CHUNKED_BYTES = 4 * CHUNK_BYTES
_STALL_TIMEOUT = timedelta(seconds=10)
_KEEP_ALIVE_WAIT = timedelta(milliseconds=200)
_MILLISECOND = timedelta(milliseconds=1)
_THREAD_LOCAL = threading.local()


class _Parser(HTTPRequestParser):
    """Completes a request after its headers when its body is streamed by a pipe."""

    upload: Pipe | None = None
    awaits_continue = False

    def __init__(self, adj: Any, on_upload: Callable[[Pipe], None]) -> None:
        super().__init__(adj)
        self._on_upload = on_upload

    def received(self, data: bytes) -> int:
        """Parse bytes; return the number of bytes consumed."""
        used = super().received(data)
        large = self.content_length > CHUNK_BYTES and not self.chunked
        if self.headers_finished and not self.completed and large:
            self.upload = Pipe(self.content_length)
            self.awaits_continue = self.expect_continue
            self.expect_continue = False
            self.completed = True
            self._on_upload(self.upload)
        elif self.chunked and self.body_bytes_received > _MAX_CHUNKED_BYTES:
            text = f"a body without a length may have {_MAX_CHUNKED_BYTES} bytes"
            self.error = RequestEntityTooLarge(text)
            self.completed = True
        return used


class _UploadBodyParser:
    """Replaces the parser while the body of an upload is received."""

    empty = True
    expect_continue = False
    headers_finished = True

    def __init__(self, pipe: Pipe, on_end: Callable[[], None]) -> None:
        assert pipe.length is not None, "upload without a length"
        self.completed = False
        self._pipe = pipe
        self._on_end = on_end
        self._remaining = pipe.length

    def received(self, data: bytes) -> int:
        """Write bytes of the body to the pipe; return the number of bytes consumed."""
        part = data[: self._remaining]
        self._remaining -= len(part)
        if not self._pipe.failed:
            # The channel does not read while the pipe is full, so the bytes of
            # one read always fit.
            self._pipe.try_write(bytes(part))
        if not self._remaining:
            self._pipe.end()
            self.completed = True
            self._on_end()
        return len(part)


class _Task(WSGITask):
    def get_environment(self) -> dict[str, Any]:
        """Return the WSGI environment, including the pipe of an upload."""
        environ = super().get_environment()
        upload = getattr(self.request, "upload", None)
        if upload is not None:
            self.channel.prepare_upload(upload, self.request.awaits_continue)
            environ[UPLOAD_KEY] = upload
        return environ


class KeepAliveSlots:
    """Limits the threads that wait for the next request on their connection."""

    def __init__(self, count: int) -> None:
        self._slots = threading.BoundedSemaphore(count)

    def acquire(self) -> bool:
        """Acquire a slot without waiting; return False when none is free."""
        return self._slots.acquire(blocking=False)

    def release(self) -> None:
        """Release a slot."""
        self._slots.release()


class _Channel(HTTPChannel):
    task_class = _Task

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self._upload: Pipe | None = None
        self._upload_started = False
        self.held_by_thread = False
        super().__init__(*args, **kwargs)
        self.parser_class = self._next_parser

    def received(self, data: bytes) -> bool:
        """Parse bytes, and dispatch a complete request to a thread.

        The loop's thread decides here whether to hand the connection over to
        the request's thread, so the two never read it at the same time.
        """
        slots: KeepAliveSlots = self.server.keep_alive_slots
        hand_over = not (self.held_by_thread or self.requests) and slots.acquire()
        self.held_by_thread = self.held_by_thread or hand_over
        accepted = super().received(data)
        if hand_over and (self._upload is not None or not self.requests):
            self.held_by_thread = False
            slots.release()
        if self.requests and hand_over:
            self.server.dispatch(self)
        return accepted

    def service(self) -> None:
        """Serve a request and those that follow it within the keep-alive wait."""
        has_request = self._serve_while_held() if self.held_by_thread else True
        if has_request and self.connected:
            super().service()

    def check_client_disconnected(self) -> bool:
        """Return whether the caller has closed the connection."""
        if not self.connected:
            return True
        return self.held_by_thread and bool(_poll(self.socket, select.POLLRDHUP, 0))

    def readable(self) -> bool:
        """Return whether the loop may read; False while the upload pipe is full."""
        if self.held_by_thread:
            return False
        upload = self._upload
        if upload is not None and upload.buffered_bytes >= upload.capacity:
            return False
        return super().readable()

    def handle_close(self) -> None:
        """Close the connection, failing an incomplete upload."""
        if self._upload is not None:
            self._upload.fail("the caller went away")
        super().handle_close()

    def prepare_upload(self, pipe: Pipe, awaits_continue: bool) -> None:
        """Wake the loop when the pipe is read, so that it reads the connection."""
        wake = self.server.pull_trigger
        if awaits_continue:
            pipe.set_callbacks(self._send_continue, wake)
        else:
            pipe.set_callbacks(wake, wake)

    def is_idle(self) -> bool:
        """Return whether the loop has nothing to send or close on this connection."""
        return not (
            self.total_outbufs_len or self.will_close or self.close_when_flushed
        )

    def _serve_while_held(self) -> bool:
        """Serve requests as they arrive; return whether one is left for this thread."""
        _THREAD_LOCAL.channel = self
        try:
            while self._await_request():
                super().service()
        finally:
            _THREAD_LOCAL.channel = None
            with self.requests_lock:
                # From here on the loop dispatches new requests; one that has
                # been received already is left for this thread.
                self.held_by_thread = False
                has_request = bool(self.requests)
            self.server.keep_alive_slots.release()
            self.server.pull_trigger()
        return has_request

    def _await_request(self) -> bool:
        while self.connected:
            if self._upload is not None or not self.is_idle():
                return False
            if self.requests:
                return True
            if not _poll(self.socket, select.POLLIN, _KEEP_ALIVE_WAIT):
                return False
            if not self._has_data():
                return False
            self.handle_read()
        return False

    def _has_data(self) -> bool:
        # Only the loop closes connections: a descriptor closed here could be
        # reused by a new connection while the loop still handles the old one.
        try:
            return bool(self.socket.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def _next_parser(self, adj: Any) -> _Parser | _UploadBodyParser:
        # The bytes after the headers of an upload are its body, even when the
        # request has been answered already.
        if self._upload is not None and not self._upload_started:
            self._upload_started = True
            return _UploadBodyParser(self._upload, self._end_upload)
        return _Parser(adj, self._begin_upload)

    def _begin_upload(self, pipe: Pipe) -> None:
        self._upload = pipe
        self._upload_started = False

    def _end_upload(self) -> None:
        self._upload = None

    def _send_continue(self) -> None:
        with self.outbuf_lock:
            self.outbufs[-1].append(_CONTINUE)
            self.current_outbuf_count += len(_CONTINUE)
            self.total_outbufs_len += len(_CONTINUE)
            self._flush_some()
        self.server.pull_trigger()


class PoolDispatcher:
    """Runs the requests of waitress connections on a thread pool."""

    def __init__(self, executor: Executor) -> None:
        self._executor = executor

    def add_task(self, channel: _Channel) -> None:
        """Serve a connection's request, unless a thread holds the connection."""
        if not channel.held_by_thread:
            self.dispatch(channel)

    def dispatch(self, channel: _Channel) -> None:
        """Serve a connection's request in a thread of the pool."""
        self._executor.submit(channel.service)

    def shutdown(self, cancel_pending: bool = True, timeout: int = 5) -> bool:
        """Do nothing: the owner of the pool shuts it down."""
        return True


class UploadServer(TcpWSGIServer):
    """A waitress server with the connections of this module."""

    channel_class = _Channel

    def __init__(
        self, *args: Any, keep_alive_slots: KeepAliveSlots, **kwargs: Any
    ) -> None:
        self.keep_alive_slots = keep_alive_slots
        self._trigger_lock = threading.Lock()
        self._ended = False
        super().__init__(*args, **kwargs)

    def maintenance(self, now: float) -> None:
        """Close idle connections and those whose caller has stopped reading."""
        super().maintenance(now)
        cutoff = now - _STALL_TIMEOUT.total_seconds()
        for channel in list(self.active_channels.values()):
            if channel.total_outbufs_len and channel.last_activity < cutoff:
                channel.will_close = True

    def dispatch(self, channel: _Channel) -> None:
        """Hand a connection over to a thread."""
        self.task_dispatcher.dispatch(channel)

    def pull_trigger(self) -> None:
        """Wake the loop, unless the calling thread holds an idle connection."""
        held: _Channel | None = getattr(_THREAD_LOCAL, "channel", None)
        if held is not None and held.is_idle():
            return
        with self._trigger_lock:
            # The trigger is a bare descriptor: after it is closed, its number may
            # belong to another connection.
            if not self._ended:
                super().pull_trigger()

    def end(self) -> None:
        """Close every connection and the trigger, after the loop has ended."""
        with self._trigger_lock:
            self._ended = True
            self.asyncore.close_all(self._map, True)


def _poll(sock: Any, events: int, timeout: timedelta | int) -> list[tuple[int, int]]:
    poll = select.poll()
    try:
        poll.register(sock, events)
    except (OSError, ValueError):
        return [(-1, select.POLLNVAL)]
    milliseconds = timeout / _MILLISECOND if isinstance(timeout, timedelta) else timeout
    return poll.poll(milliseconds)
