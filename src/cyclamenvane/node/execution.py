"""Runs calls on the local targets of a node.

Every call to a local target is processed here, whichever node received it from
the caller: ticket ledger, limit on resends, admission gate, then the exchange
with the target.
"""

from __future__ import annotations

import secrets
import threading
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from ..admission import ADMITTED, ResendLimiter, WaitingCall
from ..calls import (
    CONTEXT_HEADER,
    CallScope,
    ChunkedBody,
    Headers,
    IncompleteBody,
    Refusal,
    Report,
    Request,
    Response,
    make_refusal,
    make_unknown_response,
    rank_call,
    read_all,
    sign_context,
)
from ..effects import Archive, BeginResult, Ledger, Ticket, parse_ticket
from .connection import exchange
from .target import LocalTarget, LocalTargets

if TYPE_CHECKING:
    from concurrent.futures import Executor

    from ..clock import Clock
    from ..policy import RuleSet

__all__ = ["CALLER_HEADER", "DEADLINE_HEADER", "Execution"]

DEADLINE_HEADER = "Cyclamenvane-Deadline-Ms"
CALLER_HEADER = "Cyclamenvane-Caller"
_NOT_FORWARDED_HEADERS = frozenset(
    {
        "authorization",
        "host",
        CONTEXT_HEADER.lower(),
        CALLER_HEADER.lower(),
        DEADLINE_HEADER.lower(),
    }
)
_REJECTED_STATUS = 503
_MILLISECOND = timedelta(milliseconds=1)
_MIN_RETRY_AFTER = timedelta(milliseconds=200)

ResponseCallback = Callable[[Response], None]


