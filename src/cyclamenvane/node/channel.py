"""HTTP connections of callers: large bodies as they arrive, and short hops.

waitress takes a whole body before the application is called, and puts large
ones into a temporary file. The VMs have no disk, so a body above a small size is
handed to the application as a bounded pipe instead: the application runs as soon
as the headers are there, and the connection is read no faster than the pipe
empties. A body without a length is held whole, and refused above a small size.

A thread that has answered a request waits a moment for the next one on the same
connection before it gives the connection back to its loop. On a busy connection
this saves the way from the loop to a thread and back for each request. While a
thread has a connection, it looks by itself whether the caller has gone.
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

__all__ = ["UPLOAD_KEY", "LingerBudget", "PoolDispatcher", "UploadServer"]

UPLOAD_KEY = "cyclamenvane.upload"
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_MOST_CHUNKED_BYTES = 4 * CHUNK_BYTES
_STALL = timedelta(seconds=10)
_LINGER = timedelta(milliseconds=200)
_MILLISECOND = timedelta(milliseconds=1)
_HELD = threading.local()


class _Parser(HTTPRequestParser):
    """Ends a request at its headers when its body is to be a pipe."""

    upload: Pipe | None = None
    awaits_continue = False

    def __init__(self, adj: Any, on_upload: Callable[[Pipe], None]) -> None:
        super().__init__(adj)
        self._on_upload = on_upload

    def received(self, data: bytes) -> int:
        """Take in bytes; return how many were used."""
        used = super().received(data)
        large = self.content_length > CHUNK_BYTES and not self.chunked
        if self.headers_finished and not self.completed and large:
            self.upload = Pipe(self.content_length)
            self.awaits_continue = self.expect_continue
            self.expect_continue = False
            self.completed = True
            self._on_upload(self.upload)
        elif self.chunked and self.body_bytes_received > _MOST_CHUNKED_BYTES:
            text = f"a body without a length may have {_MOST_CHUNKED_BYTES} bytes"
            self.error = RequestEntityTooLarge(text)
            self.completed = True
        return used


class _UploadBody:
    """Stands in for a parser while the body of an upload arrives."""

    empty = True
    expect_continue = False
    headers_finished = True

    def __init__(self, pipe: Pipe, on_end: Callable[[], None]) -> None:
        assert pipe.length is not None, "an upload has a length"
        self.completed = False
        self._pipe = pipe
        self._on_end = on_end
        self._missing = pipe.length

    def received(self, data: bytes) -> int:
        """Take in bytes of the body; return how many were used."""
        part = data[: self._missing]
        self._missing -= len(part)
        if not self._pipe.failed:
            # The channel reads no further while the pipe is full, so one read
            # always fits.
            self._pipe.offer(bytes(part))
        if not self._missing:
            self._pipe.end()
            self.completed = True
            self._on_end()
        return len(part)


class _Task(WSGITask):
    def get_environment(self) -> dict[str, Any]:
        """Return the WSGI environment, with the pipe of an upload."""
        environ = super().get_environment()
        upload = getattr(self.request, "upload", None)
        if upload is not None:
            self.channel.prepare_upload(upload, self.request.awaits_continue)
            environ[UPLOAD_KEY] = upload
        return environ


class LingerBudget:
    """Bounds the threads that wait for the next request of their connection."""

    def __init__(self, most: int) -> None:
        self._places = threading.BoundedSemaphore(most)

    def enter(self) -> bool:
        """Take a place; return False when all are taken."""
        return self._places.acquire(blocking=False)

    def leave(self) -> None:
        """Give a place back."""
        self._places.release()


class _Channel(HTTPChannel):
    task_class = _Task

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self._upload: Pipe | None = None
        self._upload_began = False
        self.lingers = False
        super().__init__(*args, **kwargs)
        self.parser_class = self._next_parser

    def received(self, data: bytes) -> bool:
        """Take in bytes; a request that is whole gets a thread.

        The loop's thread decides here that the connection goes over to the
        thread of the request, so the two never read it at the same time.
        """
        budget: LingerBudget = self.server.linger
        goes_over = not (self.lingers or self.requests) and budget.enter()
        self.lingers = self.lingers or goes_over
        taken = super().received(data)
        if goes_over and (self._upload is not None or not self.requests):
            self.lingers = False
            budget.leave()
        if self.requests and goes_over:
            self.server.dispatch(self)
        return taken

    def service(self) -> None:
        """Serve a request, and those that follow it soon."""
        mine = self._serve_on() if self.lingers else True
        if mine and self.connected:
            super().service()

    def check_client_disconnected(self) -> bool:
        """Whether the caller has closed the connection."""
        if not self.connected:
            return True
        return self.lingers and bool(_poll(self.socket, select.POLLRDHUP, 0))

    def readable(self) -> bool:
        """Whether the loop may read more: not while the pipe of an upload is full."""
        if self.lingers:
            return False
        upload = self._upload
        if upload is not None and upload.held >= upload.capacity:
            return False
        return super().readable()

    def handle_close(self) -> None:
        """Close the connection; an upload under way is not whole."""
        if self._upload is not None:
            self._upload.fail("the caller went away")
        super().handle_close()

    def prepare_upload(self, pipe: Pipe, awaits_continue: bool) -> None:
        """Connect the reading of a pipe to the reading of the connection."""
        wake = self.server.pull_trigger
        if awaits_continue:
            pipe.connect(self._send_continue, wake)
        else:
            pipe.connect(wake, wake)

    def is_quiet(self) -> bool:
        """Whether the loop has nothing to do for this connection."""
        return not (
            self.total_outbufs_len or self.will_close or self.close_when_flushed
        )

    def _serve_on(self) -> bool:
        """Serve while requests come; return whether one is left to this thread."""
        _HELD.channel = self
        try:
            while self._await_request():
                super().service()
        finally:
            _HELD.channel = None
            with self.requests_lock:
                # From here on the loop gives a thread to the next request; one
                # that is here already stays with this thread.
                self.lingers = False
                mine = bool(self.requests)
            self.server.linger.leave()
            self.server.pull_trigger()
        return mine

    def _await_request(self) -> bool:
        while self.connected:
            if self._upload is not None or not self.is_quiet():
                return False
            if self.requests:
                return True
            if not _poll(self.socket, select.POLLIN, _LINGER):
                return False
            if not self._holds_data():
                return False
            self.handle_read()
        return False

    def _holds_data(self) -> bool:
        # Only the loop closes connections: a descriptor that is closed here may
        # be given to a new connection while the loop still handles the old one.
        try:
            return bool(self.socket.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def _next_parser(self, adj: Any) -> _Parser | _UploadBody:
        # What follows the headers of an upload is its body, even when the
        # request has been answered already.
        if self._upload is not None and not self._upload_began:
            self._upload_began = True
            return _UploadBody(self._upload, self._end_upload)
        return _Parser(adj, self._begin_upload)

    def _begin_upload(self, pipe: Pipe) -> None:
        self._upload = pipe
        self._upload_began = False

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
    """Runs the requests of waitress connections on a pool of threads."""

    def __init__(self, executor: Executor) -> None:
        self._executor = executor

    def add_task(self, channel: _Channel) -> None:
        """Serve a connection's request, unless a thread has the connection."""
        if not channel.lingers:
            self.dispatch(channel)

    def dispatch(self, channel: _Channel) -> None:
        """Serve a connection's request."""
        self._executor.submit(channel.service)

    def shutdown(self, cancel_pending: bool = True, timeout: int = 5) -> bool:
        """Leave the pool to its owner."""
        return True


