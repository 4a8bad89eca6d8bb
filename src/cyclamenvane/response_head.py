"""Checks of the heads of HTTP/1 responses, strict by RFC 9110 and RFC 9112.

All who read responses use them, whatever parser they use beside it, so that a
response which one part of the system refuses is not taken for whole by another:

    check_status_line(b"HTTP/1.1 200 OK\\r\\n")
    name, value = parse_field_line(b"Content-Length: 2\\r\\n")
    check_head(b"1.1", 200, [(b"content-length", b"2")])

Each raises InvalidHeadError, after which the connection is of no further use.
"""

from __future__ import annotations

import http.client
import re
from collections.abc import Iterable

__all__ = [
    "InvalidHeadError",
    "check_chunk_head",
    "check_head",
    "check_reason",
    "check_status_line",
    "parse_field_line",
]

_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?: " + _TEXT + rb")?\r\n")
_FIELD_LINE = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[\t ]*(" + _TEXT + rb"?)[\t ]*\r\n"
)
_CHUNK_HEAD = re.compile(rb"[0-9A-Fa-f]{1,16}[\t ]*(?:;" + _TEXT + rb")?\r\n")
_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_VALUE = re.compile(_TEXT)
_VERSIONS = b"1.0", b"1.1"
_MIN_STATUS, _MAX_STATUS = 100, 599
_SWITCHING_PROTOCOLS = 101  # which no request here asks for


class InvalidHeadError(http.client.HTTPException, ValueError):
    """The head of a response is not one of HTTP/1, or leaves its end open."""


def check_status_line(line: bytes) -> None:
    """Check a status line with its line end."""
    if _STATUS_LINE.fullmatch(line) is None:
        raise InvalidHeadError(f"status line {line[:80]!r}")


def parse_field_line(line: bytes) -> tuple[bytes, bytes]:
    """Return the name, in lower case, and the value of a field line with its end."""
    match = _FIELD_LINE.fullmatch(line)
    if match is None:
        raise InvalidHeadError(f"field line {line[:80]!r}")
    return match[1].lower(), match[2]


def check_reason(reason: bytes) -> None:
    """Check the text behind the status, or a part of it."""
    if _VALUE.fullmatch(reason) is None:
        raise InvalidHeadError(f"reason {reason[:80]!r}")


def check_chunk_head(line: bytes) -> None:
    """Check the size and the extensions of a chunk, with their line end."""
    if _CHUNK_HEAD.fullmatch(line) is None:
        raise InvalidHeadError(f"chunk {line[:80]!r}")


def check_head(
    version: bytes, status: int, fields: Iterable[tuple[bytes, bytes]]
) -> None:
    """Check the parts of a head, and that they say where the response ends.

    The names of the fields are in lower case.
    """
    if version not in _VERSIONS:
        raise InvalidHeadError(f"version {version!r}")
    if not _MIN_STATUS <= status <= _MAX_STATUS or status == _SWITCHING_PROTOCOLS:
        raise InvalidHeadError(f"status {status}")
    lengths, encodings = 0, 0
    for name, value in fields:
        if _NAME.fullmatch(name) is None or _VALUE.fullmatch(value) is None:
            raise InvalidHeadError(f"field {name[:80]!r}: {value[:80]!r}")
        if name == b"content-length":
            lengths += 1
            if not value.isdigit():
                raise InvalidHeadError(f"length {value[:80]!r}")
        elif name == b"transfer-encoding":
            encodings += 1
            if value.strip().lower() != b"chunked":
                # With any other one, a body that is cut would look whole.
                raise InvalidHeadError(f"encoding {value[:80]!r}")
    if lengths + encodings > 1:
        raise InvalidHeadError(f"{lengths} lengths and {encodings} encodings")
    if encodings and version == b"1.0":
        raise InvalidHeadError("an encoding in a response of HTTP/1.0")
