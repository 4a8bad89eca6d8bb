"""Conversions between WSGI and the library's requests and responses."""

from __future__ import annotations

import http
from collections.abc import Callable, Iterable
from typing import Any

from ..calls import Headers, Outcome, Refusal, Response

__all__ = [
    "HOP_BY_HOP_HEADERS",
    "collect_headers",
    "find_bearer",
    "finish_response",
    "reply_text",
]

OUTCOME_HEADER = "Cyclamenvane-Outcome"
REASON_HEADER = "Cyclamenvane-Reason"
_OUTCOMES = {
    Outcome.DONE: "done",
    Outcome.NOT_RUN: "not-run",
    Outcome.UNKNOWN: "unknown",
}
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_BEARER = "Bearer "

Environ = dict[str, Any]
StartResponse = Callable[..., Any]


def collect_headers(environ: Environ) -> Headers:
    """Return the headers of a request without hop-by-hop headers."""
    headers = []
    for key, value in environ.items():
        if key.startswith("HTTP_"):
            name = key[5:].replace("_", "-").title()
        elif key == "CONTENT_TYPE" and value:
            name = "Content-Type"
        else:
            continue
        if name.lower() not in HOP_BY_HOP_HEADERS:
            headers.append((name, value))
    return tuple(headers)


def find_bearer(environ: Environ) -> str:
    """Return the bearer credential of a request, or an empty string."""
    value = environ.get("HTTP_AUTHORIZATION", "")
    return value[len(_BEARER) :].strip() if value.startswith(_BEARER) else ""


def finish_response(
    response: Response, start_response: StartResponse, close: bool = False
) -> Iterable[bytes]:
    """Start the HTTP response for `response` and return its body."""
    headers = [
        pair for pair in response.headers if pair[0].lower() not in HOP_BY_HOP_HEADERS
    ]
    headers.append((OUTCOME_HEADER, _OUTCOMES[response.outcome]))
    if response.refusal is not Refusal.NONE:
        name = response.refusal.name.lower().replace("_", "-")
        headers.append((REASON_HEADER, name))
    if response.retry_after is not None:
        seconds = max(1, round(response.retry_after.total_seconds()))
        headers.append(("Retry-After", str(seconds)))
    length = _body_length(response)
    if length is not None:
        headers.append(("Content-Length", str(length)))
    if close:
        headers.append(("Connection", "close"))
    start_response(_status_line(response.status), headers)
    return [response.body] if isinstance(response.body, bytes) else response.body


def reply_text(
    start_response: StartResponse,
    status: int,
    text: str,
    content_type: str = "text/plain",
) -> Iterable[bytes]:
    """Start a short text response and return its body."""
    body = text.encode()
    headers = [
        ("Content-Type", f"{content_type}; charset=utf-8"),
        ("Content-Length", str(len(body))),
    ]
    start_response(_status_line(status), headers)
    return [body]


def _body_length(response: Response) -> int | None:
    if isinstance(response.body, bytes):
        return len(response.body)
    return response.body.length


def _status_line(status: int) -> str:
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Answer"
