"""The last hop: an order is admitted, sent to the target, and judged.

Only the node beside a target reaches it. So this module alone decides whether
the target is given a call, and its word that a call was not run is final.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from http import HTTPStatus
from typing import TYPE_CHECKING

from .gate import Gate
from .heads import HeaderNames, find_header, render_answer_head
from .order import Delivery, Load, Order, Reason, Verdict
from .rank import Run, Runs
from .upstream import Exchange, ExchangeEnd, Upstream
from .watch import Watch

if TYPE_CHECKING:
    from ..clock import Clock
    from .log import CallLog
    from .metric import Metrics
    from .registration import Registration

__all__ = ["Courier"]

# The target's own answer at the deadline, and its way back, are awaited so long.
_ANSWER_MARGIN = timedelta(milliseconds=30)
_LEAST_TIME = timedelta(milliseconds=5)  # less would be thrown away at the target
_LEAST_RETRY = timedelta(milliseconds=100)
_MILLISECOND = timedelta(milliseconds=1)


class Courier:
    """Brings orders to the target beside the node."""

    def __init__(
        self,
        registration: Registration,
        gate: Gate,
        runs: Runs,
        upstream: Upstream,
        names: HeaderNames,
        clock: Clock,
        metrics: Metrics,
        version: Callable[[], int],
        log: CallLog,
    ) -> None:
        self._registration = registration
        self._gate = gate
        self._runs = runs
        self._upstream = upstream
        self._names = names
        self._clock = clock
        self._metrics = metrics
        self._version = version
        self._log = log
        # Other nodes are told to send no more; then orders are refused.
        self.leaving = False
        self.closed = False

    def load(self, run: Run | None = None) -> Load:
        """Return what other nodes are told of the target now.

        With a run, its level counts what the run's own calls have met.
        """
        gate = self._gate.load()
        level = self._gate.level()
        return Load(
            gate.in_flight + gate.waiting,
            gate.limit,
            min(level, run.level()) if run else level,
            self._version(),
            self.leaving or not self._registration.is_serving(),
        )

    def deliver(self, order: Order, watch: Watch) -> Delivery:
        """Serve an order; blocks until its outcome is known."""
        began = self._clock.monotonic()
        run = self._runs.begin(order.attempt, order.rank)
        try:
            delivery = self._serve(order, watch, began)
        finally:
            self._runs.end(order.attempt)
        delivery = replace(delivery, load=self.load(run))
        failed = delivery.verdict is not Verdict.ANSWERED or delivery.status >= 500
        if self._log.wants(order.attempt, failed):
            self._log_order(order, delivery, self._clock.monotonic() - began)
        return delivery

    def _log_order(self, order: Order, delivery: Delivery, took: timedelta) -> None:
        load = delivery.load
        self._log.write(
            "order:done",
            order.attempt,
            verdict=delivery.verdict.name.lower(),
            reason=delivery.reason.name.lower(),
            detail=delivery.detail,
            status=delivery.status,
            took_ms=took / _MILLISECOND,
            remaining_ms=order.remaining / _MILLISECOND,
            longest_wait_ms=order.longest_wait / _MILLISECOND,
            rank=order.rank.root,
            depth=order.rank.depth,
            in_flight=load.in_flight,
            limit=load.limit,
            level=load.level,
            version=load.version,
        )

    def _serve(self, order: Order, watch: Watch, now: timedelta) -> Delivery:
        deadline = now + order.remaining
        if order.service != self._registration.service:
            return _not_run(Reason.OTHER_SERVICE)
        if self.closed:
            return _not_run(Reason.LEAVING)
        if self._registration.serving_incarnation() is None:
            return _not_run(self._registration.refusal())
        until = min(deadline - _LEAST_TIME, now + order.longest_wait)
        entry = self._gate.enter(order.rank, until, watch)
        self._metrics.note_queue(entry.waited)
        if not entry.admitted:
            if entry.caller_gone:
                return _not_run(Reason.CALLER_GONE)
            wait = max(_LEAST_RETRY, 2 * self._gate.expected_wait())
            return replace(_not_run(Reason.NO_ROOM), not_before=wait)
        started = self._clock.monotonic()
        try:
            if entry.caller_gone:
                return _not_run(Reason.CALLER_GONE)
            return self._send(order, deadline, watch)
        finally:
            self._gate.leave(self._clock.monotonic() - started)

    def _send(self, order: Order, deadline: timedelta, watch: Watch) -> Delivery:
        incarnation = self._registration.serving_incarnation()
        if incarnation is None:
            # The target announced its end while the call waited.
            return _not_run(self._registration.refusal())
        remaining = deadline - self._clock.monotonic()
        if remaining < _LEAST_TIME:
            return _not_run(Reason.TIMED_OUT)
        names = self._names
        head = b"%s%s: %d\r\n%s: %s\r\n" % (
            order.head,
            names.remaining_ms,
            remaining // _MILLISECOND,
            names.required_instance,
            incarnation.instance.encode(),
        )
        if order.body or not order.head.startswith((b"GET ", b"HEAD ")):
            head += b"Content-Length: %d\r\n" % len(order.body)
        exchange = self._upstream.exchange(
            head + b"\r\n",
            order.body,
            order.attempt,
            order.repeatable,
            watch,
            deadline + _ANSWER_MARGIN,
        )
        return self._judge(exchange)

    def _judge(self, exchange: Exchange) -> Delivery:
        if exchange.end is ExchangeEnd.NOT_SENT:
            return replace(_not_run(Reason.NO_TARGET), detail=exchange.detail)
        if exchange.end is ExchangeEnd.CALLER_GONE:
            return Delivery(Verdict.UNKNOWN, Reason.CALLER_GONE)
        if exchange.end is ExchangeEnd.TIMED_OUT:
            return Delivery(Verdict.UNKNOWN, Reason.TIMED_OUT)
        if exchange.end is ExchangeEnd.BROKEN:
            return Delivery(Verdict.UNKNOWN, Reason.BROKEN, detail=exchange.detail)
        return self._judge_answer(exchange)

    def _judge_answer(self, exchange: Exchange) -> Delivery:
        status, headers = exchange.status, exchange.headers
        if find_header(headers, self._names.not_run) is not None or (
            status == HTTPStatus.MISDIRECTED_REQUEST
        ):
            detail = f"target answered {status}"
            return replace(
                _not_run(Reason.TARGET_REFUSED), status=status, detail=detail
            )
        signed = find_header(headers, self._names.signature) is not None
        if 200 <= status < 300 and not signed:
            return Delivery(Verdict.UNKNOWN, Reason.BROKEN, detail="no signature")
        head = render_answer_head(status, headers, len(exchange.body))
        return Delivery(Verdict.ANSWERED, status=status, head=head, body=exchange.body)


def _not_run(reason: Reason) -> Delivery:
    return Delivery(Verdict.NOT_RUN, reason)
