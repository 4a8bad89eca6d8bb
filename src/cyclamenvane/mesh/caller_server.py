"""HTTP server for callers and for the outgoing calls of the local target.

One task serves a connection, see `mesh.caller_session`.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from concurrent.futures import Executor
from datetime import timedelta
from http import HTTPStatus
from typing import TYPE_CHECKING

from .call import Call, CallResult
from .caller_session import CallerSession
from .forward import Reason
from .heads import HeaderNames
from .in_flight import InFlightCounter
from .message import Request
from .watch import Watch

if TYPE_CHECKING:
    from ..clock import Clock
    from .configuration import CurrentConfiguration
    from .descriptors import DescriptorShare
    from .memory import MemoryBudget
    from .metric import Metrics
    from .report import CallReporter

__all__ = ["CallerServer"]


class CallerServer:
    """Serves the HTTP connections of one listener."""

    def __init__(
        self,
        dispatch: Callable[[Call, Watch], CallResult],
        configuration: CurrentConfiguration,
        header_names: HeaderNames,
        make_call: Callable[[Request, timedelta], Call | CallResult],
        executor: Executor,
        memory: MemoryBudget,
        descriptors: DescriptorShare,
        clock: Clock,
        metrics: Metrics,
        reporter: CallReporter,
    ) -> None:
        self.dispatch = dispatch
        self.configuration = configuration
        self.header_names = header_names
        self.make_call = make_call
        self.executor = executor
        self.memory = memory
        self.descriptors = descriptors
        self.clock = clock
        self.metrics = metrics
        self.reporter = reporter
        self.draining = False
        self.in_flight = InFlightCounter()

    def open_session(self, sock: socket.socket) -> CallerSession:
        """Return a session for a connection opened by a caller."""
        return CallerSession(self, sock)

    def handle(self, request: Request, watch: Watch) -> CallResult:
        """Dispatch one request; return its result."""
        arrived = self.clock.monotonic()
        try:
            call = self.make_call(request, arrived)
            if isinstance(call, Call):
                result = self._dispatch(call, watch)
                self.reporter.report_call(call, request, result, arrived)
            else:
                result = call
                self.reporter.report_call(None, request, result, arrived)
            return result
        finally:
            request.release()

    def _dispatch(self, call: Call, watch: Watch) -> CallResult:
        try:
            return self.dispatch(call, watch)
        except OSError as error:
            # Such as a want of descriptors. The caller's connection is sound.
            return _make_failed_result(error)


def _make_failed_result(error: OSError) -> CallResult:
    # It is not known whether the call was run before the error.
    status, detail = HTTPStatus.BAD_GATEWAY, repr(error)
    return CallResult(status, reason=Reason.BROKEN, detail=detail)
