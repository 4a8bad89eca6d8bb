"""One connection of a caller, or of the local target for its outgoing calls.

A session reads a request, dispatches it and writes the response. Requests pipelined on
the connection are served by separate tasks; their responses are written in request
order.
"""

from __future__ import annotations

import socket
from collections import deque
from concurrent.futures import Future
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus
from typing import TYPE_CHECKING

from .call import CallResult
from .connection import (
    DONT_WAIT,
    INITIAL_RECEIVE_BYTES,
    RECEIVE_BYTES,
    discard_until_end,
    is_idle,
    send_to_caller,
    set_receive_timeout,
)
from .heads import find_remaining_time
from .message import Request, RequestError, RequestReader
from .model import CallerLimits
from .watch import Signal, WaitResult, Watch

if TYPE_CHECKING:
    from .caller_server import CallerServer

__all__ = ["CallerSession"]

# How long a task waits for the next request before it parks the connection.
# Callers that send requests back to back do so within this time.
_NEXT_REQUEST_TIMEOUT = timedelta(milliseconds=250)
_MAX_PIPELINED = 32  # concurrent requests of one connection
_PIPELINE_DESCRIPTORS = 2  # of the signals of one connection
_WRITE_TIMEOUT = timedelta(seconds=10)  # for callers that read slowly
# A smaller response has been sent by the time that `send` returns.
_UNSENT_BYTES = 16 * 1024
_CLOSE_TIMEOUT = timedelta(seconds=3)  # for the caller to close its side
_NO_MEMORY_RETRY = timedelta(seconds=1)
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(frozen=True)
class _PendingResult:
    """Result of a pipelined request that another task serves."""

    request: Request
    future: Future[CallResult]


