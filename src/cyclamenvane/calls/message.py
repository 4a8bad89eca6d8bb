"""A request on its way to a target, and the answer on its way back."""

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
    "Answer",
    "Headers",
    "Outcome",
    "Refusal",
    "Report",
    "Request",
    "refuse_call",
    "report_unknown",
]

Headers = tuple[tuple[str, str], ...]


class Outcome(IntEnum):
    """What happened to a request: it ran, it did not run, or nobody can tell.

    `NOT_RUN` is only said when no copy of the request was handed to a target
    and none ever will be.
    """

    DONE = 0
    NOT_RUN = 1
    UNKNOWN = 2


class Refusal(IntEnum):
    """Why a call was answered without the target's own answer."""

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


_STATUS = {
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

_TEXT = {
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

    `deadline` is on the monotonic clock of the process that holds the request.
    `request_id` names the request across its sender's own re-sends and is
    empty when the sender gave none. `key` is the idempotency key, empty for a
    request that may be repeated. `repeatable` says whether a second run does
    no harm.
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
    repeatable: bool = True


@dataclass(frozen=True, slots=True)
class Report:
    """What the nodes below tell the nodes above, riding on an answer.

    `unused` is the part of the allowance that came back. `level` is the lowest
    admission level seen below (`RANKS` admits all), `own_level` that of the
    target which answered. `retried` says that a node below made an extra
    attempt for this call.
    """

    unused: int = 0
    level: int = RANKS
    own_level: int = RANKS
    retried: bool = False


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one request: the target's own, or a refusal."""

    status: int
    headers: Headers
    body: Body
    outcome: Outcome
    refusal: Refusal = Refusal.NONE
    report: Report = Report()
    retry_after: timedelta | None = None

    def with_report(self, report: Report) -> Answer:
        """Return the same answer with another report."""
        return replace(self, report=report)


def refuse_call(
    refusal: Refusal,
    detail: str = "",
    report: Report = Report(),
    retry_after: timedelta | None = None,
) -> Answer:
    """Return the answer for a request that was not run."""
    return _explain(refusal, Outcome.NOT_RUN, detail, report, retry_after)


def report_unknown(
    refusal: Refusal, detail: str = "", report: Report = Report()
) -> Answer:
    """Return the answer for a request that may or may not have been run."""
    return _explain(refusal, Outcome.UNKNOWN, detail, report, None)


def _explain(
    refusal: Refusal,
    outcome: Outcome,
    detail: str,
    report: Report,
    retry_after: timedelta | None,
) -> Answer:
    text = _TEXT[refusal] + (f": {detail}" if detail else "")
    return Answer(
        status=_STATUS[refusal],
        headers=(("Content-Type", "text/plain; charset=utf-8"),),
        body=f"{text}\n".encode(),
        outcome=outcome,
        refusal=refusal,
        report=report,
        retry_after=retry_after,
    )