class UploadServer(TcpWSGIServer):
    """A waitress server whose connections are those of this module."""

    channel_class = _Channel

    def __init__(self, *args: Any, linger: LingerBudget, **kwargs: Any) -> None:
        self.linger = linger
        self._trigger_lock = threading.Lock()
        self._ended = False
        super().__init__(*args, **kwargs)

    def maintenance(self, now: float) -> None:
        """Close connections that are idle, or whose caller has stopped reading."""
        super().maintenance(now)
        oldest = now - _STALL.total_seconds()
        for channel in list(self.active_channels.values()):
            if channel.total_outbufs_len and channel.last_activity < oldest:
                channel.will_close = True

    def dispatch(self, channel: _Channel) -> None:
        """Give a connection over to a thread."""
        self.task_dispatcher.dispatch(channel)

    def pull_trigger(self) -> None:
        """Wake the loop, unless the thread that asks holds a quiet connection."""
        held: _Channel | None = getattr(_HELD, "channel", None)
        if held is not None and held.is_quiet():
            return
        with self._trigger_lock:
            # The trigger is a bare descriptor: once closed, its number may
            # belong to another connection.
            if not self._ended:
                super().pull_trigger()

    def end(self) -> None:
        """Close every connection and the trigger; the loop must have ended."""
        with self._trigger_lock:
            self._ended = True
            self.asyncore.close_all(self._map, True)


def _poll(sock: Any, events: int, wait: timedelta | int) -> list[tuple[int, int]]:
    poll = select.poll()
    try:
        poll.register(sock, events)
    except (OSError, ValueError):
        return [(-1, select.POLLNVAL)]
    milliseconds = wait / _MILLISECOND if isinstance(wait, timedelta) else wait
    return poll.poll(milliseconds)