@dataclass(frozen=True)
class _PipelineSignals:
    """Signals to and from the tasks that serve pipelined requests."""

    cancelled: Signal
    done: Signal


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
        self._reader = RequestReader(limits, caller_server.memory)
        self._watch = Watch(self._clock, sock.fileno(), self._read_ahead)
        self._pending: deque[_PendingResult] = deque()
        self._pipeline_signals: _PipelineSignals | None = None
        self._last_response_bytes = 0  # of the one after which the connection closes
        self._unanswered = 0  # requests that are being served
        self._error = ""

    def run(self) -> timedelta | None:
        """Serve requests until none arrives in time or the connection closes.

        Return the idle deadline, or None if the connection is to be closed.
        """
        resumed = True
        try:
            while True:
                if not self._reader.is_busy() and not self._receive_first():
                    return self._clock.monotonic() + self._reader.limits.idle_timeout
                # The caller may have disconnected while the session was queued.
                if resumed and not self._watch.is_caller_connected():
                    return None
                resumed = False
                if not self._serve_next():
                    return None
        except OSError as error:
            # The caller's connection failed; `close` cancels its calls.
            self._error = repr(error)
            return None

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

    def _serve_next(self) -> bool:
        request = self._next_request()
        if request is None:
            self._finish_sending()
            return False
        with self._caller_server.in_flight:
            self._unanswered += 1
            self._start_pipelined()
            result = self._caller_server.handle(request, self._watch)
            stays_open = self._write(result, request.keep_alive)
            stays_open = stays_open and self._write_pending()
            if not stays_open:
                self._finish_sending()
            return stays_open

    def expire(self) -> None:
        """Do nothing: the caller has sent no request in time."""

    def close(self) -> None:
        """Cancel pipelined calls that are still served; release reserved memory.

        Report the requests that stay without a response.
        """
        if self._unanswered:
            cause = "connection failed" if self._error else "caller gone"
            reporter = self._caller_server.reporter
            reporter.report_unanswered(self._unanswered, cause, self._error)
        if self._pipeline_signals is not None:
            self._pipeline_signals.cancelled.set()
            self._caller_server.descriptors.give_back(_PIPELINE_DESCRIPTORS)
        for pending in self._pending:
            if pending.future.cancel():
                pending.request.release()
        self._reader.release()

    def _next_request(self) -> Request | None:
        reader = self._reader
        if reader.complete_requests:
            # Whole at its first read, as most requests are.
            return reader.complete_requests.popleft()
        started = self._clock.monotonic()
        while not reader.complete_requests:
            if reader.error is not None:
                no_memory = reader.error is RequestError.NO_MEMORY
                retry_after = _NO_MEMORY_RETRY if no_memory else None
                reader.release()
                self._reject(reader.error.value, retry_after)
                return None
            if reader.expects_continue and reader.in_body:
                reader.expects_continue = False
                self._send(_CONTINUE)
            deadline, timeout_status = self._read_deadline(started)
            remaining = deadline - self._clock.monotonic()
            if remaining <= timedelta() or not self._watch.wait_readable(remaining):
                if timeout_status is not None:
                    self._reject(timeout_status)
                return None
            data = self.sock.recv(RECEIVE_BYTES, DONT_WAIT)
            if not data:
                return None
            reader.feed(data)
        return reader.complete_requests.popleft()

    def _read_deadline(self, started: timedelta) -> tuple[timedelta, HTTPStatus | None]:
        limits = self._reader.limits
        if self._reader.in_head:
            return started + limits.header_timeout, HTTPStatus.REQUEST_TIMEOUT
        if self._reader.in_body:
            headers = self._reader.partial_headers()
            name = self._caller_server.header_names.remaining_ms
            remaining = find_remaining_time(headers, name)
            if remaining is None:
                remaining = limits.idle_timeout
            return started + remaining, HTTPStatus.REQUEST_TIMEOUT
        return started + limits.idle_timeout, None

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
        self._reader.feed(data)
        self._start_pipelined()
        reader = self._reader
        waiting = reader.complete_requests or len(self._pending) >= _MAX_PIPELINED
        if waiting or reader.error:
            self._watch.pause_reading()
        return True

    def _start_pipelined(self) -> None:
        if not self._reader.complete_requests:
            return
        signals = self._pipeline_signals or self._open_signals()
        if signals is None:
            return
        done = signals.done
        while self._reader.complete_requests and len(self._pending) < _MAX_PIPELINED:
            request = self._reader.complete_requests.popleft()
            future = self._caller_server.executor.submit(
                self._serve_pipelined, request, signals.cancelled
            )
            # Set only once the future is done: `_write_pending` checks `done()` after
            # it wakes and would wait again otherwise.
            future.add_done_callback(lambda _: done.set())
            self._pending.append(_PendingResult(request, future))
            self._unanswered += 1

    def _open_signals(self) -> _PipelineSignals | None:
        """Return the signals; without descriptors, requests are served in turn."""
        descriptors = self._caller_server.descriptors
        if not descriptors.take(_PIPELINE_DESCRIPTORS):
            return None
        try:
            self._pipeline_signals = _PipelineSignals(Signal(), Signal())
        except OSError as error:
            descriptors.give_back(_PIPELINE_DESCRIPTORS)
            self._caller_server.reporter.report_no_descriptor(error)
        return self._pipeline_signals

    def _serve_pipelined(self, request: Request, cancelled: Signal) -> CallResult:
        watch = Watch(self._clock, cancelled.descriptor, lambda: False)
        return self._caller_server.handle(request, watch)

    def _write_pending(self) -> bool:
        """Write pipelined responses in request order; return whether to stay open."""
        signals = self._pipeline_signals
        while signals is not None and self._pending:
            pending = self._pending[0]
            if pending.future.cancel():
                # No task was free for it, and all of them may wait for such requests.
                result = self._caller_server.handle(pending.request, self._watch)
                self._pending.popleft()
                if not self._write(result, pending.request.keep_alive):
                    return False
                continue
            while not pending.future.done():
                until = self._clock.monotonic() + timedelta(seconds=60)
                wait_result = self._watch.wait(signals.done.descriptor, until)
                if wait_result is WaitResult.CALLER_GONE:
                    return False
                signals.done.clear()
            self._pending.popleft()
            if not self._write(pending.future.result(), pending.request.keep_alive):
                return False
        self._watch.resume_reading()
        return True

    def _write(self, result: CallResult, keep_alive: bool) -> bool:
        """Write a response; return whether the connection stays open."""
        if self._watch.caller_gone:
            return False
        # Closing would cut off the pipelined calls that are in progress.
        if not self._pending:
            keep_alive = keep_alive and not self._caller_server.draining
            keep_alive = keep_alive and self._reader.error is None
        head = result.head or _render_error_head(result)
        if not keep_alive:
            head += b"Connection: close\r\n"
        data = head + b"\r\n" + result.body
        self._send(data)
        self._unanswered -= 1
        self.served = True
        if not keep_alive:
            self._last_response_bytes = len(data)
        return keep_alive

    def _finish_sending(self) -> None:
        """Let the kernel deliver the last response, if closing could cut it off."""
        if not self._last_response_bytes or self._watch.caller_gone:
            return
        large = self._last_response_bytes > _UNSENT_BYTES
        if large or not is_idle(self.sock):
            until = self._clock.monotonic() + _CLOSE_TIMEOUT
            discard_until_end(self.sock, self._clock, until)

    def _reject(self, status: HTTPStatus, retry_after: timedelta | None = None) -> None:
        self._caller_server.metrics.record_rejected_request(status)
        result = CallResult(status, retry_after=retry_after)
        data = _render_error_head(result) + b"Connection: close\r\n\r\n"
        self._send(data)
        self._last_response_bytes = len(data)

    def _send(self, data: bytes) -> None:
        until = self._clock.monotonic() + _WRITE_TIMEOUT
        send_to_caller(self.sock, data, self._watch, until)


def _render_error_head(result: CallResult) -> bytes:
    status = HTTPStatus(result.status)
    head = f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Length: 0\r\n"
    if result.retry_after is not None:
        # Fractional seconds let callers resend as soon as there is capacity.
        seconds = result.retry_after.total_seconds()
        head += f"Retry-After: {seconds:.3f}\r\n"
    return head.encode()
