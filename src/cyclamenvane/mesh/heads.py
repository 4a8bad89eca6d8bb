"""Heads of HTTP messages: headers that the mesh knows, and heads as it writes them.

A head is written once; each hop only completes it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .message import Request

__all__ = [
    "HeaderNames",
    "Headers",
    "find_header",
    "render_answer_head",
    "render_request_head",
]

Headers = tuple[tuple[bytes, bytes], ...]

# Headers that concern one connection only, and those written anew on each hop.
_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


@dataclass(frozen=True)
class HeaderNames:
    """The headers that carry a call's identity and bounds, in lower case."""

    attempt: bytes
    remaining_ms: bytes
    required_instance: bytes
    origin_service: bytes
    signature: bytes
    not_run: bytes
    instance: bytes


def find_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of a header, whose name is in lower case."""
    for each, value in headers:
        if each == name:
            return value
    return None


def render_request_head(
    request: Request, names: HeaderNames, origin_service: bytes
) -> bytes:
    """Return the head that a target is sent, but for what each hop adds.

    The hop adds the remaining time, the required instance and the length.
    """
    own = (names.remaining_ms, names.required_instance, names.origin_service)
    lines = [request.method + b" " + request.target + b" HTTP/1.1"]
    lines += _render_headers(request.headers, own)
    lines.append(names.origin_service + b": " + origin_service)
    return b"\r\n".join(lines) + b"\r\n"


def render_answer_head(
    status: int, headers: Iterable[tuple[bytes, bytes]], length: int
) -> bytes:
    """Return the head of an answer, but for the empty line at its end."""
    lines = [_STATUS_LINES.get(status) or b"HTTP/1.1 %d Unknown" % status]
    lines += _render_headers(headers, ())
    if status >= 200 and status != 204:
        lines.append(b"Content-Length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n"


def _render_headers(
    headers: Iterable[tuple[bytes, bytes]], left_out: tuple[bytes, ...]
) -> list[bytes]:
    dropped = _HOP
    connection = find_header(headers, b"connection")
    if connection is not None:
        named = (each.strip().lower() for each in connection.split(b","))
        dropped = dropped.union(named)
    return [
        name + b": " + value
        for name, value in headers
        if name not in dropped and name not in left_out
    ]


_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}".encode()
    for status in HTTPStatus
}
