"""Counts and logs the outcomes of calls that entered the mesh at this node.

Requests whose connection ends without their responses are counted apart.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING

from .forward import Reason
from .heads import find_header

if TYPE_CHECKING:
    from ..clock import Clock
    from .call import Call, CallResult
    from .log import CallLog
    from .message import Request
    from .metric import Metrics

__all__ = ["CallReporter"]


class CallReporter:
    """Reports each call to metrics and log; `attempt_header` carries its attempt ID."""

    def __init__(
        self,
        metrics: Metrics,
        log: CallLog,
        attempt_header: bytes,
        get_version: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._metrics = metrics
        self._log = log
        self._attempt_header = attempt_header
        self._get_version = get_version
        self._clock = clock

    def report_call(
        self,
        call: Call | None,
        request: Request,
        result: CallResult,
        arrived: timedelta,
    ) -> None:
        """Count the outcome of a call, and log it if the rate limit permits."""
        duration = self._clock.monotonic() - arrived
        self._metrics.record_call(result, duration)
        attempt = find_header(request.headers, self._attempt_header)
        if self._should_log(attempt, result):
            self._log_call(attempt, call, result, duration)

    def report_unanswered(self, requests: int, cause: str, error: str) -> None:
        """Count requests whose connection ended without their responses.

        Those that no caller waits for are in the lines of their calls.
        """
        self._metrics.record_unanswered_requests(cause, requests)
        if error and self._log.should_log(None, failed=True):
            self._log.write("caller:unanswered", None, requests=requests, error=error)

    def report_no_descriptor(self, error: OSError) -> None:
        """Log that requests of a connection are served in turn."""
        if self._log.should_log(None, failed=True):
            self._log.write("caller:no_descriptor", None, error=repr(error))

    def report_evicted_message(self, held: int) -> None:
        """Count a message that was ended to free its memory; `held` is in bytes."""
        self._metrics.record_eviction("memory")
        if self._log.should_log_eviction():
            self._log.write("message:evicted", None, held_bytes=held)

    def report_evicted_connection(self) -> None:
        """Count a connection that was closed to free its descriptor."""
        self._metrics.record_eviction("descriptors")
        if self._log.should_log_eviction():
            self._log.write("connection:evicted", None)

    def report_refused_request(self, status: int, held: int) -> None:
        """Count a request that was refused before it was whole."""
        self._metrics.record_rejected_request(status)
        if self._log.should_log_eviction():
            self._log.write(
                "request:refused", None, status=int(status), held_bytes=held
            )

    def _should_log(self, attempt: bytes | None, result: CallResult) -> bool:
        if result.reason is Reason.UNIDENTIFIED:
            return self._log.should_log_unidentified()
        return self._log.should_log(attempt, failed=result.status >= 400)

    def _log_call(
        self,
        attempt: bytes | None,
        call: Call | None,
        result: CallResult,
        duration: timedelta,
    ) -> None:
        remaining = call.deadline - self._clock.monotonic() if call else timedelta()
        self._log.write(
            "call:done",
            attempt,
            route=call.route.name if call else "",
            priority=call.route.priority if call else -1,
            account=call.account.name if call and call.account else "",
            rank=call.rank.root if call else -1,
            depth=call.rank.depth if call else 0,
            status=int(result.status),
            from_target=result.from_target,
            reason=result.reason.name.lower(),
            detail=result.detail,
            service=result.service,
            node=result.node,
            sends=result.sends,
            took_ms=_to_milliseconds(duration),
            left_ms=_to_milliseconds(remaining),
            retry_after_ms=_to_milliseconds(result.retry_after or timedelta()),
            version=self._get_version(),
        )


def _to_milliseconds(duration: timedelta) -> float:
    return round(duration.total_seconds() * 1000, 1)
