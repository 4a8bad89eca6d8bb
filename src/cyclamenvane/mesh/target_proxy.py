"""The last hop of a call: admission, the exchange with the target, the outcome.

A target is reached only through its own node. So this module alone decides whether
a call is sent to the target, and its verdict that a call was not run is reliable.
"""

from __future__ import annotations

import threading
from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from ..cost import SelfTimes
from .content import digest_content
from .crash import RunningCalls
from .forward import (
    ForwardRequest,
    ForwardResult,
    Load,
    Reason,
    ServiceUsage,
    Verdict,
)
from .gate import Gate
from .heads import (
    HeaderNames,
    find_header,
    parse_destination,
)
from .quarantine import Quarantine, Standing
from .rank import ActiveCall, ActiveCalls, Rank
from .rate_limit import RateLimit
from .upstream import ExchangeOutcome, Upstream
from .verdict import classify_exchange, make_not_run
from .watch import Watch

if TYPE_CHECKING:
    from ..clock import Clock
    from .configuration import CurrentConfiguration
    from .log import CallLog
    from .metric import Metrics
    from .model import Incarnation
    from .registration import Registration

__all__ = ["TargetProxy"]

# Added to the deadline, so that a response sent by the target at the deadline arrives.
_RESPONSE_MARGIN = timedelta(milliseconds=30)
_MIN_REMAINING = timedelta(milliseconds=5)  # the target discards calls with less
_MIN_RETRY_AFTER = timedelta(milliseconds=100)
# A quarantined request may be sent again only after minutes.
_QUARANTINED_RETRY_AFTER = timedelta(seconds=10)
_MILLISECOND = timedelta(milliseconds=1)


