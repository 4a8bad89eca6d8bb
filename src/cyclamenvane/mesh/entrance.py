"""The connections of callers, and of the target's own calls.

One task serves a connection: it reads a request, finds its outcome and writes
the answer. Requests that arrive meanwhile on the same connection are served by
tasks of their own, and answered in order.
"""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from concurrent.futures import Executor, Future
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus
from typing import TYPE_CHECKING

from .activity import Activity
from .connection import FIRST_BYTES, RECEIVE_BYTES, limit_receive, send_all
from .dispatch import Call, Reply
from .heads import HeaderNames, find_header, render_request_head
from .message import Request, RequestReader
from .model import CallerLimits
from .watch import Signal, Waited, Watch

if TYPE_CHECKING:
    from ..clock import Clock
    from .configuration import CurrentConfiguration
    from .memory import BodyMemory
    from .metric import Metrics
    from .model import Route
    from .rank import Rank, Run

__all__ = ["Entrance", "EntranceSession"]

# Callers that send one request after another do so within this; a task is not
# kept for longer.
_LINGER = timedelta(milliseconds=250)
_MOST_AHEAD = 32  # requests of one connection that are served at once
_WRITE_TIMEOUT = timedelta(seconds=10)  # for a caller that reads slowly
_NO_CONFIGURATION_RETRY = timedelta(seconds=1)
_NO_MEMORY_RETRY = timedelta(seconds=1)
_MILLISECOND = timedelta(milliseconds=1)
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(frozen=True)
class _Pending:
    """A request that another task serves."""

    reply: Future[Reply]
    keep_alive: bool


@dataclass(frozen=True)
class _Ahead:
    """Tells the tasks that serve pipelined requests, and hears of their ends."""

    cancelled: Signal
    done: Signal


class Entrance:
    """Serves the connections of one listener."""

    def __init__(
        self,
        dispatch: Callable[[Call, Watch], Reply],
        configuration: CurrentConfiguration,
        names: HeaderNames,
        service: Callable[[], str],
        rank: Callable[[bytes | None, Route], tuple[Rank, Run | None]],
        executor: Executor,
        memory: BodyMemory,
        clock: Clock,
        metrics: Metrics,
        on_done: Callable[[Call | None, Request, Reply, timedelta], None],
    ) -> None:
        self.dispatch = dispatch
        self.configuration = configuration
        self.names = names
        self.service = service
        self.rank = rank
        self.executor = executor
        self.memory = memory
        self.clock = clock
        self.metrics = metrics
        self.on_done = on_done
        self.closing = False
        self.activity = Activity()

    def open_session(self, sock: socket.socket) -> EntranceSession:
        """Return the session of a connection that a caller has opened."""
        return EntranceSession(self, sock)

    def handle(self, request: Request, watch: Watch) -> Reply:
        """Return the outcome of one request."""
        arrived = self.clock.monotonic()
        call = self._make_call(request, arrived)
        if isinstance(call, Call):
            reply = self.dispatch(call, watch)
            self.on_done(call, request, reply, arrived)
        else:
            reply = call
            self.on_done(None, request, reply, arrived)
        return reply

    def _make_call(self, request: Request, arrived: timedelta) -> Call | Reply:
        current = self.configuration.current()
        if current is None:
            return Reply(
                HTTPStatus.SERVICE_UNAVAILABLE,
                retry_after=_NO_CONFIGURATION_RETRY,
                detail="no configuration is known yet",
            )
        host = find_header(request.headers, b"host") or b""
        route = current.find_route(host, request.path)
        if route is None:
            return Reply(HTTPStatus.NOT_FOUND, detail="no route matches")
        attempt = find_header(request.headers, self.names.attempt)
        rank, parent = self.rank(attempt, route)
        return Call(
            attempt,
            route,
            render_request_head(request, self.names, self.service().encode()),
            request.body,
            rank,
            parent,
            arrived,
            arrived + min(route.timeout, self._read_remaining(request, route)),
        )

    def _read_remaining(self, request: Request, route: Route) -> timedelta:
        text = find_header(request.headers, self.names.remaining_ms)
        if text is None or not text.strip().isdigit():
            return route.timeout
        return int(text) * _MILLISECOND


