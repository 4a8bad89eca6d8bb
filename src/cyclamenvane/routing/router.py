"""Routes a call to a target: selection, attempts, and the response on failure.

A call is retried only if the request is idempotent or was not run, only while the
scope's allowance and the deadline permit, and, if it may have run, not if a
downstream node has already retried it. An attempt at a target that is leaving or
unreachable does not count against the allowance, since the request was not
delivered to it.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import TYPE_CHECKING

from ..calls import (
    CallScope,
    Outcome,
    Pipe,
    Refusal,
    Request,
    Response,
    make_refusal,
    make_unknown_response,
    rank_call,
    sign_context,
)
from .directory import Directory, Endpoint
from .node_client import NodeClient
from .selection import TargetSelector

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["LocalServe", "Router", "name_route"]

_INITIAL_BACKOFF = timedelta(milliseconds=5)
_MAX_BACKOFF = timedelta(milliseconds=100)
_MIN_RETRY_AFTER = timedelta(milliseconds=200)
_TARGET_FAILURES = frozenset({Refusal.LOST, Refusal.TARGET_FAILED, Refusal.UNREACHED})
# With an unknown outcome: the caller stopped waiting for the target.
_UNANSWERED = frozenset({Refusal.CANCELLED, Refusal.DEADLINE})
_NOT_DELIVERED = frozenset({Refusal.LEAVING, Refusal.UNREACHED})
_REJECTED_STATUS = 503

LocalServe = Callable[[Request, int, CallScope], Response]


def name_route(request: Request) -> str:
    """Return the route of a request: its method and first path segment."""
    first = request.path.partition("?")[0].split("/", 2)
    return f"{request.method} /{first[1] if len(first) > 1 else ''}"


@dataclass(frozen=True, slots=True)
class Router:
    """Routes the calls of one process.

    `serve_local` runs a call at the local targets, and is None for an embedded
    caller. `session` is the session of this process. `key` signs contexts; an
    embedded caller has no key and forwards the `token` that it was called with.
    """

    directory: Directory
    selector: TargetSelector
    node_client: NodeClient
    clock: Clock
    session: str = ""
    serve_local: LocalServe | None = None
    key: bytes = b""
    pause: Callable[[float], None] = time.sleep
    rng: random.Random = random.Random()

    def call(self, request: Request, scope: CallScope, token: str = "") -> Response:
        """Return the response to a request that needs no ticket."""
        token = token or self.sign(request)
        excluded: frozenset[tuple[str, str]] = frozenset()
        attempt = 0
        last_response: Response | None = None
        while True:
            if request.deadline <= self.clock.monotonic():
                return last_response or make_refusal(Refusal.DEADLINE)
            endpoint = self.select_target(request, excluded)
            if isinstance(endpoint, Refusal):
                self._note_refusal(endpoint, request, scope)
                return last_response or make_no_target_refusal(endpoint)
            response = self.send(endpoint, request, scope, token)
            if not self._may_retry(request, response, scope):
                return response
            excluded |= {endpoint.name}
            last_response = _drop_body(response)
            if response.refusal not in _NOT_DELIVERED:
                request = replace(request, request_id="")
                self._back_off(attempt, request)
                attempt += 1

    def select_target(
        self, request: Request, excluded: frozenset[tuple[str, str]] = frozenset()
    ) -> Endpoint | Refusal:
        """Return the target for a request, or the refusal if none is available.

        The request counts as in flight at the returned target. `excluded` holds the
        names of targets that are not to be tried again.
        """
        context = request.context
        return self.selector.select(
            request.service,
            name_route(request),
            rank_call(context.importance, context.root),
            request.request_id,
            excluded,
        )

    def send(
        self, endpoint: Endpoint, request: Request, scope: CallScope, token: str
    ) -> Response:
        """Make one attempt at a target where the request counts as in flight."""
        started_at = self.clock.monotonic()
        allowance = scope.grant()
        if self.serve_local and endpoint.member.session == self.session:
            response = self.serve_local(request, allowance, scope)
        else:
            response = self.node_client.send(
                endpoint.member, request, token, allowance, scope
            )
        report = response.report
        unreached = response.refusal is Refusal.UNREACHED
        scope.return_unused(allowance if unreached else report.unused, allowance)
        scope.observe_level(report.level)
        scope.retried = scope.retried or report.retried
        self.selector.finish(
            endpoint,
            name_route(request),
            response.refusal in _TARGET_FAILURES,
            self.clock.monotonic() - started_at,
            report.level,
            report.target_level,
            answered=response.refusal not in _UNANSWERED
            or response.outcome is not Outcome.UNKNOWN,
        )
        return response

    def sign(self, request: Request) -> str:
        """Return the signed context of a request."""
        return sign_context(request.context, self.key)

    def _note_refusal(
        self, refusal: Refusal, request: Request, scope: CallScope
    ) -> None:
        # Propagate the level to the nodes upstream, so that they refuse calls
        # before any work is done.
        if refusal is Refusal.OVERLOAD:
            route = name_route(request)
            scope.observe_level(self.selector.current_level(request.service, route))

    def _may_retry(
        self, request: Request, response: Response, scope: CallScope
    ) -> bool:
        if scope.cancelled or not _has_replayable_body(request):
            return False
        if response.outcome is Outcome.NOT_RUN:
            if response.refusal in _NOT_DELIVERED:
                return True
            return response.refusal is Refusal.OVERLOAD and scope.spend()
        if not request.idempotent or response.report.retried:
            return False
        rejected = (
            response.refusal is Refusal.NONE and response.status == _REJECTED_STATUS
        )
        return (rejected or response.refusal in _TARGET_FAILURES) and scope.spend()

    def _back_off(self, attempt: int, request: Request) -> None:
        max_wait = min(_INITIAL_BACKOFF * 2**attempt, _MAX_BACKOFF)
        remaining = request.deadline - self.clock.monotonic()
        wait = min(max_wait * self.rng.random(), remaining)
        if wait > timedelta():
            self.pause(wait.total_seconds())


def _drop_body(response: Response) -> Response:
    # A response with a streamed body that is not forwarded immediately is closed to
    # free its slot. It must not be forwarded later without its body.
    if isinstance(response.body, bytes):
        return response
    response.body.close()
    return make_unknown_response(Refusal.TARGET_FAILED, report=response.report)


def make_no_target_refusal(refusal: Refusal) -> Response:
    """Return the response for a call that no target accepts."""
    return make_refusal(refusal, retry_after=_MIN_RETRY_AFTER)


def _has_replayable_body(request: Request) -> bool:
    return not (isinstance(request.body, Pipe) and request.body.read_started)


def make_unresolved_key_response(refusal: Refusal) -> Response:
    """Return the response for a keyed request that may still be executed."""
    response = make_unknown_response(refusal, "send the same key again")
    return replace(response, retry_after=_MIN_RETRY_AFTER)