class Execution:
    """Runs calls on local targets and tracks the scopes of running dispatches."""

    def __init__(
        self,
        targets: LocalTargets,
        ledger: Ledger,
        archive: Archive,
        rule_set: Callable[[], RuleSet],
        key: bytes,
        clock: Clock,
        executor: Executor,
    ) -> None:
        self.resends = ResendLimiter(clock)
        self._targets = targets
        self._ledger = ledger
        self._archive = archive
        self._rule_set = rule_set
        self._key = key
        self._clock = clock
        self._executor = executor
        self._scopes: dict[str, CallScope] = {}
        self._lock = threading.Lock()
        self._under_way = 0
        self._idle = threading.Condition(self._lock)

    @property
    def active_calls(self) -> int:
        """The number of accepted calls that have not been answered yet."""
        return self._under_way

    def find_scope(self, dispatch: str) -> CallScope | None:
        """Return the scope of a dispatch running on this VM, or None."""
        return self._scopes.get(dispatch)

    def is_own_dispatch(self, dispatch: str) -> bool:
        """Return whether this session made a dispatch, running or ended."""
        return dispatch.startswith(f"{self._ledger.session}-")

    def wait_idle(self, timeout: timedelta) -> bool:
        """Wait until every accepted call is answered; return False on timeout."""
        with self._idle:
            return self._idle.wait_for(
                lambda: not self._under_way, timeout.total_seconds()
            )

    def serve(
        self,
        request: Request,
        scope: CallScope,
        reply: ResponseCallback,
        before_wait: Callable[[], None] = lambda: None,
    ) -> None:
        """Process a call; `reply` is called exactly once, with its response.

        A call that is admitted immediately runs in the calling thread, and
        `before_wait` is called before that thread waits for the target.
        """
        with self._lock:
            self._under_way += 1
        respond = self._count_completion(reply)
        ticket = parse_ticket(request.key) if request.key else None
        if request.key and ticket is None:
            respond(make_refusal(Refusal.BAD_REQUEST, "the key is no ticket"))
        elif ticket is not None:
            self._serve_once(ticket, request, scope, respond, before_wait)
        else:
            self._admit(request, scope, respond, before_wait)

    def sweep(self) -> None:
        """Refuse expired waiting calls and start those that now have a free slot."""
        for target in self._targets.all():
            for waiting in target.gate.sweep():
                waiting.start()

    def _count_completion(self, reply: ResponseCallback) -> ResponseCallback:
        def complete(response: Response) -> None:
            try:
                reply(response)
            finally:
                with self._idle:
                    self._under_way -= 1
                    self._idle.notify_all()

        return complete

    def _serve_once(
        self,
        ticket: Ticket,
        request: Request,
        scope: CallScope,
        reply: ResponseCallback,
        before_wait: Callable[[], None],
    ) -> None:
        caller = request.context.caller
        unused = scope.context.allowance
        report = Report(unused=unused)
        result = self._ledger.begin(
            caller, ticket, lambda response: reply(response.with_report(report))
        )
        if result in (BeginResult.WAIT, BeginResult.ANSWERED):
            return
        if result is not BeginResult.RUN:
            self._executor.submit(
                lambda: reply(self._archive.find(caller, ticket).with_report(report))
            )
            return

        def record(response: Response) -> None:
            response = _buffer_body(response)
            self._ledger.finish(caller, ticket, response)
            reply(response)

        self._admit(request, scope, record, before_wait)

    def _admit(
        self,
        request: Request,
        scope: CallScope,
        reply: ResponseCallback,
        before_wait: Callable[[], None],
    ) -> None:
        target = self._targets.find(request.service)
        refusal = self._find_refusal(target, request)
        if refusal is not None or target is None:
            reply(self._refuse(refusal or Refusal.LEAVING, scope, target))
            return
        waiting = self._make_waiting(target, request, scope, reply)
        verdict = target.gate.offer(waiting)
        if verdict is ADMITTED:
            self._run(target, request, scope, reply, before_wait)
        elif isinstance(verdict, Refusal):
            reply(self._refuse(verdict, scope, target))
        else:
            scope.on_cancel(lambda: self._cancel_waiting(target, waiting))

    def _find_refusal(
        self, target: LocalTarget | None, request: Request
    ) -> Refusal | None:
        if target is None or target.record.leaving:
            return Refusal.LEAVING
        rules = self._rule_set().find(request.service)
        if target.record.address in rules.leaving:
            return Refusal.LEAVING
        if request.request_id and not self.resends.admit(
            request.context.caller, request.request_id, rules.resends
        ):
            return Refusal.RESENDS
        return None

    def _make_waiting(
        self,
        target: LocalTarget,
        request: Request,
        scope: CallScope,
        reply: ResponseCallback,
    ) -> WaitingCall:
        context = request.context
        return WaitingCall(
            rank=rank_call(context.importance, context.root),
            depth=context.depth,
            deadline=request.deadline,
            arrived=self._clock.monotonic(),
            start=lambda: self._executor.submit(
                self._run, target, request, scope, reply
            ),
            refuse=lambda refusal: reply(self._refuse(refusal, scope, target)),
        )

    def _cancel_waiting(self, target: LocalTarget, waiting: WaitingCall) -> None:
        if target.gate.withdraw(waiting):
            waiting.refuse(Refusal.CANCELLED)

    def _refuse(
        self, refusal: Refusal, scope: CallScope, target: LocalTarget | None
    ) -> Response:
        report = self._report(scope, target)
        return make_refusal(refusal, report=report, retry_after=_MIN_RETRY_AFTER)

    def _report(self, scope: CallScope, target: LocalTarget | None) -> Report:
        target_level = target.gate.level if target else scope.level
        return Report(
            scope.remaining, min(target_level, scope.level), target_level, scope.retried
        )

    def _run(
        self,
        target: LocalTarget,
        request: Request,
        scope: CallScope,
        reply: ResponseCallback,
        before_wait: Callable[[], None] = lambda: None,
    ) -> None:
        started_at = self._clock.monotonic()
        dispatch = f"{self._ledger.session}-{secrets.token_hex(6)}"
        self._scopes[dispatch] = scope

        def on_end(status: int) -> None:
            self._finish_dispatch(target, dispatch, scope, started_at, status)

        response = self._exchange(target, request, scope, dispatch, on_end, before_wait)
        if response.status < 500 and request.request_id:
            self.resends.clear(request.context.caller, request.request_id)
        reply(response.with_report(self._report(scope, target)))

    def _exchange(
        self,
        target: LocalTarget,
        request: Request,
        scope: CallScope,
        dispatch: str,
        on_end: Callable[[int], None],
        before_wait: Callable[[], None],
    ) -> Response:
        remaining = request.deadline - self._clock.monotonic()
        if scope.cancelled or remaining <= timedelta():
            on_end(0)
            refusal = Refusal.CANCELLED if scope.cancelled else Refusal.DEADLINE
            return make_refusal(refusal)
        headers = self._make_headers(request, scope, dispatch, remaining)
        # A request that must not be repeated runs to completion even after its
        # caller has disconnected, so that its outcome is known.
        detached = CallScope(scope.context, scope.deadline)
        exchange_scope = scope if request.idempotent else detached
        return exchange(
            target.pool,
            request,
            headers,
            exchange_scope,
            remaining,
            on_end,
            before_wait,
        )

    def _make_headers(
        self, request: Request, scope: CallScope, dispatch: str, remaining: timedelta
    ) -> Headers:
        context = replace(
            request.context,
            depth=request.context.depth + 1,
            allowance=scope.context.allowance,
            dispatch=dispatch,
        )
        forwarded = tuple(
            pair
            for pair in request.headers
            if pair[0].lower() not in _NOT_FORWARDED_HEADERS
        )
        return (
            *forwarded,
            (CONTEXT_HEADER, sign_context(context, self._key)),
            (DEADLINE_HEADER, str(remaining // _MILLISECOND)),
            (CALLER_HEADER, context.caller),
        )

    def _finish_dispatch(
        self,
        target: LocalTarget,
        dispatch: str,
        scope: CallScope,
        started_at: timedelta,
        status: int,
    ) -> None:
        self._scopes.pop(dispatch, None)
        elapsed = self._clock.monotonic() - started_at
        own_time = max(timedelta(), elapsed - scope.downstream_time)
        next_waiting = target.gate.finish(elapsed, own_time, status == _REJECTED_STATUS)
        if next_waiting is not None:
            next_waiting.start()


def _buffer_body(response: Response) -> Response:
    if not isinstance(response.body, ChunkedBody):
        return response
    try:
        return replace(response, body=read_all(response.body))
    except IncompleteBody:
        return make_unknown_response(Refusal.TARGET_FAILED, "its answer broke off")
