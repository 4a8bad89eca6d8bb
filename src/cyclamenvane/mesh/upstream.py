"""The connections to the target beside the node, and one exchange on them.

A connection carries one request at a time. It is kept for the next one only
when the answer ended where its length said and nothing followed.
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

from .connection import RECEIVE_BYTES, is_quiet, open_connection, send_all
from .heads import HeaderNames, Headers, find_header
from .message import AnswerReader
from .watch import Waited, Watch

if TYPE_CHECKING:
    from ..clock import Clock
    from .model import Address

__all__ = ["Exchange", "ExchangeEnd", "Upstream"]

# The target is on the same VM: an open port answers at once.
_CONNECT_TIMEOUT = timedelta(milliseconds=250)
# Targets close idle connections after a time they seldom tell; a request that
# crosses the close may have run.
_LONGEST_IDLE = timedelta(seconds=3)
_SURE_FOR = timedelta(milliseconds=200)  # much shorter than any idle timeout
_IDLE_SHARE = 0.5  # of the idle time that a target tells


class ExchangeEnd(Enum):
    """How an exchange with the target ended."""

    ANSWERED = "answered"
    NOT_SENT = "not sent"
    BROKEN = "broken"
    TIMED_OUT = "timed out"
    CALLER_GONE = "caller gone"


@dataclass(frozen=True)
class Exchange:
    """An exchange's end, and the answer if there is one."""

    end: ExchangeEnd
    status: int = 0
    headers: Headers = ()
    body: bytes = b""
    detail: str = ""


@dataclass(frozen=True)
class _Idle:
    sock: socket.socket
    since: timedelta
    until: timedelta


class Upstream:
    """The target's connections."""

    def __init__(self, address: Address, names: HeaderNames, clock: Clock) -> None:
        self._address = address
        self._names = names
        self._clock = clock
        self._idle: deque[_Idle] = deque()
        self._lock = threading.Lock()
        self.opened = 0

    def exchange(
        self,
        head: bytes,
        body: bytes,
        attempt: bytes | None,
        repeatable: bool,
        watch: Watch,
        until: timedelta,
    ) -> Exchange:
        """Send one request and read its answer."""
        sock = self._take_idle(check=not repeatable)
        if sock is None:
            try:
                sock = open_connection(self._address, _CONNECT_TIMEOUT)
            except OSError as error:
                return Exchange(ExchangeEnd.NOT_SENT, detail=f"connect: {error}")
            self.opened += 1
        method = head[: head.find(b" ")]
        reader = AnswerReader(method, self._awaits(attempt))
        keep = False
        try:
            waited, sent = send_all(sock, head + body, watch, until)
            if waited is not Waited.READY:
                return _end_early(waited)
            ended = self._read(sock, reader, watch, until)
            if ended.end is ExchangeEnd.ANSWERED:
                whole = sent == len(head) + len(body)
                keep = whole and reader.keep_alive
            return ended
        except OSError as error:
            return Exchange(ExchangeEnd.BROKEN, detail=str(error))
        finally:
            # Without a cycle the reader and the body go at once.
            reader.release()
            if keep:
                self._keep(sock, reader.headers)
            else:
                sock.close()

    def move(self, address: Address) -> None:
        """Reach the target at another address from now on."""
        if address != self._address:
            self._address = address
            self.close_idle()

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        with self._lock:
            idle, self._idle = self._idle, deque()
        for each in idle:
            each.sock.close()

    def _read(
        self,
        sock: socket.socket,
        reader: AnswerReader,
        watch: Watch,
        until: timedelta,
    ) -> Exchange:
        while not reader.complete:
            waited = watch.wait(sock.fileno(), until)
            if waited is not Waited.READY:
                return _end_early(waited)
            data = sock.recv(RECEIVE_BYTES, socket.MSG_DONTWAIT)
            if data:
                reader.feed(data)
            else:
                reader.end()
                if not reader.complete:
                    return Exchange(ExchangeEnd.BROKEN, detail="ended early")
            if reader.malformed:
                return Exchange(ExchangeEnd.BROKEN, detail="not HTTP")
        return Exchange(
            ExchangeEnd.ANSWERED, reader.status, tuple(reader.headers), reader.body
        )

    def _awaits(
        self, attempt: bytes | None
    ) -> Callable[[int, list[tuple[bytes, bytes]]], bool]:
        def is_awaited(status: int, headers: list[tuple[bytes, bytes]]) -> bool:
            echoed = find_header(headers, self._names.attempt)
            # A target that refuses early does not always name the attempt.
            return echoed == attempt or (echoed is None and status >= 400)

        return is_awaited

    def _take_idle(self, check: bool) -> socket.socket | None:
        while True:
            with self._lock:
                if not self._idle:
                    return None
                idle = self._idle.pop()
            now = self._clock.monotonic()
            if now < idle.until:
                # A stray answer is told by its attempt, and a call that may be
                # repeated can meet a close that crosses it.
                if not check and now - idle.since < _SURE_FOR:
                    return idle.sock
                if is_quiet(idle.sock):
                    return idle.sock
            idle.sock.close()

    def _keep(self, sock: socket.socket, headers: list[tuple[bytes, bytes]]) -> None:
        longest = _LONGEST_IDLE
        told = find_header(headers, b"keep-alive")
        if told is not None:
            longest = _read_idle_time(told) or longest
        now = self._clock.monotonic()
        idle = _Idle(sock, now, now + longest)
        expired = []
        with self._lock:
            while self._idle and self._idle[0].until < now:
                expired.append(self._idle.popleft())
            self._idle.append(idle)
        for each in expired:
            each.sock.close()


def _read_idle_time(value: bytes) -> timedelta | None:
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return timedelta(seconds=int(number)) * _IDLE_SHARE
    return None


def _end_early(waited: Waited) -> Exchange:
    if waited is Waited.CALLER_GONE:
        return Exchange(ExchangeEnd.CALLER_GONE)
    return Exchange(ExchangeEnd.TIMED_OUT)
