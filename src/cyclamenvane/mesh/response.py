"""Incremental reader for the response of a target, based on `httptools`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import httptools

from ..response_head import InvalidHeadError, check_head, check_reason
from .body_buffer import BodyBuffer
from .heads import FIELD_OVERHEAD_BYTES, find_header

__all__ = ["ResponseReader"]

_OVERHEAD_PER_BODY_BYTE = 8  # of chunks that carry one byte each


class ResponseReader:
    """Parses the response to one request.

    `matches_request` decides by the status and headers of a response whether it
    belongs to the request. Other responses are discarded. `extra_data` is set if one
    is discarded, if data follows the matching response, or if data is malformed.

    `malformed` is also set by more than `max_overhead` bytes that are not part of the
    matching response's body, beside `_OVERHEAD_PER_BODY_BYTE` for each byte that is,
    and by a body of more than `max_body` bytes.
    """

    def __init__(
        self,
        method: bytes,
        matches_request: Callable[[int, list[tuple[bytes, bytes]]], bool],
        max_overhead: int,
        max_body: int,
    ) -> None:
        self._max_overhead = max_overhead
        self._max_body = max_body
        self._received_bytes = 0
        self._body_bytes = 0
        self._header_bytes = 0
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.complete = False
        self.malformed = False
        self.extra_data = False
        self._matches_request = matches_request
        self.begun = False  # whether a response is being read
        self._head_complete = False
        self._matched = False
        self._body = BodyBuffer()
        self._no_body = method == b"HEAD"
        self._length_known = False
        self._keep_alive = False
        self._parser: Any = httptools.HttpResponseParser(self)

    @property
    def body(self) -> bytes:
        """The body received so far."""
        return self._body.join()

    @property
    def held_bytes(self) -> int:
        """About the memory that the response takes, in bytes."""
        if not self._head_complete:
            # The parser holds a header until it is whole.
            return max(self._received_bytes, self._header_bytes)
        return self._body_bytes + self._header_bytes

    @property
    def keep_alive(self) -> bool:
        """Whether the connection can be reused for another request."""
        return self._keep_alive and self._length_known and not self.extra_data

    def feed(self, data: bytes) -> None:
        """Parse data received on the connection."""
        if self.complete:
            self.extra_data = True
            return
        try:
            self._check_start(data)
            self._parser.feed_data(data)
        except (
            InvalidHeadError,
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ):
            self.malformed = not self.complete
            self.extra_data = True
        self._received_bytes += len(data)
        if not self.complete and self._exceeds_limits():
            self.malformed = self.extra_data = True

    def _check_start(self, data: bytes) -> None:
        # The parser accepts responses of other protocols, and hides which one it was.
        if not self.begun:
            start = data.lstrip(b"\r\n")[:1]
            if start and start != b"H":
                raise InvalidHeadError(f"{data[:80]!r}")

    def _exceeds_limits(self) -> bool:
        overhead = self._received_bytes - self._body_bytes
        allowed = self._max_overhead + self._body_bytes * _OVERHEAD_PER_BODY_BYTE
        return (
            self._body_bytes > self._max_body
            or overhead > allowed
            or self._header_bytes > self._max_overhead
        )

    def release(self) -> None:
        """Drop the parser to break its reference cycle with this reader."""
        self._parser = None

    def feed_eof(self) -> None:
        """Process the orderly end of the connection."""
        # A body without a declared length ends with the connection.
        if self._matched and self._head_complete and not self._length_known:
            self.complete = not self.malformed

    def on_message_begin(self) -> None:
        """Called by the parser at the first byte of a response."""
        if self.complete:
            self.extra_data = True
            return
        self.begun = True
        self.headers = []
        self._body = BodyBuffer()
        self._header_bytes = 0
        self._head_complete = False

    def on_status(self, reason: bytes) -> None:
        """Called by the parser with the text behind the status, or a part of it."""
        check_reason(reason)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser for each header, and for each trailer."""
        if not self._head_complete and not self.complete:
            self.headers.append((name.lower(), value))
            self._header_bytes += len(name) + len(value) + FIELD_OVERHEAD_BYTES

    def on_headers_complete(self) -> None:
        """Called by the parser at the end of the head."""
        if self.complete:
            return
        self.status = self._parser.get_status_code()
        version = self._parser.get_http_version().encode()
        check_head(version, self.status, self.headers)
        self._head_complete = True
        self._length_known = self._has_length()
        # Interim (1xx) responses carry no header to match them by.
        self._matched = self.status >= 200 and self._matches_request(
            self.status, self.headers
        )
        self.extra_data = self.extra_data or (self.status >= 200 and not self._matched)
        if self._no_body and self._matched:
            self.complete = True

    def on_body(self, data: bytes) -> None:
        """Called by the parser with a piece of the body."""
        if self._matched and not self.complete:
            self._body_bytes += len(data)
            self._body.append(data)

    def on_message_complete(self) -> None:
        """Called by the parser at the last byte of a response."""
        self.begun = False
        if self._matched and not self.complete:
            self.complete = True
            self._keep_alive = self._parser.should_keep_alive()

    def _has_length(self) -> bool:
        if self.status < 200 or self.status in (204, 304):
            return True
        return (
            find_header(self.headers, b"transfer-encoding") is not None
            or find_header(self.headers, b"content-length") is not None
        )
