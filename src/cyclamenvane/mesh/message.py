"""Incremental reader for HTTP requests, based on `httptools`."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from typing import Any

import httptools

from .body_buffer import BodyBuffer
from .heads import FIELD_OVERHEAD_BYTES, Headers, find_header, resolve_target
from .memory import MemoryBudget, Reservation
from .model import CallerLimits

__all__ = ["Request", "RequestError", "RequestReader"]

_REQUEST_OVERHEAD_BYTES = 2048  # of the objects of a request and its task
_SMALL_BYTES = 16 * 1024
_MIN_FIELD_FRAMING_BYTES = 3  # the colon and the line end
_LINE_FRAMING_BYTES = len(b"  HTTP/1.1\r\n\r\n")  # of the request line, and the last
# Chunks of one byte take five bytes more each.
_FRAMING_PER_BODY_BYTE = 16
_FRAMING_MARGIN_BYTES = 64 * 1024  # what is read at once
_CHUNK_FRAMING_BYTES = 32  # from the last body byte to the first trailer


class RequestError(Enum):
    """Reason why received data is not a valid request, with the response status."""

    MALFORMED = HTTPStatus.BAD_REQUEST
    HEAD_TOO_LARGE = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    BODY_TOO_LARGE = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    NO_MEMORY = HTTPStatus.SERVICE_UNAVAILABLE


@dataclass(init=False)
class Request:
    """A complete request; header names are in lower case.

    It holds memory for a large body until it is released.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    reservation: Reservation | None

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        keep_alive: bool,
        reservation: Reservation | None = None,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.keep_alive = keep_alive
        self.reservation = reservation

    def release(self) -> None:
        """Drop the body and release its memory, once the call has ended."""
        if self.reservation is not None:
            self.body = b""
            self.reservation.close()

    @property
    def path(self) -> bytes:
        """The request target without its query."""
        return self.target.partition(b"?")[0]


