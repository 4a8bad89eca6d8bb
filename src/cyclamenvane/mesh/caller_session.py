"""One connection of a caller, or of the local target for its outgoing calls.

A session reads a request, dispatches it and writes the response. Requests pipelined on
the connection are served by separate tasks; their responses are written in request
order.
"""

from __future__ import annotations

import socket
from datetime import timedelta
from http import HTTPStatus
from typing import TYPE_CHECKING

from .call import CallResult
from .caller_pipeline import CallerPipeline
from .connection import (
    DONT_WAIT,
    INITIAL_RECEIVE_BYTES,
    RECEIVE_BYTES,
    UNREAD_BYTES,
    discard_available,
    discard_until_end,
    is_idle,
    send_to_caller,
    set_receive_timeout,
    shut_down,
)
from .heads import find_remaining_time, render_error_head
from .memory import LARGE_BYTES
from .message import Request, RequestError, RequestReader
from .model import CallerLimits
from .watch import Watch

if TYPE_CHECKING:
    from .caller_server import CallerServer
    from .memory import Reservation

__all__ = ["CallerSession"]

# How long a task waits for the next request before it parks the connection.
# Callers that send requests back to back do so within this time.
_NEXT_REQUEST_TIMEOUT = timedelta(milliseconds=250)
# How much time is left for a request that is waited for without a task.
_MIN_PARKED = timedelta(seconds=1)
_WRITE_TIMEOUT = timedelta(seconds=10)  # for callers that read nothing
_MIN_READ_BYTES_PER_S = 256 * 1024  # of large responses
# A smaller response has been sent by the time that `send` returns.
_UNSENT_BYTES = 16 * 1024
_CLOSE_TIMEOUT = timedelta(seconds=3)  # for the caller to close its side
_NO_MEMORY_RETRY = timedelta(seconds=1)
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerSession:
    """One connection of a caller."""

    def __init__(self, caller_server: CallerServer, sock: socket.socket) -> None:
        self._caller_server = caller_server
        self._clock = caller_server.clock
        self.sock = sock
        self.served = False
        set_receive_timeout(sock, _NEXT_REQUEST_TIMEOUT)
        current = caller_server.configuration.current()
        limits = current.limits if current else CallerLimits()
        self._reader = RequestReader(limits, caller_server.memory, self._evict_request)
        self._reading_since: timedelta | None = None  # of a request that is not whole
        self._last_read = timedelta()
        self._lingers_until: timedelta | None = None  # after the last response
        self._stalls = False  # the request that is being read
        self._watch = Watch(self._clock, sock.fileno(), self._read_ahead)
        self._pipeline = CallerPipeline(caller_server, self._watch)
        self._unread = caller_server.memory.open()  # held by the kernel
        self._discards = False
        self._refused = False  # a request whose rest may still arrive
        self._last_response_bytes = 0  # of the one after which the connection closes
        self._unanswered = 0  # requests that are being served
        self._error = ""

    def run(self) -> timedelta | None:
        """Serve requests until none arrives in time or the connection closes.

        Return until when to wait for data, or None if the connection is to be closed.
        """
        resumed = True
        try:
            if self._lingers_until is not None:
                return self._lingers_until if discard_available(self.sock) else None
            while True:
                while not self._reader.is_busy() and self._reader.error is None:
                    if not self._receive_first():
                        idle_timeout = self._reader.limits.idle_timeout
                        return self._clock.monotonic() + idle_timeout
                # The caller may have disconnected while the session was queued.
                if resumed and not self._is_connected():
                    return None
                resumed = False
                request = self._next_request()
                if request is None:
                    if self._stalls:
                        return self._read_deadline()[0]
                    return self._finish_sending()
                if not self._serve(request):
                    return self._finish_sending()
        except OSError as error:
            # The caller's connection failed; `close` cancels its calls.
            self._error = repr(error)
            return None

    def expire(self) -> None:
        """Refuse a request that has not arrived in time."""
        if not self._reader.is_partial() or self._lingers_until is not None:
            return
        try:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        except OSError as error:
            self._error = repr(error)

    def _is_connected(self) -> bool:
        # That of an evicted request looks like one that its caller has closed.
        return self._reader.is_evicted() or self._watch.is_caller_connected()

    def _receive_first(self) -> bool:
        """Wait for the first bytes of a request; return whether any arrived."""
        try:
            data = self.sock.recv(INITIAL_RECEIVE_BYTES)
        except BlockingIOError:
            return False
        if not data:
            raise ConnectionResetError("connection closed by the caller")
        self._reader.feed(data)
        return True

    def _serve(self, request: Request) -> bool:
        """Serve a request and those behind it; return whether to stay connected."""
        with self._caller_server.in_flight:
            self._unanswered += 1
            self._start_pipelined()
            result = self._caller_server.handle(request, self._watch)
            stays_open = self._write(result, request.keep_alive)
            stays_open = stays_open and self._write_pipelined()
            if not stays_open and self._caller_server.draining:
                # The process does not end while the request counts as in flight.
                self._finish_sending()
            return stays_open

    def close(self) -> None:
        """Cancel pipelined calls that are still served; release reserved memory.

        Report the requests that stay without a response.
        """
        if self._unanswered:
            cause = "connection failed" if self._error else "caller gone"
            reporter = self._caller_server.reporter
            reporter.report_unanswered(self._unanswered, cause, self._error)
        self._pipeline.close()
        self._reader.release()
        self._unread.close()

    def _next_request(self) -> Request | None:
        """Return the next request; None if it stalls, or if the connection is to close.

        A request that stalls is read on once the connection is readable again.
        """
        self._stalls = False
        reader = self._reader
        if reader.complete_requests:
            # Whole at its first read, as most requests are.
            return reader.complete_requests.popleft()
        if self._reading_since is None:
            self._reading_since = self._last_read = self._clock.monotonic()
        while not reader.complete_requests:
            if reader.error is not None or reader.is_evicted():
                self._reject_unread()
                return None
            if reader.expects_continue and reader.in_body:
                reader.expects_continue = False
                self._send(_CONTINUE)
            deadline, timeout_status = self._read_deadline()
            now = self._clock.monotonic()
            remaining = timeout = deadline - now
            self._stalls = remaining >= _MIN_PARKED
            if self._stalls:
                # One that arrives in many small pieces does not keep its task either.
                timeout = self._reading_since + _NEXT_REQUEST_TIMEOUT - now
                timeout = max(timeout, timedelta())
            if remaining <= timedelta() or not self._watch.wait_readable(timeout):
                if not self._stalls and timeout_status is not None:
                    self._reject(timeout_status)
                return None
            self._stalls = False
            data = self.sock.recv(RECEIVE_BYTES, DONT_WAIT)
            if data:
                self._last_read = self._clock.monotonic()
                reader.feed(data)
            elif not reader.is_evicted():
                return None
        self._reading_since = None
        return reader.complete_requests.popleft()

    def _reject_unread(self) -> None:
        """Refuse a request that is malformed, or that the node cannot hold."""
        error = self._reader.error or RequestError.NO_MEMORY
        no_memory = error is RequestError.NO_MEMORY
        self._reject(error.value, _NO_MEMORY_RETRY if no_memory else None)

    def _read_deadline(self) -> tuple[timedelta, HTTPStatus | None]:
        limits, started = self._reader.limits, self._reading_since or timedelta()
        if self._reader.in_head:
            return started + limits.header_timeout, HTTPStatus.REQUEST_TIMEOUT
        if self._reader.in_body:
            headers = self._reader.partial_headers()
            name = self._caller_server.header_names.remaining_ms
            until = self._last_read + limits.idle_timeout
            remaining = find_remaining_time(headers, name)
            if remaining is not None:
                until = min(until, started + remaining)
            return until, HTTPStatus.REQUEST_TIMEOUT
        return started + limits.idle_timeout, None

    def _evict_request(self) -> None:
        """Let the request that is being read end, from another task."""
        shut_down(self.sock, socket.SHUT_RD)

    def _read_ahead(self) -> bool:
        """Read pipelined requests during a call; return False on a disconnect."""
        if self._caller_server.draining:
            # They are resent elsewhere, as the connection closes before they are read.
            self._watch.pause_reading()
            return True
        try:
            data = self.sock.recv(RECEIVE_BYTES, DONT_WAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        if not data:
            return False
        if self._discards:
            return True
        reader = self._reader
        reader.reads_ahead = True
        reader.feed(data)
        reader.reads_ahead = False
        self._start_pipelined()
        if reader.complete_requests or self._pipeline.is_full() or reader.error:
            self._pause_reading()
        return True

    def _pause_reading(self) -> None:
        """Leave what the caller sends to the kernel, whose buffer counts as memory.

        Without memory for it, the connection closes after the responses to the requests
        that are served, and what follows them is discarded, as unread.
        """
        if self._unread.cover(UNREAD_BYTES, step=1):
            self._watch.pause_reading()
        else:
            self._discards = True

    def _start_pipelined(self) -> None:
        self._unanswered += self._pipeline.start(self._reader.complete_requests)

    def _write_pipelined(self) -> bool:
        """Write pipelined responses in request order; return whether to stay open."""
        while self._pipeline.count():
            taken = self._pipeline.take()
            if taken is None:
                return False
            request, result = taken
            if not self._write(result, request.keep_alive):
                return False
        self._unread.close()
        self._watch.resume_reading()
        return True

    def _write(self, result: CallResult, keep_alive: bool) -> bool:
        """Write a response; return whether the connection stays open."""
        try:
            return self._write_result(result, keep_alive)
        finally:
            result.release()

    def _write_result(self, result: CallResult, keep_alive: bool) -> bool:
        if self._watch.caller_gone:
            return False
        # Closing would cut off the pipelined calls that are in progress.
        if not self._pipeline.count():
            keep_alive = keep_alive and not self._caller_server.draining
            keep_alive = keep_alive and self._reader.error is None
            keep_alive = keep_alive and not self._discards
        head = result.head or render_error_head(result.status, result.retry_after)
        if not keep_alive:
            head += b"Connection: close\r\n"
        head += b"\r\n"
        if result.reservation is not None:
            result.reservation.expose(lambda: shut_down(self.sock))
        if len(result.body) < LARGE_BYTES:
            self._send(head + result.body)
        else:
            self._send(head)
            self._send(result.body, result.reservation)
        self._unanswered -= 1
        self.served = True
        if not keep_alive:
            self._last_response_bytes = len(head) + len(result.body)
        return keep_alive

    def _finish_sending(self) -> timedelta | None:
        """Let the kernel deliver the last response, if closing could cut it off.

        Return until when to wait for the caller to close its side, without a task; None
        if there is nothing to wait for.
        """
        if not self._last_response_bytes or self._watch.caller_gone:
            return None
        large = self._last_response_bytes > _UNSENT_BYTES
        if not large and not self._refused and is_idle(self.sock):
            return None
        self._last_response_bytes = 0
        if self._caller_server.draining:
            until = self._clock.monotonic() + _CLOSE_TIMEOUT
            discard_until_end(self.sock, self._clock, until)
            return None
        self._reader.release()
        self.sock.shutdown(socket.SHUT_WR)
        self._lingers_until = self._clock.monotonic() + _CLOSE_TIMEOUT
        return self._lingers_until if discard_available(self.sock) else None

    def _reject(self, status: HTTPStatus, retry_after: timedelta | None = None) -> None:
        self._refused = True
        held = self._reader.held_bytes
        self._reader.release()
        self._caller_server.reporter.report_refused_request(status, held)
        data = render_error_head(status, retry_after) + b"Connection: close\r\n\r\n"
        self._send(data)
        self._last_response_bytes = len(data)

    def _send(self, data: bytes, reservation: Reservation | None = None) -> None:
        slowest = timedelta(seconds=len(data) / _MIN_READ_BYTES_PER_S)
        until = self._clock.monotonic() + _WRITE_TIMEOUT + slowest
        send_to_caller(self.sock, data, self._watch, until, _WRITE_TIMEOUT, reservation)