class TargetProxy:
    """Executes forwarded requests on the node's local target."""

    def __init__(
        self,
        registration: Registration,
        gate: Gate,
        active_calls: ActiveCalls,
        upstream: Upstream,
        header_names: HeaderNames,
        clock: Clock,
        metrics: Metrics,
        configuration: CurrentConfiguration,
        log: CallLog,
    ) -> None:
        self._registration = registration
        self._gate = gate
        self._active_calls = active_calls
        self._upstream = upstream
        self._header_names = header_names
        self._clock = clock
        self._metrics = metrics
        self._configuration = configuration
        self._log = log
        # Set one after the other on shutdown: `leaving` is reported to other nodes
        # so that they forward nothing more, `closed` makes this node refuse requests.
        self.leaving = False
        self.closed = False
        self.rate_limit = RateLimit(clock)
        self.quarantine = Quarantine(clock)
        self._running = RunningCalls(self.quarantine, upstream.accepts_connections)
        self._suspect_turn = threading.Lock()
        self._limited_incarnation: Incarnation | None = None
        self.self_times = SelfTimes()
        self._warming = False

    def load(self, active_call: ActiveCall | None = None) -> Load:
        """Return the load to report to other nodes.

        With `active_call`, the level is at most the lowest of the mean levels reported
        by the services that it called, and the call time is that of its route.
        """
        gate = self._gate.load()
        level = self._gate.level()
        in_flight = gate.in_flight + gate.waiting
        if self.rate_limit.is_exhausted():
            # Other nodes select other targets, as they do when all slots are taken.
            in_flight = max(in_flight, gate.limit)
        return Load(
            in_flight,
            gate.limit,
            min(level, active_call.lowest_level()) if active_call else level,
            self._configuration.version(),
            self.leaving or not self._registration.is_serving(),
            self._gate.queue_wait(),
            active_call.call_time if active_call else timedelta(),
        )

    def execute(self, request: ForwardRequest, watch: Watch) -> ForwardResult:
        """Execute a forwarded request; blocks until its outcome is known."""
        started = self._clock.monotonic()
        active_call = self._active_calls.begin(request.attempt, request.rank)
        try:
            result = self._check_and_send(request, watch, started)
        finally:
            self._active_calls.end(request.attempt, active_call)
        result = result.with_load(self.load(active_call), _list_usage(active_call))
        failed = result.verdict is not Verdict.ANSWERED or result.status >= 500
        if self._log.should_log(request.attempt, failed):
            duration = self._clock.monotonic() - started
            self._log_forward(request, result, duration, failed)
        return result

    def _log_forward(
        self,
        request: ForwardRequest,
        result: ForwardResult,
        duration: timedelta,
        failed: bool,
    ) -> None:
        load = result.load
        content = digest_content(request.head, request.body).hex() if failed else ""
        self._log.write(
            "forward:done",
            request.attempt,
            verdict=result.verdict.name.lower(),
            reason=result.reason.name.lower(),
            detail=result.detail,
            status=result.status,
            took_ms=duration / _MILLISECOND,
            remaining_ms=request.remaining / _MILLISECOND,
            max_wait_ms=request.max_wait / _MILLISECOND,
            rank=request.rank.root,
            depth=request.rank.depth,
            in_flight=load.in_flight,
            limit=load.limit,
            queue_wait_ms=load.queue_wait / _MILLISECOND,
            call_time_ms=load.call_time / _MILLISECOND,
            level=load.level,
            version=load.version,
            content=content,
            instance=self._registration.instance(),
        )

    def _check_and_send(
        self, request: ForwardRequest, watch: Watch, now: timedelta
    ) -> ForwardResult:
        standing = self.quarantine.check(request.head, request.body)
        if standing is Standing.QUARANTINED:
            return _refuse_quarantined(request)
        if standing is Standing.SUSPECT or request.crashes:
            result = self._send_suspect(request, watch, now)
        else:
            result = self._admit_and_send(request, False, watch, now)
        if result.verdict is Verdict.ANSWERED and result.status < 500:
            # Also if the call began before a target crashed. A target that answers 504
            # at the deadline may not have got as far as to crash.
            self.quarantine.clear(request.head, request.body)
        return result

    def _send_suspect(
        self, request: ForwardRequest, watch: Watch, now: timedelta
    ) -> ForwardResult:
        """Send a request that may crash the target, while no other such one runs."""
        wait = min(request.remaining - _MIN_REMAINING, request.max_wait)
        if not self._suspect_turn.acquire(timeout=max(0.0, wait.total_seconds())):
            detail = "another suspect of a crash is running"
            return replace(make_not_run(Reason.NO_ROOM), detail=detail)
        try:
            if not watch.is_caller_connected():
                return make_not_run(Reason.CALLER_GONE)
            # The suspect that ran before may have been the same request.
            standing = self.quarantine.check(request.head, request.body)
            if standing is Standing.QUARANTINED:
                return _refuse_quarantined(request)
            return self._admit_and_send(request, True, watch, now)
        finally:
            self._suspect_turn.release()

    def _admit_and_send(
        self, request: ForwardRequest, suspect: bool, watch: Watch, now: timedelta
    ) -> ForwardResult:
        deadline = now + request.remaining
        if request.service != self._registration.service:
            return make_not_run(Reason.OTHER_SERVICE)
        if self.closed:
            return make_not_run(Reason.LEAVING)
        if self._registration.serving_incarnation() is None:
            return make_not_run(self._registration.refusal_reason())
        admission_deadline = min(deadline - _MIN_REMAINING, now + request.max_wait)
        try:
            admission = self._gate.acquire(request.rank, admission_deadline, watch)
        except OSError as error:
            # Queuing takes a descriptor.
            return replace(make_not_run(Reason.NO_ROOM), detail=repr(error))
        self._metrics.record_queue_time(admission.waited)
        if not admission.admitted:
            if admission.caller_gone:
                return make_not_run(Reason.CALLER_GONE)
            retry_after = max(_MIN_RETRY_AFTER, 2 * self._gate.expected_wait())
            return replace(make_not_run(Reason.NO_ROOM), retry_after=retry_after)
        wait = self._apply_rate_limit(request.rank)
        if wait is not None:
            self._gate.release(None)
            detail = f"the target takes {self.rate_limit.rate()} calls a second"
            retry_after = max(_MIN_RETRY_AFTER, wait)
            return replace(
                make_not_run(Reason.NO_ROOM), retry_after=retry_after, detail=detail
            )
        started = self._clock.monotonic()
        ended: timedelta | None = None
        sent = not admission.caller_gone
        try:
            if not sent:
                return make_not_run(Reason.CALLER_GONE)
            result = self._send(request, suspect, deadline, watch)
            ended = self._clock.monotonic()
            sent = _was_sent(result)
            if result.verdict is Verdict.ANSWERED and result.status < 500:
                self._learn_self_time(request, started, ended)
            return result
        finally:
            if ended is None:
                ended = self._clock.monotonic()
            self._gate.release(ended - started if sent else None)

    def _learn_self_time(
        self, request: ForwardRequest, started: timedelta, ended: timedelta
    ) -> None:
        active_call = self._active_calls.find(request.attempt or b"")
        table = self._configuration.current()
        if active_call is None or table is None:
            return
        host, path = parse_destination(request.head)
        route = table.find_route(host, path)
        if route is None:
            return
        warming = self._registration.is_warming()
        if self._warming and not warming:
            self.self_times.reset()  # the target was slow after its start
        self._warming = warming
        duration_s = (ended - started).total_seconds()
        self_time_s = max(0.0, duration_s - active_call.nested_time.total())
        mean_s = self.self_times.add(route.name, self_time_s, ended.total_seconds())
        if mean_s:
            active_call.call_time = timedelta(seconds=mean_s)

    def _apply_rate_limit(self, rank: Rank) -> timedelta | None:
        incarnation = self._registration.serving_incarnation()
        if incarnation != self._limited_incarnation:
            self._limited_incarnation = incarnation
            self.rate_limit.reset()
            self.self_times.reset()
        return self.rate_limit.take(rank)

    def _send(
        self,
        request: ForwardRequest,
        suspect: bool,
        deadline: timedelta,
        watch: Watch,
    ) -> ForwardResult:
        incarnation = self._registration.serving_incarnation()
        if incarnation is None:
            # The target announced its shutdown while the call was queued.
            return make_not_run(self._registration.refusal_reason())
        remaining = deadline - self._clock.monotonic()
        if remaining < _MIN_REMAINING:
            return make_not_run(Reason.TIMED_OUT)
        header_names = self._header_names
        head = b"%s%s: %d\r\n%s: %s\r\n" % (
            request.head,
            header_names.remaining_ms,
            remaining // _MILLISECOND,
            header_names.required_instance,
            incarnation.instance.encode(),
        )
        if request.body or not request.head.startswith((b"GET ", b"HEAD ")):
            head += b"Content-Length: %d\r\n" % len(request.body)
        number = self._running.begin(request, incarnation, suspect)
        try:
            exchange = self._upstream.exchange(
                head + b"\r\n",
                request.body,
                request.attempt,
                request.idempotent,
                watch,
                deadline + _RESPONSE_MARGIN,
            )
            if exchange.outcome is ExchangeOutcome.BROKEN:
                leaving = not self._registration.is_serving()
                if self._running.has_crashed_target(number, leaving):
                    self._upstream.close_idle()
                    detail = f"{incarnation.instance} crashed: {exchange.detail}"
                    reason = self._find_crash_reason(request)
                    return ForwardResult(Verdict.UNKNOWN, reason, detail=detail)
        finally:
            self._running.end(number)
        if exchange.outcome is ExchangeOutcome.ANSWERED:
            self.rate_limit.update(
                find_header(exchange.headers, header_names.rate_limit)
            )
            if find_header(exchange.headers, header_names.leaving) == b"1":
                self._registration.handle_leaving_response(incarnation)
        return classify_exchange(exchange, header_names)

    def _find_crash_reason(self, request: ForwardRequest) -> Reason:
        standing = self.quarantine.check(request.head, request.body)
        quarantined = standing is Standing.QUARANTINED
        return Reason.QUARANTINED if quarantined else Reason.CRASHED


def _was_sent(result: ForwardResult) -> bool:
    """Return whether the target got the call, to go by the result of sending it."""
    return (
        result.verdict is not Verdict.NOT_RUN or result.reason is Reason.TARGET_REFUSED
    )


def _list_usage(active_call: ActiveCall) -> tuple[ServiceUsage, ...]:
    if active_call.usage is None:
        return ()
    entries = list(active_call.usage.items())
    return tuple(ServiceUsage(service, *counts) for service, counts in entries)


def _refuse_quarantined(request: ForwardRequest) -> ForwardResult:
    content = digest_content(request.head, request.body).hex()
    detail = f"targets crashed while they ran the request {content}"
    return replace(
        make_not_run(Reason.QUARANTINED),
        retry_after=_QUARANTINED_RETRY_AFTER,
        detail=detail,
    )
