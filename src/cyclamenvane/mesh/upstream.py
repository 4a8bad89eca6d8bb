"""Connection pool to the local target, and request/response exchanges on it.

A connection carries one request at a time. It is reused only if the response ended
at its declared length and no further data followed. The response to a request is the
one with its attempt header, whatever else arrives before it. So a connection does not
carry an attempt again that was rejected on it, and a request without an attempt header
has a connection of its own.
"""

from __future__ import annotations

import socket
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING

from .connection import (
    DONT_WAIT,
    RECEIVE_BYTES,
    has_data,
    is_idle,
    open_connection,
    send_rest,
)
from .heads import (
    HeaderNames,
    Headers,
    find_header,
    is_rejection,
    parse_keep_alive,
)
from .memory import LARGE_BYTES, MemoryBudget, Reservation
from .response import ResponseReader
from .watch import WaitResult, Watch

if TYPE_CHECKING:
    from ..clock import Clock
    from .model import Address

__all__ = ["MAX_OVERHEAD_BYTES", "ExchangeOutcome", "ExchangeResult", "Upstream"]

# Of heads, interim responses and late responses to earlier requests, per exchange.
MAX_OVERHEAD_BYTES = 1024 * 1024

# The target is on the same VM, so an open port accepts immediately.
_CONNECT_TIMEOUT = timedelta(milliseconds=250)
# Targets close idle connections after a timeout they seldom advertise. A request
# sent while the target closes the connection may have been executed.
_MAX_IDLE = timedelta(seconds=3)
# Idle time up to which a connection may be reused without a check: much shorter
# than any idle timeout.
_UNCHECKED_IDLE = timedelta(milliseconds=200)
_KEEP_ALIVE_FRACTION = 0.5  # of the advertised idle timeout
# A connection with more of them is closed, as it cannot remember them all.
_MAX_REJECTED_ATTEMPTS = 64


class ExchangeOutcome(Enum):
    """How an exchange with the target ended."""

    ANSWERED = "answered"
    NOT_SENT = "not sent"
    BROKEN = "broken"
    TIMED_OUT = "timed out"
    CALLER_GONE = "caller gone"


@dataclass(init=False)
class ExchangeResult:
    """Result of an exchange, with the response if one was received.

    A large response holds memory until its reservation is closed.
    """

    outcome: ExchangeOutcome
    status: int
    headers: Headers
    body: bytes
    detail: str
    reservation: Reservation | None

    def __init__(
        self,
        outcome: ExchangeOutcome,
        status: int = 0,
        headers: Headers = (),
        body: bytes = b"",
        detail: str = "",
        reservation: Reservation | None = None,
    ) -> None:
        self.reservation = reservation
        self.outcome = outcome
        self.status = status
        self.headers = headers
        self.body = body
        self.detail = detail


