"""Connections from a node to the target on its VM, and one exchange on them."""

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
    Answer,
    BodyFailed,
    ChunkedBody,
    Headers,
    Outcome,
    Pipe,
    Refusal,
    Request,
    refuse_call,
    report_unknown,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..calls import CallScope
    from ..clock import Clock

__all__ = ["ConnectionPool", "exchange"]

_IDLE_REPEATABLE = timedelta(seconds=10)
_IDLE_ONCE = timedelta(seconds=1)
_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_BODYLESS_STATUS = frozenset({204, 304})


class _Connection(http.client.HTTPConnection):
    def connect(self) -> None:
        """Connect, sending small writes at once."""
        super().connect()
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class ConnectionPool:
    """Idle connections to one target.

    A connection that has data to read or has been idle for long may be dead.
    A request that may not be repeated is given only one that was used a moment
    ago, or a new one.
    """

    def __init__(self, address: tuple[str, int], clock: Clock) -> None:
        self._address = address
        self._clock = clock
        self._idle: list[tuple[_Connection, timedelta]] = []
        self._lock = threading.Lock()

    def take(self, repeatable: bool, timeout: timedelta) -> _Connection:
        """Return a connection; raises OSError when none can be opened."""
        now = self._clock.monotonic()
        longest = _IDLE_REPEATABLE if repeatable else _IDLE_ONCE
        while True:
            with self._lock:
                if not self._idle:
                    break
                connection, since = self._idle.pop()
            if now - since <= longest and _is_quiet(connection):
                connection.sock.settimeout(timeout.total_seconds())
                return connection
            connection.close()
        fresh = _Connection(*self._address, timeout=timeout.total_seconds())
        fresh.connect()
        return fresh

    def give_back(self, connection: _Connection) -> None:
        """Keep a connection whose exchange ended in good order."""
        with self._lock:
            self._idle.append((connection, self._clock.monotonic()))

    def close(self) -> None:
        """Close the idle connections."""
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
) -> Answer:
    """Return the target's answer to a request.

    `on_end` is called once the answer has been read to its end with its status,
    or with 0 when it was not whole. `before_wait` is called before this thread
    waits for the target or for the rest of the body. A large answer is read only
    as its body is.
    """
    try:
        connection = pool.take(request.repeatable, remaining)
    except OSError as error:
        on_end(0)
        return refuse_call(Refusal.TARGET_FAILED, f"it cannot be reached: {error}")
    forget = scope.on_cancel(lambda: _break(connection))
    ended = _Ending(pool, connection, forget, on_end)
    try:
        if isinstance(request.body, Pipe):
            before_wait()
        _send(connection, request, headers)
        before_wait()
        response = connection.getresponse()
        body = _read_body(response, request.method, ended)
    except BodyFailed:
        ended(0)
        return report_unknown(Refusal.CANCELLED, "the body ended early")
    except (OSError, http.client.HTTPException, ValueError) as error:
        ended(0)
        return _explain(error, scope)
    if body is None:
        ended(0)
        return report_unknown(Refusal.TARGET_FAILED, "the answer has no length")
    return Answer(response.status, _end_headers(response), body, Outcome.DONE)


class _Ending:
    def __init__(
        self,
        pool: ConnectionPool,
        connection: _Connection,
        forget: Callable[[], None],
        on_end: Callable[[int], None],
    ) -> None:
        self._pool = pool
        self._connection = connection
        self._forget = forget
        self._on_end = on_end
        self._done = False

    def __call__(self, status: int, keep: bool = False) -> None:
        if self._done:
            return
        self._done = True
        self._forget()
        if status and keep:
            self._pool.give_back(self._connection)
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
        if name.lower() not in _HOP_HEADERS and name.lower() != "content-length":
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
    response: http.client.HTTPResponse, method: str, ended: _Ending
) -> bytes | ChunkedBody | None:
    keep = not response.will_close
    bodyless = method == "HEAD" or response.status in _BODYLESS_STATUS
    if bodyless or (response.length is not None and response.length <= CHUNK_BYTES):
        data = response.read()
        ended(response.status, keep)
        return data
    if response.length is None and not response.chunked:
        return None
    length = response.length
    first = _read_up_to(response, CHUNK_BYTES)
    if len(first) < CHUNK_BYTES:
        ended(response.status, keep)
        return first
    chunks = _read_rest(response, first, ended, keep)
    return ChunkedBody(length, chunks, lambda: ended(0))


def _read_rest(
    response: http.client.HTTPResponse, first: bytes, ended: _Ending, keep: bool
) -> Iterator[bytes]:
    chunk = first
    try:
        while chunk:
            yield chunk
            chunk = _read_up_to(response, CHUNK_BYTES)
    except (OSError, http.client.HTTPException, ValueError) as error:
        raise BodyFailed(str(error)) from error
    ended(response.status, keep)


def _read_up_to(response: http.client.HTTPResponse, count: int) -> bytes:
    expected = response.length
    parts: list[bytes] = []
    missing = count
    while missing:
        part = response.read(missing)
        if not part:
            break
        parts.append(part)
        missing -= len(part)
    data = b"".join(parts)
    if expected is not None and len(data) < min(count, expected):
        raise http.client.IncompleteRead(data)
    return data


def _end_headers(response: http.client.HTTPResponse) -> Headers:
    return tuple(
        (name, value)
        for name, value in response.getheaders()
        if name.lower() not in _HOP_HEADERS and name.lower() != "content-length"
    )


def _explain(error: Exception, scope: CallScope) -> Answer:
    if scope.cancelled:
        return report_unknown(Refusal.CANCELLED)
    if isinstance(error, TimeoutError):
        return report_unknown(Refusal.DEADLINE)
    return report_unknown(Refusal.TARGET_FAILED, type(error).__name__)


def _is_quiet(connection: _Connection) -> bool:
    if connection.sock is None:
        return False
    poll = select.poll()
    poll.register(connection.sock, select.POLLIN | select.POLLHUP | select.POLLERR)
    return not poll.poll(0)


def _break(connection: _Connection) -> None:
    sock = connection.sock
    if sock is None:
        return
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
