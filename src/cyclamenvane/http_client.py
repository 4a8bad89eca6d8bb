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
from http import HTTPStatus
from typing import Any

__all__ = ["HTTPConnection", "HTTPResponse"]

_MAX_HEAD_LINES = 1000  # of one response, with those of interim ones


class _WholeLineReader:
    """A stream in which each line has its end.

    `lines_left` limits how many lines are read, if it is not None.
    """

    def __init__(self, stream: io.BufferedIOBase) -> None:
        self._stream = stream
        self.lines_left: int | None = None

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line; raise IncompleteRead if the stream ends in it.

        A line of `limit` bytes may lack its end.
        """
        if self.lines_left is not None:
            self.lines_left -= 1
            if self.lines_left < 0:
                raise http.client.LineTooLong("head")
        line = self._stream.readline(limit)
        if not line.endswith(b"\n") and len(line) != limit:
            raise http.client.IncompleteRead(line)
        return line

    def __getattr__(self, name: str) -> Any:
        return getattr(self._stream, name)


class HTTPResponse(http.client.HTTPResponse):
    """A response whose head, chunks and trailers are whole once they are read."""

    def __init__(self, sock: socket.socket, *args: Any, **kwargs: Any) -> None:
        super().__init__(sock, *args, **kwargs)
        self._reader = self.fp = _WholeLineReader(self.fp)

    def begin(self) -> None:
        """Read the head of the final response."""
        self._reader.lines_left = _MAX_HEAD_LINES
        super().begin()
        while self.status < HTTPStatus.OK:
            self.headers = self.msg = None  # without them, the next head is read
            super().begin()
        self._reader.lines_left = None
        encodings = self.headers.get_all("Transfer-Encoding", [])
        if len(encodings) != self.chunked:
            # Its end is not where the length or the connection says.
            raise http.client.UnknownTransferEncoding(", ".join(encodings))
        lengths = self.headers.get_all("Content-Length", [])
        if len(lengths) > 1 or not all(each.strip().isdecimal() for each in lengths):
            raise http.client.BadStatusLine("Content-Length: " + ", ".join(lengths))

    def read(self, amt: int | None = None) -> bytes:
        """Read up to `amt` bytes of the body; raise IncompleteRead if it is cut."""
        left = None if amt is None else self.length
        data = super().read(amt)
        if left is not None and len(data) < min(amt, left):
            raise http.client.IncompleteRead(data, left - len(data))
        return data


class HTTPConnection(http.client.HTTPConnection):
    """A connection with these responses."""

    response_class = HTTPResponse