class EntranceSession:
    """One connection of a caller."""

    def __init__(self, entrance: Entrance, sock: socket.socket) -> None:
        self._entrance = entrance
        self._clock = entrance.clock
        self.sock = sock
        limit_receive(sock, _LINGER)
        current = entrance.configuration.current()
        limits = current.limits if current else CallerLimits()
        self._reader = RequestReader(limits)
        self._watch = Watch(self._clock, sock.fileno(), self._read_ahead)
        self._pending: deque[_Pending] = deque()
        self._ahead: _Ahead | None = None
        self._held = 0

    def run(self) -> timedelta | None:
        """Serve requests while they come."""
        resumed = True
        try:
            while True:
                if not self._reader.is_busy() and not self._read_first():
                    return self._clock.monotonic() + self._reader.limits.idle_timeout
                # The request may have waited for a task until its caller left.
                if resumed and not self._watch.check_caller():
                    return None
                resumed = False
                if not self._serve_next():
                    return None
        except OSError:
            # The caller's connection broke; `close` cancels its calls.
            return None

    def _read_first(self) -> bool:
        """Wait for the first bytes of a request; return whether there are any."""
        try:
            data = self.sock.recv(FIRST_BYTES)
        except BlockingIOError:
            return False
        if not data:
            raise ConnectionResetError("the caller has closed the connection")
        self._reader.feed(data)
        return True

    def _serve_next(self) -> bool:
        request = self._next_request()
        if request is None:
            return False
        with self._entrance.activity:
            self._start_ahead()
            reply = self._entrance.handle(request, self._watch)
            return self._write(reply, request.keep_alive) and self._finish_pending()

    def close(self) -> None:
        """Cancel the calls that other tasks still serve."""
        if self._ahead is not None:
            self._ahead.cancelled.set()
        for pending in self._pending:
            pending.reply.cancel()
        self._entrance.memory.release(self._held)
        self._reader.release()

    def _next_request(self) -> Request | None:
        reader = self._reader
        began = self._clock.monotonic()
        while not reader.ready:
            if reader.problem is not None:
                self._refuse(reader.problem.value)
                return None
            if reader.expects_continue and reader.in_body:
                reader.expects_continue = False
                self._send(_CONTINUE)
            until, late = self._read_bound(began)
            left = until - self._clock.monotonic()
            if left <= timedelta() or not self._watch.wait_caller(left):
                if late is not None:
                    self._refuse(late)
                return None
            data = self.sock.recv(RECEIVE_BYTES, socket.MSG_DONTWAIT)
            if not data:
                return None
            reader.feed(data)
            if not self._hold_memory():
                self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, _NO_MEMORY_RETRY)
                return None
        self._release_memory()
        return reader.ready.popleft()

    def _read_bound(self, began: timedelta) -> tuple[timedelta, HTTPStatus | None]:
        limits = self._reader.limits
        if self._reader.in_head:
            return began + limits.header_timeout, HTTPStatus.REQUEST_TIMEOUT
        if self._reader.in_body:
            headers = self._reader.headers_so_far()
            text = find_header(headers, self._entrance.names.remaining_ms)
            if text is not None and text.isdigit():
                return began + int(text) * _MILLISECOND, HTTPStatus.REQUEST_TIMEOUT
            return began + limits.idle_timeout, HTTPStatus.REQUEST_TIMEOUT
        return began + limits.idle_timeout, None

    def _hold_memory(self) -> bool:
        grown = self._reader.buffered - self._held
        if grown > 0:
            if not self._entrance.memory.take(grown):
                return False
            self._held += grown
        return True

    def _release_memory(self) -> None:
        # The body belongs to the call now; what is held is bound by its time.
        self._entrance.memory.release(self._held)
        self._held = self._reader.buffered = 0

    def _read_ahead(self) -> bool:
        """Read what the caller sends while one of its requests is served."""
        try:
            data = self.sock.recv(RECEIVE_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        if not data:
            return False
        self._reader.feed(data)
        self._start_ahead()
        if self._reader.problem or len(self._pending) >= _MOST_AHEAD:
            self._watch.pause_caller()
        return True

    def _start_ahead(self) -> None:
        if not self._reader.ready:
            return
        ahead = self._ahead
        if ahead is None:
            ahead = self._ahead = _Ahead(Signal(), Signal())
        done = ahead.done
        while self._reader.ready:
            request = self._reader.ready.popleft()
            future = self._entrance.executor.submit(
                self._serve_ahead, request, ahead.cancelled
            )
            # Set only once the future is done, or its waiter would miss it.
            future.add_done_callback(lambda _: done.set())
            self._pending.append(_Pending(future, request.keep_alive))
        self._reader.buffered = 0

    def _serve_ahead(self, request: Request, cancelled: Signal) -> Reply:
        watch = Watch(self._clock, cancelled.descriptor, lambda: False)
        return self._entrance.handle(request, watch)

    def _finish_pending(self) -> bool:
        """Write the answers of requests served by other tasks, in order."""
        ahead = self._ahead
        while ahead is not None and self._pending:
            pending = self._pending[0]
            while not pending.reply.done():
                until = self._clock.monotonic() + timedelta(seconds=60)
                waited = self._watch.wait(ahead.done.descriptor, until)
                if waited is Waited.CALLER_GONE:
                    return False
                ahead.done.clear()
            self._pending.popleft()
            if not self._write(pending.reply.result(), pending.keep_alive):
                return False
        self._watch.resume_caller()
        return True

    def _write(self, reply: Reply, keep_alive: bool) -> bool:
        """Write an answer; return whether the connection goes on."""
        if self._watch.gone:
            return False
        keep_alive = keep_alive and not self._entrance.closing
        keep_alive = keep_alive and self._reader.problem is None
        head = reply.head or _render_own_head(reply)
        if not keep_alive:
            head += b"Connection: close\r\n"
        self._send(head + b"\r\n" + reply.body)
        return keep_alive

    def _refuse(self, status: HTTPStatus, retry_after: timedelta | None = None) -> None:
        self._entrance.metrics.note_unread(status)
        reply = Reply(status, retry_after=retry_after)
        self._send(_render_own_head(reply) + b"Connection: close\r\n\r\n")

    def _send(self, data: bytes) -> None:
        until = self._clock.monotonic() + _WRITE_TIMEOUT
        send_all(self.sock, data, self._watch, until)


def _render_own_head(reply: Reply) -> bytes:
    status = HTTPStatus(reply.status)
    head = f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Length: 0\r\n"
    if reply.retry_after is not None:
        # Fractions let callers return as soon as there is room.
        seconds = reply.retry_after.total_seconds()
        head += f"Retry-After: {seconds:.3f}\r\n"
    return head.encode()