class _Connection:
    """A connection to the target; `since` and `until` bound the time it is idle.

    `rejected` has the hashes of the attempts that were rejected on it.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.since = timedelta()
        self.until = timedelta()
        self.rejected: set[int] = set()


class Upstream:
    """Connection pool to the target."""

    def __init__(
        self,
        address: Address,
        header_names: HeaderNames,
        max_body_bytes: int,
        memory: MemoryBudget,
        clock: Clock,
    ) -> None:
        self._memory = memory
        self._address = address
        self._max_body_bytes = max_body_bytes
        self._header_names = header_names
        self._clock = clock
        self._idle: deque[_Connection] = deque()
        self._lock = threading.Lock()
        self.opened = 0

    def exchange(
        self,
        head: bytes,
        body: bytes,
        attempt: bytes | None,
        idempotent: bool,
        watch: Watch,
        until: timedelta,
    ) -> ExchangeResult:
        """Send one request and read its response.

        `until` is in monotonic time. Connection errors are reported in the result.
        """
        connection = None
        if attempt is not None:
            connection = self._take_idle(attempt, check=not idempotent)
        if connection is None:
            try:
                connection = _Connection(
                    open_connection(self._address, _CONNECT_TIMEOUT)
                )
            except OSError as error:
                return ExchangeResult(
                    ExchangeOutcome.NOT_SENT, detail=f"connect: {error}"
                )
            self.opened += 1
        sock = connection.sock
        method = head[: head.find(b" ")]
        reader = ResponseReader(
            method,
            self._make_matcher(attempt),
            MAX_OVERHEAD_BYTES,
            self._max_body_bytes,
        )
        reservation = self._memory.open()
        keep = held = False
        try:
            result, sent_whole = self._transfer(
                sock, _split(head, body), reader, reservation, watch, until
            )
            if result.outcome is ExchangeOutcome.ANSWERED:
                held = reservation.held > 0
                result.reservation = reservation if held else None
                keep = sent_whole and reader.keep_alive and attempt is not None
                if is_rejection(result.status, result.headers, self._header_names):
                    connection.rejected.add(hash(attempt))
                    keep = keep and len(connection.rejected) <= _MAX_REJECTED_ATTEMPTS
            return result
        except OSError as error:
            return ExchangeResult(ExchangeOutcome.BROKEN, detail=str(error))
        finally:
            # Breaks the reference cycle, so the reader and the body are freed at once.
            reader.release()
            if not held:
                reservation.close()
            if keep:
                self._store_idle(connection, reader.headers)
            else:
                sock.close()

    def accepts_connections(self) -> bool:
        """Return whether the target accepts connections, by opening one for later."""
        try:
            sock = open_connection(self._address, _CONNECT_TIMEOUT)
        except ConnectionRefusedError:
            return False
        except OSError:
            return True  # too slow, which does not show that it has ended
        self.opened += 1
        self._store_idle(_Connection(sock), [])
        return True

    def set_address(self, address: Address) -> None:
        """Use another target address; close idle connections to the old one."""
        if address != self._address:
            self._address = address
            self.close_idle()

    def close_idle(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle, self._idle = self._idle, deque()
        for connection in idle:
            connection.sock.close()

    def _transfer(
        self,
        sock: socket.socket,
        pieces: tuple[bytes, ...],
        reader: ResponseReader,
        reservation: Reservation,
        watch: Watch,
        until: timedelta,
    ) -> tuple[ExchangeResult, bool]:
        """Send a request and read its response; return whether all was sent.

        Sending goes on until the response is whole: what arrives before it may belong
        to another request. Once it has begun, reading goes first, since an end that is
        seen after a failure to send is no clean one.
        """
        number, sent, refused = 0, 0, False
        while not reader.complete:
            sending = number < len(pieces) and not refused
            if sending and not (reader.begun and has_data(sock)):
                try:
                    sent += send_rest(sock, pieces[number], sent)
                    if sent == len(pieces[number]):
                        number, sent = number + 1, 0
                    continue
                except BlockingIOError:
                    # The socket can take more once the target has read.
                    pass
                except OSError:
                    # The target reads no more, but may have responded before.
                    sending, refused = False, True
            wait_result = watch.wait(sock.fileno(), until, write=sending)
            if wait_result is not WaitResult.READY:
                return _interrupted_exchange(wait_result), False
            if not sending or has_data(sock):
                problem = self._receive(sock, reader, reservation, not refused)
                if problem:
                    return ExchangeResult(ExchangeOutcome.BROKEN, detail=problem), False
        result = ExchangeResult(
            ExchangeOutcome.ANSWERED, reader.status, tuple(reader.headers), reader.body
        )
        return result, number == len(pieces)

    def _receive(
        self,
        sock: socket.socket,
        reader: ResponseReader,
        reservation: Reservation,
        sound: bool,
    ) -> str:
        """Read what has arrived of a response; return why it is broken, if it is.

        `sound` is whether sending has not failed, so that an end is a clean one.
        """
        data = sock.recv(RECEIVE_BYTES, DONT_WAIT)
        if data:
            reader.feed(data)
        else:
            if sound:
                reader.feed_eof()
            if not reader.complete:
                return "ended early"
        if reader.malformed:
            return "not a response"
        if not reservation.cover(reader.held_bytes):
            return f"messages hold {self._memory.reserved()} bytes"
        return ""

    def _make_matcher(
        self, attempt: bytes | None
    ) -> Callable[[int, list[tuple[bytes, bytes]]], bool]:
        def matches_request(status: int, headers: list[tuple[bytes, bytes]]) -> bool:
            return find_header(headers, self._header_names.attempt) == attempt

        return matches_request

    def _take_idle(self, attempt: bytes | None, check: bool) -> _Connection | None:
        while True:
            idle = self._pop_idle(hash(attempt))
            if idle is None:
                return None
            now = self._clock.monotonic()
            if now < idle.until:
                # No check needed: a stray response is detected by its attempt header,
                # and an idempotent call can be retried if the target closes meanwhile.
                if not check and now - idle.since < _UNCHECKED_IDLE:
                    return idle
                if is_idle(idle.sock):
                    return idle
            idle.sock.close()

    def _pop_idle(self, attempt_hash: int) -> _Connection | None:
        """Return the last idle connection on which the attempt was not rejected."""
        with self._lock:
            for index in range(len(self._idle) - 1, -1, -1):
                idle = self._idle[index]
                if attempt_hash not in idle.rejected:
                    del self._idle[index]
                    return idle
        return None

    def _store_idle(
        self, idle: _Connection, headers: list[tuple[bytes, bytes]]
    ) -> None:
        max_idle = _MAX_IDLE
        keep_alive = find_header(headers, b"keep-alive")
        if keep_alive is not None:
            timeout = parse_keep_alive(keep_alive)
            if timeout:
                max_idle = timeout * _KEEP_ALIVE_FRACTION
        now = self._clock.monotonic()
        idle.since, idle.until = now, now + max_idle
        expired = []
        with self._lock:
            while self._idle and self._idle[0].until < now:
                expired.append(self._idle.popleft())
            self._idle.append(idle)
        for connection in expired:
            connection.sock.close()


def _split(head: bytes, body: bytes) -> tuple[bytes, ...]:
    """Return what to send, without a copy of a large body."""
    return (head, body) if len(body) >= LARGE_BYTES else (head + body,)


def _interrupted_exchange(wait_result: WaitResult) -> ExchangeResult:
    if wait_result is WaitResult.CALLER_GONE:
        return ExchangeResult(ExchangeOutcome.CALLER_GONE)
    return ExchangeResult(ExchangeOutcome.TIMED_OUT)
