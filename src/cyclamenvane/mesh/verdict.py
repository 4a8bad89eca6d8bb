"""The forward result of an exchange with a target."""

from __future__ import annotations

from dataclasses import replace

from .forward import ForwardResult, Reason, Verdict
from .heads import HeaderNames, find_header, is_rejection, render_response_head
from .upstream import ExchangeOutcome, ExchangeResult

__all__ = ["classify_exchange", "make_not_run"]


def make_not_run(reason: Reason) -> ForwardResult:
    """Return the result of a call that was certainly not run."""
    return ForwardResult(Verdict.NOT_RUN, reason)


def classify_exchange(
    exchange: ExchangeResult, header_names: HeaderNames
) -> ForwardResult:
    """Return the result of an exchange, whether the target answered or not."""
    if exchange.outcome is ExchangeOutcome.NOT_SENT:
        return replace(make_not_run(Reason.NO_TARGET), detail=exchange.detail)
    if exchange.outcome is ExchangeOutcome.CALLER_GONE:
        return ForwardResult(Verdict.UNKNOWN, Reason.CALLER_GONE)
    if exchange.outcome is ExchangeOutcome.TIMED_OUT:
        return ForwardResult(Verdict.UNKNOWN, Reason.TIMED_OUT)
    if exchange.outcome is ExchangeOutcome.BROKEN:
        return ForwardResult(Verdict.UNKNOWN, Reason.BROKEN, detail=exchange.detail)
    result = _classify_response(exchange, header_names)
    if exchange.reservation is not None and result.reservation is None:
        exchange.reservation.close()  # the response is not passed on
    return result


def _classify_response(
    exchange: ExchangeResult, header_names: HeaderNames
) -> ForwardResult:
    status, headers = exchange.status, exchange.headers
    if is_rejection(status, headers, header_names):
        detail = f"target answered {status}"
        return replace(
            make_not_run(Reason.TARGET_REFUSED), status=status, detail=detail
        )
    signed = find_header(headers, header_names.signature) is not None
    if 200 <= status < 300 and not signed:
        return ForwardResult(Verdict.UNKNOWN, Reason.BROKEN, detail="no signature")
    head = render_response_head(status, headers, len(exchange.body))
    return ForwardResult(
        Verdict.ANSWERED,
        status=status,
        head=head,
        body=exchange.body,
        reservation=exchange.reservation,
    )
