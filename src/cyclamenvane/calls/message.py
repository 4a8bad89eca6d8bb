"""Requests to targets, and the responses to them."""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import timedelta
from enum import IntEnum
from typing import TYPE_CHECKING

from .importance import RANKS

if TYPE_CHECKING:
    from .body import Body, Pipe
    from .context import CallContext

__all__ = [
    "Headers",
    "Outcome",
    "Refusal",
    "Report",
    "Request",
    "Response",
    "make_refusal",
    "make_unknown_response",
]

Headers = tuple[tuple[str, str], ...]


class Outcome(IntEnum):
    """Whether a request ran, did not run, or may have run.

    `NOT_RUN` is used only if no copy of the request was sent to a target and none
    can be sent later.
    """

    DONE = 0
    NOT_RUN = 1
    UNKNOWN = 2


class Refusal(IntEnum):
    """The reason why a call did not get a response from the target."""

    NONE = 0
    OVERLOAD = 1
    DEADLINE = 2
    LEAVING = 3
    NO_TARGET = 4
    RESENDS = 5
    KEY_REQUIRED = 6
    BODY_TOO_LARGE = 7
    CANCELLED = 8
    LOST = 9
    TARGET_FAILED = 10
    PLATFORM = 11
    UNAUTHENTICATED = 12
    BAD_REQUEST = 13
    UNREACHED = 14
    NO_RECORD = 15


_STATUS_CODES = {
    Refusal.OVERLOAD: 503,
    Refusal.DEADLINE: 504,
    Refusal.LEAVING: 503,
    Refusal.NO_TARGET: 503,
    Refusal.RESENDS: 429,
    Refusal.KEY_REQUIRED: 428,
    Refusal.BODY_TOO_LARGE: 413,
    Refusal.CANCELLED: 499,
    Refusal.LOST: 502,
    Refusal.TARGET_FAILED: 502,
    Refusal.PLATFORM: 503,
    Refusal.UNAUTHENTICATED: 401,
    Refusal.BAD_REQUEST: 400,
    Refusal.UNREACHED: 503,
    Refusal.NO_RECORD: 503,
}

_MESSAGES = {
    Refusal.OVERLOAD: "the target has no room for a call of this importance",
    Refusal.DEADLINE: "the call could not finish within its deadline",
    Refusal.LEAVING: "the target is leaving and takes no new work",
    Refusal.NO_TARGET: "no target of this service can be reached",
    Refusal.RESENDS: "the request was sent again too often; wait before the next",
    Refusal.KEY_REQUIRED: "the request needs an Idempotency-Key header",
    Refusal.BODY_TOO_LARGE: "the body is larger than the policy document allows",
    Refusal.CANCELLED: "the caller went away",
    Refusal.LOST: "the connection was lost before the answer arrived",
    Refusal.TARGET_FAILED: "the target gave no whole answer",
    Refusal.PLATFORM: "the key could not be looked up; send the same key again",
    Refusal.UNAUTHENTICATED: "the credential is missing or wrong",
    Refusal.BAD_REQUEST: "the request is malformed",
    Refusal.UNREACHED: "the node of the target cannot be reached",
    Refusal.NO_RECORD: "the node that had the request is gone",
}


@dataclass(frozen=True, slots=True)
class Request:
    """One call to a service.

    `deadline` is a time on the monotonic clock of the process that holds the
    request. `request_id` identifies the request across resends by its sender and
    is empty if the sender set none. `key` is the idempotency key, empty for a
    request that may be repeated. `idempotent` is true if running the request twice
    is harmless.
    """

    service: str
    method: str
    path: str
    headers: Headers
    body: bytes | Pipe
    context: CallContext
    deadline: timedelta
    request_id: str = ""
    key: str = ""
    idempotent: bool = True


@dataclass(frozen=True, slots=True)
class Report:
    """Feedback from downstream nodes that is sent with a response.

    `unused` is the unused part of the allowance. `level` is the lowest admission
    level seen downstream (`RANKS` admits all calls), `target_level` that of
    the target that answered. `retried` is true if a downstream node made an extra
    attempt for this call.
    """

    unused: int = 0
    level: int = RANKS
    target_level: int = RANKS
    retried: bool = False


@dataclass(frozen=True, slots=True)
class Response:
    """The response to one request: that of the target, or a refusal."""

    status: int
    headers: Headers
    body: Body
    outcome: Outcome
    refusal: Refusal = Refusal.NONE
    report: Report = Report()
    retry_after: timedelta | None = None

    def with_report(self, report: Report) -> Response:
        """Return a copy of the response with another report."""
        return replace(self, report=report)


def make_refusal(
    refusal: Refusal,
    detail: str = "",
    report: Report = Report(),
    retry_after: timedelta | None = None,
) -> Response:
    """Return the response to a request that was not run."""
    return _make_response(refusal, Outcome.NOT_RUN, detail, report, retry_after)


def make_unknown_response(
    refusal: Refusal, detail: str = "", report: Report = Report()
) -> Response:
    """Return the response to a request that may or may not have run."""
    return _make_response(refusal, Outcome.UNKNOWN, detail, report, None)


def _make_response(
    refusal: Refusal,
    outcome: Outcome,
    detail: str,
    report: Report,
    retry_after: timedelta | None,
) -> Response:
    message = _MESSAGES[refusal] + (f": {detail}" if detail else "")
    return Response(
        status=_STATUS_CODES[refusal],
        headers=(("Content-Type", "text/plain; charset=utf-8"),),
        body=f"{message}\n".encode(),
        outcome=outcome,
        refusal=refusal,
        report=report,
        retry_after=retry_after,
    )
