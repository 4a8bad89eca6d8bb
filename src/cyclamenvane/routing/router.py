"""Takes a call to a target: choice, attempts, and what to say when it fails.

A further attempt is made only for a request that may be repeated or that was
not run, only while the scope's allowance and the deadline permit, and not when
a node below already made one. A target that is leaving or cannot be reached
costs none of the allowance, since the request was not handed to it.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import TYPE_CHECKING

from ..calls import (
    Answer,
    CallScope,
    Outcome,
    Pipe,
    Refusal,
    Request,
    rank_call,
    refuse_call,
    report_unknown,
    sign_context,
)
from .choice import Chooser
from .directory import Directory, Endpoint
from .link import Link

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["LocalServe", "Router", "name_route"]

_FIRST_BACKOFF = timedelta(milliseconds=5)
_LONGEST_BACKOFF = timedelta(milliseconds=100)
_LEAST_RETRY_AFTER = timedelta(milliseconds=200)
_FAILURES = frozenset({Refusal.LOST, Refusal.TARGET_FAILED, Refusal.UNREACHED})
_NOT_HANDED_OVER = frozenset({Refusal.LEAVING, Refusal.UNREACHED})
_SHED_STATUS = 503

LocalServe = Callable[[Request, int, CallScope], Answer]


def name_route(request: Request) -> str:
    """Return what tells apart the kinds of requests of a service."""
    first = request.path.partition("?")[0].split("/", 2)
    return f"{request.method} /{first[1] if len(first) > 1 else ''}"


@dataclass(frozen=True, slots=True)
class Router:
    """The routing of calls for one process.

    `serve_local` runs a call at the targets of this process's own VM, and is
    None for an embedded caller. `session` is this process's own. `key` signs
    contexts; an embedded caller, which has none, passes on the `token` that it
    was called with.
    """

    directory: Directory
    chooser: Chooser
    link: Link
    clock: Clock
    session: str = ""
    serve_local: LocalServe | None = None
    key: bytes = b""
    pause: Callable[[float], None] = time.sleep
    choose: random.Random = random.Random()

    def call(self, request: Request, scope: CallScope, token: str = "") -> Answer:
        """Return the answer to a request that needs no ticket."""
        token = token or self.sign(request)
        without: frozenset[tuple[str, str]] = frozenset()
        attempt = 0
        last: Answer | None = None
        while True:
            if request.deadline <= self.clock.monotonic():
                return last or refuse_call(Refusal.DEADLINE)
            endpoint = self.choose_target(request, without)
            if isinstance(endpoint, Refusal):
                self._note_refusal(endpoint, request, scope)
                return last or refuse_none(endpoint)
            answer = self.send(endpoint, request, scope, token)
            if not self._may_go_on(request, answer, scope):
                return answer
            without |= {endpoint.name}
            last = _drop_body(answer)
            if answer.refusal not in _NOT_HANDED_OVER:
                request = replace(request, request_id="")
                self._back_off(attempt, request)
                attempt += 1

    def choose_target(
        self, request: Request, without: frozenset[tuple[str, str]] = frozenset()
    ) -> Endpoint | Refusal:
        """Return the target for a request, counted as under way, or why none.

        `without` holds the names of targets that have declined it.
        """
        context = request.context
        return self.chooser.choose(
            request.service,
            name_route(request),
            rank_call(context.importance, context.root),
            request.request_id,
            without,
        )

    def send(
        self, endpoint: Endpoint, request: Request, scope: CallScope, token: str
    ) -> Answer:
        """Make one attempt at a target that is counted as under way."""
        began = self.clock.monotonic()
        granted = scope.grant()
        if self.serve_local and endpoint.member.session == self.session:
            answer = self.serve_local(request, granted, scope)
        else:
            answer = self.link.send(endpoint.member, request, token, granted, scope)
        report = answer.report
        unreached = answer.refusal is Refusal.UNREACHED
        scope.take_back(granted if unreached else report.unused, granted)
        scope.observe_level(report.level)
        scope.retried = scope.retried or report.retried
        self.chooser.finish(
            endpoint,
            name_route(request),
            answer.refusal in _FAILURES,
            self.clock.monotonic() - began,
            report.level,
            report.own_level,
        )
        return answer

    def sign(self, request: Request) -> str:
        """Return the signed context of a request."""
        return sign_context(request.context, self.key)

    def _note_refusal(
        self, refusal: Refusal, request: Request, scope: CallScope
    ) -> None:
        # The nodes above learn of it too, and refuse before anything is spent.
        if refusal is Refusal.OVERLOAD:
            route = name_route(request)
            scope.observe_level(self.chooser.read_level(request.service, route))

    def _may_go_on(self, request: Request, answer: Answer, scope: CallScope) -> bool:
        if scope.cancelled or not _can_resend(request):
            return False
        if answer.outcome is Outcome.NOT_RUN:
            if answer.refusal in _NOT_HANDED_OVER:
                return True
            return answer.refusal is Refusal.OVERLOAD and scope.spend()
        if not request.repeatable or answer.report.retried:
            return False
        shed = answer.refusal is Refusal.NONE and answer.status == _SHED_STATUS
        return (shed or answer.refusal in _FAILURES) and scope.spend()

    def _back_off(self, attempt: int, request: Request) -> None:
        longest = min(_FIRST_BACKOFF * 2**attempt, _LONGEST_BACKOFF)
        remaining = request.deadline - self.clock.monotonic()
        wait = min(longest * self.choose.random(), remaining)
        if wait > timedelta():
            self.pause(wait.total_seconds())


def _drop_body(answer: Answer) -> Answer:
    # A large answer that is not passed on at once frees its slot, and is never
    # passed on later without its body.
    if isinstance(answer.body, bytes):
        return answer
    answer.body.close()
    return report_unknown(Refusal.TARGET_FAILED, report=answer.report)


def refuse_none(refusal: Refusal) -> Answer:
    """Return the answer for a call that no target takes."""
    return refuse_call(refusal, retry_after=_LEAST_RETRY_AFTER)


def _can_resend(request: Request) -> bool:
    return not (isinstance(request.body, Pipe) and request.body.touched)


def report_unbound(refusal: Refusal) -> Answer:
    """Return the answer for a keyed request of which another copy may run."""
    answer = report_unknown(refusal, "send the same key again")
    return replace(answer, retry_after=_LEAST_RETRY_AFTER)
