"""Connections from a node to its local targets, and HTTP exchanges on them."""

from __future__ import annotations

import http.client
import select
import socket
import threading
from collections.abc import Iterator
from datetime import timedelta
from typing import TYPE_CHECKING

from ..calls import (
    CHUNK_BYTES,
    ChunkedBody,
    Headers,
    IncompleteBody,
    Outcome,
    Pipe,
    Refusal,
    Request,
    Response,
    make_refusal,
    make_unknown_response,
)
from ..http_client import HTTPConnection, HTTPResponse
from .http import HOP_BY_HOP_HEADERS

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..calls import CallScope
    from ..clock import Clock

__all__ = ["ConnectionPool", "exchange"]

_MAX_IDLE_IDEMPOTENT = timedelta(seconds=10)
_MAX_IDLE_NON_IDEMPOTENT = timedelta(seconds=1)
_BODYLESS_STATUS = frozenset({204, 304})
# A second copy of a refusal would count as the response to the next request.
_REFUSAL_STATUS = frozenset({421, 429, 503})


class _Connection(HTTPConnection):
    def connect(self) -> None:
        """Connect, with TCP_NODELAY set."""
        super().connect()
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class ConnectionPool:
    """A pool of idle connections to one target.

    A connection that has data to read or has been idle for long may be dead.
    A request that must not be repeated therefore gets a connection that was used
    very recently, or a new one.
    """

    def __init__(self, address: tuple[str, int], clock: Clock) -> None:
        self._address = address
        self._clock = clock
        self._idle: list[tuple[_Connection, timedelta]] = []
        self._lock = threading.Lock()

    def acquire(self, idempotent: bool, timeout: timedelta) -> _Connection:
        """Return an idle or new connection; raise OSError when connecting fails."""
        now = self._clock.monotonic()
        max_idle = _MAX_IDLE_IDEMPOTENT if idempotent else _MAX_IDLE_NON_IDEMPOTENT
        while True:
            with self._lock:
                if not self._idle:
                    break
                connection, idle_since = self._idle.pop()
            if now - idle_since <= max_idle and _is_usable(connection):
                connection.sock.settimeout(timeout.total_seconds())
                return connection
            connection.close()
        new = _Connection(*self._address, timeout=timeout.total_seconds())
        new.connect()
        return new

    def release(self, connection: _Connection) -> None:
        """Return a connection to the pool after a complete exchange."""
        with self._lock:
            self._idle.append((connection, self._clock.monotonic()))

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection, _ in idle:
            connection.close()


def exchange(
    pool: ConnectionPool,
    request: Request,
    headers: Headers,
    scope: CallScope,
    remaining: timedelta,
    on_end: Callable[[int], None],
    before_wait: Callable[[], None],
) -> Response:
    """Send a request to the target and return its response.

    `on_end` is called with the status when the response has been read completely,
    or with 0 when it is incomplete. `before_wait` is called before this thread
    waits for the target or for the rest of the request body. The body of a large
    response is read from the target as the caller consumes it.
    """
    try:
        connection = pool.acquire(request.idempotent, remaining)
    except OSError as error:
        on_end(0)
        return make_refusal(Refusal.TARGET_FAILED, f"it cannot be reached: {error}")
    unregister = scope.on_cancel(lambda: _shut_down(connection))
    finish = _ExchangeEnd(pool, connection, unregister, on_end)
    try:
        if isinstance(request.body, Pipe):
            before_wait()
        _send(connection, request, headers)
        before_wait()
        response = connection.getresponse()
        body = _read_body(response, request.method, finish)
    except IncompleteBody:
        finish(0)
        return make_unknown_response(Refusal.CANCELLED, "the body ended early")
    except (OSError, http.client.HTTPException, ValueError) as error:
        finish(0)
        return _report_failure(error, scope)
    if body is None:
        finish(0)
        return make_unknown_response(Refusal.TARGET_FAILED, "the answer has no length")
    return Response(response.status, _end_to_end_headers(response), body, Outcome.DONE)


