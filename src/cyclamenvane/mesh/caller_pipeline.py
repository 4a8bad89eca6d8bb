"""Requests that a caller has sent behind one that is being served.

Separate tasks serve them, and their responses are returned in request order.
"""

from __future__ import annotations

from collections import deque
from concurrent.futures import Future
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from .call import CallResult
from .message import Request
from .watch import Signal, WaitResult, Watch

if TYPE_CHECKING:
    from .caller_server import CallerServer

__all__ = ["CallerPipeline"]

_MAX_REQUESTS = 32  # that are served at the same time
_DESCRIPTORS = 2  # of the signals
_WAIT = timedelta(seconds=60)


@dataclass(frozen=True)
class _PendingResult:
    """Result of a request that another task serves."""

    request: Request
    future: Future[CallResult]


@dataclass(frozen=True)
class _Signals:
    """Signals to and from the tasks that serve the requests."""

    cancelled: Signal
    done: Signal


class CallerPipeline:
    """The requests of one connection that are served by other tasks."""

    def __init__(self, caller_server: CallerServer, watch: Watch) -> None:
        self._caller_server = caller_server
        self._watch = watch
        self._pending: deque[_PendingResult] = deque()
        self._signals: _Signals | None = None

    def count(self) -> int:
        """Return how many results are pending."""
        return len(self._pending)

    def is_full(self) -> bool:
        """Return whether no further request is started."""
        return len(self._pending) >= _MAX_REQUESTS

    def start(self, requests: deque[Request]) -> int:
        """Start serving requests, and remove these; return how many."""
        signals = self._signals or (self._open_signals() if requests else None)
        started = 0
        while signals is not None and requests and not self.is_full():
            request = requests.popleft()
            future = self._caller_server.executor.submit(
                self._serve, request, signals.cancelled
            )
            # Set only once the future is done: `take` checks `done()` after it wakes
            # and would wait again otherwise.
            future.add_done_callback(lambda _: signals.done.set())
            self._pending.append(_PendingResult(request, future))
            started += 1
        return started

    def take(self) -> tuple[Request, CallResult] | None:
        """Wait for the first pending result; return None if the caller disconnects."""
        pending, signals = self._pending[0], self._signals
        if pending.future.cancel():
            # No task was free for it, and all of them may wait for such requests.
            self._pending.popleft()
            request = pending.request
            return request, self._caller_server.handle(request, self._watch)
        while signals is not None and not pending.future.done():
            until = self._caller_server.clock.monotonic() + _WAIT
            wait_result = self._watch.wait(signals.done.descriptor, until)
            if wait_result is WaitResult.CALLER_GONE:
                return None
            signals.done.clear()
        self._pending.popleft()
        return pending.request, pending.future.result()

    def close(self) -> None:
        """Cancel the calls that are still served."""
        if self._signals is not None:
            self._signals.cancelled.set()
            self._caller_server.descriptors.give_back(_DESCRIPTORS)
        for pending in self._pending:
            if pending.future.cancel():
                pending.request.release()
            else:
                pending.future.add_done_callback(_release_result)

    def _open_signals(self) -> _Signals | None:
        """Return the signals; without descriptors, requests are served in turn."""
        descriptors = self._caller_server.descriptors
        if not descriptors.take(_DESCRIPTORS):
            return None
        try:
            self._signals = _Signals(Signal(), Signal())
        except OSError as error:
            descriptors.give_back(_DESCRIPTORS)
            self._caller_server.reporter.report_no_descriptor(error)
        return self._signals

    def _serve(self, request: Request, cancelled: Signal) -> CallResult:
        watch = Watch(self._caller_server.clock, cancelled.descriptor, lambda: False)
        return self._caller_server.handle(request, watch)


def _release_result(future: Future[CallResult]) -> None:
    if future.exception() is None:
        future.result().release()