class RequestReader:
    """Parses the requests of one connection.

    What it holds takes its memory from `memory`, if it is given. `evict` is called to
    end a request that is not whole and makes no progress, if memory runs short.
    """

    def __init__(
        self,
        limits: CallerLimits,
        memory: MemoryBudget | None = None,
        evict: Callable[[], None] | None = None,
    ) -> None:
        self.limits = limits
        self._memory = memory
        self._evict = evict
        self._reservation: Reservation | None = None
        self.complete_requests: deque[Request] = deque()
        self.error: RequestError | None = None
        self.in_head = False
        self.in_body = False
        self.expects_continue = False
        # Set while others are served: what is read then is not limited by the tasks.
        self.reads_ahead = False
        self._messages = 0  # begun
        self._parser: Any = httptools.HttpRequestParser(self)
        self._reset()

    def _reset(self) -> None:
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = BodyBuffer()
        self._head_bytes = 0  # of the parsed part
        self._received_head_bytes = 0
        self._framing_bytes = 0
        self._trailer_bytes = 0
        self._body_bytes = 0

    def feed(self, data: bytes) -> RequestError | None:
        """Parse received data; append the requests in it to `complete_requests`."""
        was_idle, messages = not self.is_partial(), self._messages
        body_bytes = self._body_bytes
        if self.error is None and not self._parse(data):
            self._set_malformed()
        if not self._has_failed() and self.is_partial():
            begun = self._messages - messages
            if begun == 0:
                self._count_partial(len(data), self._body_bytes - body_bytes)
            elif begun == 1 and was_idle and self.in_head:
                self._count_partial(len(data.lstrip(b"\r\n")), 0)
            # Else the data begins with the end of another request.
            if not self._has_failed():
                if not self._cover(self.held_bytes, self._evict):
                    self.error = RequestError.NO_MEMORY
                elif self._reservation is not None:
                    # Eviction would end the calls of the connection, too.
                    self._reservation.pinned = self.reads_ahead
        return self.error

    def _has_failed(self) -> bool:
        # The compiler keeps what a comparison says of an attribute over calls that
        # change it.
        return self.error is not None

    def _count_partial(self, size: int, body_size: int) -> None:
        """Count data of a request that is not whole, some of it of its body."""
        if self.in_head:
            self._received_head_bytes += size
            if self._received_head_bytes > self.limits.header_bytes:
                self.error = RequestError.HEAD_TOO_LARGE
            return
        framing_bytes = size - body_size
        self._framing_bytes += framing_bytes
        # The parser holds a chunk head or a trailer until it is whole.
        self._trailer_bytes = 0 if body_size else self._trailer_bytes + framing_bytes
        allowed = _FRAMING_MARGIN_BYTES + self._body_bytes * _FRAMING_PER_BODY_BYTE
        if (
            self._trailer_bytes > self.limits.header_bytes + _CHUNK_FRAMING_BYTES
            or self._framing_bytes > self.limits.header_bytes + allowed
        ):
            self.error = RequestError.HEAD_TOO_LARGE

    def _parse(self, data: bytes) -> bool:
        try:
            self._parser.feed_data(data)
            return True
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return False

    def _set_malformed(self) -> None:
        # A callback that aborted parsing has set a more specific error.
        if self.error is None:
            self.error = RequestError.MALFORMED

    @property
    def held_bytes(self) -> int:
        """About the memory that the request takes that is being read, in bytes."""
        head = max(self._head_bytes, self._received_head_bytes)
        head += len(self._headers) * FIELD_OVERHEAD_BYTES
        return head + self._trailer_bytes + self._body_bytes

    def on_message_begin(self) -> None:
        """Called by the parser at the first byte of a request."""
        self._reset()
        self._messages += 1
        self.in_head = True

    def on_url(self, url: bytes) -> None:
        """Called by the parser with the request target, or a part of it."""
        self._url += url
        self._count_parsed(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser for each header, and for each trailer."""
        if not self.in_head:
            return
        self._count_parsed(len(name) + len(value) + _MIN_FIELD_FRAMING_BYTES)
        name = name.lower()
        if name == b"expect":
            self.expects_continue = value.lower() == b"100-continue"
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Called by the parser at the end of the head."""
        self.in_head = False
        self.in_body = True
        self._count_parsed(len(self._parser.get_method()) + _LINE_FRAMING_BYTES)
        length = find_header(self._headers, b"content-length")
        if length is not None:
            if int(length) > self.limits.body_bytes:
                self._fail(RequestError.BODY_TOO_LARGE)
            if self._memory is not None and not self._memory.has_room(int(length)):
                self._fail(RequestError.NO_MEMORY)

    def on_body(self, data: bytes) -> None:
        """Called by the parser with a piece of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self.limits.body_bytes:
            self._fail(RequestError.BODY_TOO_LARGE)
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Called by the parser at the last byte of a request."""
        self.in_body = False
        self.expects_continue = False
        if not self._cover_complete():
            self._fail(RequestError.NO_MEMORY)
        parser = self._parser
        target, headers = self._url, tuple(self._headers)
        if not target.startswith(b"/"):
            target, headers = resolve_target(target, headers)
        request = Request(
            parser.get_method(),
            target,
            headers,
            self._body.join(),
            parser.should_keep_alive(),
            self._reservation,
        )
        self._body = BodyBuffer()
        self._reservation = None
        self.complete_requests.append(request)

    def is_partial(self) -> bool:
        """Return whether a request is being read."""
        return self.in_head or self.in_body

    def is_busy(self) -> bool:
        """Return whether a request is being read or is ready to be served."""
        return bool(self.complete_requests) or self.in_head or self.in_body

    def is_evicted(self) -> bool:
        """Return whether the request that is being read is to end, for its memory."""
        return self._reservation is not None and self._reservation.evicted

    def release(self) -> None:
        """Release the memory of requests that are not served.

        Drop the parser to break its reference cycle with this reader.
        """
        self._parser = None
        self._reset()
        if self._reservation is not None:
            self._reservation.close()
        for request in self.complete_requests:
            request.release()
        self.complete_requests.clear()

    def partial_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers read so far of the current request."""
        return self._headers

    def _cover_complete(self) -> bool:
        """Reserve memory for a request that is whole, until its call has ended."""
        held = self._head_bytes + self._body_bytes + _REQUEST_OVERHEAD_BYTES
        held += len(self._headers) * FIELD_OVERHEAD_BYTES
        is_first = not self.reads_ahead and not self.complete_requests
        if held <= _SMALL_BYTES and is_first and self._reservation is None:
            return True  # the number of tasks limits these
        covered = self._cover(held, None)
        if self._reservation is not None:
            self._reservation.pinned = True
        return covered

    def _cover(self, size: int, evict: Callable[[], None] | None) -> bool:
        if self._memory is None:
            return True
        if self._reservation is None:
            self._reservation = self._memory.open(evict)
        return self._reservation.cover(size, step=1)

    def _count_parsed(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.limits.header_bytes:
            self._fail(RequestError.HEAD_TOO_LARGE)

    def _fail(self, error: RequestError) -> None:
        self.error = error
        raise ValueError(error)