class _ExchangeEnd:
    def __init__(
        self,
        pool: ConnectionPool,
        connection: _Connection,
        unregister: Callable[[], None],
        on_end: Callable[[int], None],
    ) -> None:
        self._pool = pool
        self._connection = connection
        self._unregister = unregister
        self._on_end = on_end
        self._done = False

    def __call__(self, status: int, reusable: bool = False) -> None:
        if self._done:
            return
        self._done = True
        self._unregister()
        if status and reusable and status not in _REFUSAL_STATUS:
            self._pool.release(self._connection)
        else:
            self._connection.close()
        self._on_end(status)


def _send(connection: _Connection, request: Request, headers: Headers) -> None:
    body = request.body
    connection.putrequest(
        request.method, request.path, skip_host=True, skip_accept_encoding=True
    )
    connection.putheader("Host", f"{connection.host}:{connection.port}")
    for name, value in headers:
        if name.lower() not in HOP_BY_HOP_HEADERS and name.lower() != "content-length":
            connection.putheader(name, value)
    if not isinstance(body, Pipe):
        if body or request.method in ("POST", "PUT", "PATCH"):
            connection.putheader("Content-Length", str(len(body)))
        connection.endheaders(body or None)
    elif body.length is not None:
        connection.putheader("Content-Length", str(body.length))
        connection.endheaders()
        for chunk in body:
            connection.send(chunk)
    else:
        connection.putheader("Transfer-Encoding", "chunked")
        connection.endheaders(iter(body), encode_chunked=True)


def _read_body(
    response: HTTPResponse, method: str, finish: _ExchangeEnd
) -> bytes | ChunkedBody | None:
    reusable = not response.will_close
    bodyless = method == "HEAD" or response.status in _BODYLESS_STATUS
    if bodyless or (response.length is not None and response.length <= CHUNK_BYTES):
        data = response.read()
        finish(response.status, reusable)
        return data
    if response.length is None and not response.chunked:
        return None
    length = response.length
    first = _read_up_to(response, CHUNK_BYTES)
    if len(first) < CHUNK_BYTES:
        finish(response.status, reusable)
        return first
    chunks = _read_rest(response, first, finish, reusable)
    return ChunkedBody(length, chunks, lambda: finish(0))


def _read_rest(
    response: HTTPResponse,
    first: bytes,
    finish: _ExchangeEnd,
    reusable: bool,
) -> Iterator[bytes]:
    chunk = first
    try:
        while chunk:
            yield chunk
            chunk = _read_up_to(response, CHUNK_BYTES)
    except (OSError, http.client.HTTPException, ValueError) as error:
        raise IncompleteBody(str(error)) from error
    finish(response.status, reusable)


def _read_up_to(response: HTTPResponse, count: int) -> bytes:
    parts: list[bytes] = []
    missing = count
    while missing:
        part = response.read(missing)
        if not part:
            break
        parts.append(part)
        missing -= len(part)
    return b"".join(parts)


def _end_to_end_headers(response: HTTPResponse) -> Headers:
    return tuple(
        (name, value)
        for name, value in response.getheaders()
        if name.lower() not in HOP_BY_HOP_HEADERS and name.lower() != "content-length"
    )


def _report_failure(error: Exception, scope: CallScope) -> Response:
    if scope.cancelled:
        return make_unknown_response(Refusal.CANCELLED)
    if isinstance(error, TimeoutError):
        return make_unknown_response(Refusal.DEADLINE)
    return make_unknown_response(Refusal.TARGET_FAILED, type(error).__name__)


def _is_usable(connection: _Connection) -> bool:
    if connection.sock is None:
        return False
    poll = select.poll()
    poll.register(connection.sock, select.POLLIN | select.POLLHUP | select.POLLERR)
    return not poll.poll(0)


def _shut_down(connection: _Connection) -> None:
    sock = connection.sock
    if sock is None:
        return
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
