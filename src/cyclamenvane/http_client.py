"""HTTP connections on which a response that ends early is never taken for whole.

`http.client` ends a head, the trailers and a body that is read in parts where the
connection ends, and returns interim responses other than 100 as final ones. Use this
module in its place:

    connection = HTTPConnection(host, port, timeout=5)
    connection.request("GET", "/")
    response = connection.getresponse()  # raises IncompleteRead if its head is cut
"""

from __future__ import annotations

import http.client
import io
import socket
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from .response_head import (
    InvalidHeadError,
    check_chunk_head,
    check_head,
    check_status_line,
    parse_field_line,
)

__all__ = ["HTTPConnection", "HTTPResponse"]

_MAX_LINES = 1000  # of the heads of one response and of interim ones, or of trailers


class _LineReader:
    """A stream of which each line has its end.

    The lines of heads are checked, and their number is limited, as is that of the
    trailers.
    """

    def __init__(self, stream: io.BufferedIOBase) -> None:
        self._stream = stream
        self._lines_left = _MAX_LINES
        self._check: Callable[[bytes], object] | None = check_status_line

    def end_head(self) -> None:
        """Read chunk heads from now on."""
        self._check = None

    def begin_trailers(self) -> None:
        """Read trailers from now on."""
        self._check, self._lines_left = parse_field_line, _MAX_LINES

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line; raise IncompleteRead if the stream ends in it.

        A line of `limit` bytes may lack its end.
        """
        line = self._stream.readline(limit)
        if not line.endswith(b"\n") and len(line) != limit:
            raise http.client.IncompleteRead(line)
        if self._check is None:
            check_chunk_head(line)
        else:
            self._check_line(line)
        return line

    def _check_line(self, line: bytes) -> None:
        self._lines_left -= 1
        if self._lines_left < 0:
            raise http.client.LineTooLong("head")
        if line == b"\r\n" and self._check is not check_status_line:
            self._check = check_status_line  # of the response after an interim one
            return
        assert self._check is not None
        self._check(line)
        self._check = parse_field_line

    def __getattr__(self, name: str) -> Any:
        return getattr(self._stream, name)


class HTTPResponse(http.client.HTTPResponse):
    """A response whose head, chunks and trailers are whole once they are read."""

    def __init__(self, sock: socket.socket, *args: Any, **kwargs: Any) -> None:
        super().__init__(sock, *args, **kwargs)
        self._reader = self.fp = _LineReader(self.fp)

    def begin(self) -> None:
        """Read the head of the final response."""
        super().begin()
        while self.status < HTTPStatus.OK:
            self.headers = self.msg = None  # without them, the next head is read
            super().begin()
        self._reader.end_head()
        version = b"1.0" if self.version == 10 else b"1.1"
        fields = [
            (name.lower().encode("latin-1"), value.strip().encode("latin-1"))
            for name, value in self.headers.items()
        ]
        check_head(version, self.status, fields)

    def read(self, amt: int | None = None) -> bytes:
        """Read up to `amt` bytes of the body; raise IncompleteRead if it is cut."""
        left = None if amt is None else self.length
        data = super().read(amt)
        if left is not None and len(data) < min(amt, left):
            raise http.client.IncompleteRead(data, left - len(data))
        return data

    def _safe_read(self, amt: int) -> bytes:
        data = super()._safe_read(amt)
        if self.chunked and self.chunk_left == 0 and data != b"\r\n":
            raise InvalidHeadError(f"end of a chunk {data!r}")
        return data

    def _read_and_discard_trailer(self) -> None:
        self._reader.begin_trailers()
        super()._read_and_discard_trailer()


class HTTPConnection(http.client.HTTPConnection):
    """A connection with these responses."""

    response_class = HTTPResponse
