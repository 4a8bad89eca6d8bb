"""HTTP message heads: headers used by the mesh, and rendering of heads.

A head is rendered once; each hop only appends its own headers.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .message import Request

__all__ = [
    "FIELD_OVERHEAD_BYTES",
    "HeaderNames",
    "Headers",
    "find_header",
    "find_remaining_time",
    "is_rejection",
    "parse_destination",
    "parse_keep_alive",
    "render_error_head",
    "render_request_head",
    "render_response_head",
    "resolve_target",
]

FIELD_OVERHEAD_BYTES = 200  # of the objects of one field

Headers = tuple[tuple[bytes, bytes], ...]

# Headers of a single connection, and those that each hop sets itself.
_HOP_BY_HOP = frozenset(
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


_MILLISECOND = timedelta(milliseconds=1)
# Far above any time-out of a route. A duration cannot hold every number.
_MAX_REMAINING_DIGITS = 9
_MAX_REMAINING = timedelta(days=10)
_MAX_KEEP_ALIVE = timedelta(days=1)
_MAX_KEEP_ALIVE_DIGITS = 9
_HOST = b"\r\nhost: "
_SCHEME = b"http://"


@dataclass(frozen=True)
class HeaderNames:
    """Names of the headers that identify and limit calls, in lower case.

    Targets send `rate_limit`, how many calls a second they take from all nodes, and
    `leaving` with the value 1 once they are about to end. Callers send the key of
    their account in `credentials`; targets get the account's name in `account`.
    """

    attempt: bytes
    remaining_ms: bytes
    required_instance: bytes
    origin_service: bytes
    signature: bytes
    not_run: bytes
    instance: bytes
    rate_limit: bytes
    leaving: bytes
    credentials: bytes
    account: bytes


def find_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of a header; `name` and the keys are in lower case."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def is_rejection(
    status: int, headers: Iterable[tuple[bytes, bytes]], header_names: HeaderNames
) -> bool:
    """Return whether a target's response says that it has not run the request."""
    return status == HTTPStatus.MISDIRECTED_REQUEST or (
        find_header(headers, header_names.not_run) is not None
    )


def find_remaining_time(
    headers: Iterable[tuple[bytes, bytes]], name: bytes
) -> timedelta | None:
    """Return the remaining time that a caller sent; None without a valid one."""
    text = find_header(headers, name)
    digits = b"" if text is None else text.strip()
    if not digits.isdigit():
        return None
    if len(digits) > _MAX_REMAINING_DIGITS:
        return _MAX_REMAINING
    return int(digits) * _MILLISECOND


def resolve_target(target: bytes, headers: Headers) -> tuple[bytes, Headers]:
    """Return a request target in origin form, and the headers with its host.

    A target in absolute form (RFC 9112, 3.2.2) replaces the Host header. Raise
    ValueError if it has no host. Other forms are returned as they are.
    """
    if target[: len(_SCHEME)].lower() != _SCHEME:
        return target, headers
    rest = target[len(_SCHEME) :]
    authority = rest.partition(b"/")[0].partition(b"?")[0]
    host = authority.rpartition(b"@")[2]
    if not host.partition(b":")[0]:
        raise ValueError("no host in the request target")
    path = rest[len(authority) :]
    if not path.startswith(b"/"):
        path = b"/" + path
    others = tuple(each for each in headers if each[0] != b"host")
    return path, ((b"host", host), *others)


def parse_destination(head: bytes) -> tuple[bytes, bytes]:
    """Return the host and the path, without its query, of a rendered request head."""
    target = head.partition(b"\r\n")[0].partition(b" ")[2].partition(b" ")[0]
    start = head.find(_HOST)
    host = b""
    if start >= 0:
        start += len(_HOST)
        host = head[start : head.find(b"\r\n", start)]
    return host, target.partition(b"?")[0]


def render_request_head(
    request: Request,
    header_names: HeaderNames,
    origin_service: bytes,
    account: bytes | None = None,
) -> bytes:
    """Return the request head for a target, without the headers of the last hop.

    The last hop appends the remaining time, the required instance and the length.
    `account` is the name to send; without a name the header is dropped. If it is None,
    the configuration has no accounts, and both headers of accounts are passed on.
    """
    overridden: tuple[bytes, ...] = (
        header_names.remaining_ms,
        header_names.required_instance,
        header_names.origin_service,
    )
    if account is not None:
        overridden += (header_names.credentials, header_names.account)
    lines = [request.method + b" " + request.target + b" HTTP/1.1"]
    lines += _render_headers(request.headers, overridden)
    if account:
        lines.append(header_names.account + b": " + account)
    lines.append(header_names.origin_service + b": " + origin_service)
    return b"\r\n".join(lines) + b"\r\n"


def render_response_head(
    status: int, headers: Iterable[tuple[bytes, bytes]], length: int
) -> bytes:
    """Return the head of a response, without the empty line that ends it."""
    lines = [_STATUS_LINES.get(status) or b"HTTP/1.1 %d Unknown" % status]
    lines += _render_headers(headers, ())
    if status >= 200 and status != 204:
        lines.append(b"Content-Length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n"


def render_error_head(status: int, retry_after: timedelta | None) -> bytes:
    """Return the head of a response of the node's own, without its empty line."""
    phrase = HTTPStatus(status).phrase
    head = f"HTTP/1.1 {int(status)} {phrase}\r\nContent-Length: 0\r\n"
    if retry_after is not None:
        # Fractional seconds let callers resend as soon as there is capacity.
        head += f"Retry-After: {retry_after.total_seconds():.3f}\r\n"
    return head.encode()


def parse_keep_alive(value: bytes) -> timedelta | None:
    """Return the idle timeout in a Keep-Alive header; None without a valid one."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        digits = number.strip()
        if name.lower() == b"timeout" and digits.isdigit():
            if len(digits) > _MAX_KEEP_ALIVE_DIGITS:
                return _MAX_KEEP_ALIVE
            return min(timedelta(seconds=int(digits)), _MAX_KEEP_ALIVE)
    return None


def _render_headers(
    headers: Iterable[tuple[bytes, bytes]], excluded: tuple[bytes, ...]
) -> list[bytes]:
    hop_by_hop = _HOP_BY_HOP
    connection = find_header(headers, b"connection")
    if connection is not None:
        connection_options = (
            option.strip().lower() for option in connection.split(b",")
        )
        hop_by_hop = hop_by_hop.union(connection_options)
    return [
        name + b": " + value
        for name, value in headers
        if name not in hop_by_hop and name not in excluded
    ]


_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}".encode()
    for status in HTTPStatus
}
