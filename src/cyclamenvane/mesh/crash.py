"""The calls that the local target is running, and its crashes.

A target has crashed if an exchange with it broke off and it accepts no connections any
more, unless it had announced its shutdown. The calls that it was running then are
suspects of having crashed it: only those that were suspects already, if there are any.
"""

from __future__ import annotations

import itertools
import threading
from collections.abc import Callable
from typing import TYPE_CHECKING

import eliot

from .content import digest_content

if TYPE_CHECKING:
    from .forward import ForwardRequest
    from .model import Incarnation
    from .quarantine import Quarantine

__all__ = ["RunningCall", "RunningCalls"]


class RunningCall:
    """A call that was sent to an incarnation of the target."""

    def __init__(
        self, request: ForwardRequest, incarnation: Incarnation, suspect: bool
    ) -> None:
        self.request = request
        self.incarnation = incarnation
        self.suspect = suspect


class RunningCalls:
    """Records crashes of the local target in the quarantine.

    `accepts_connections` returns whether the target does.
    """

    def __init__(
        self, quarantine: Quarantine, accepts_connections: Callable[[], bool]
    ) -> None:
        self._quarantine = quarantine
        self._accepts_connections = accepts_connections
        self._calls: dict[int, RunningCall] = {}
        self._numbers = itertools.count()
        self._crashed: Incarnation | None = None
        self._suspects: frozenset[int] = frozenset()
        self._lock = threading.Lock()

    def begin(
        self, request: ForwardRequest, incarnation: Incarnation, suspect: bool
    ) -> int:
        """Add a call that is about to be sent; return its number."""
        number = next(self._numbers)
        self._calls[number] = RunningCall(request, incarnation, suspect)
        return number

    def end(self, number: int) -> None:
        """Remove a call."""
        del self._calls[number]

    def has_crashed_target(self, number: int, is_leaving: bool) -> bool:
        """Return whether a call that broke off may have crashed the target.

        The first of the calls that break off together records the crash for all.
        """
        incarnation = self._calls[number].incarnation
        if is_leaving:
            return False
        if self._crashed != incarnation:
            if self._accepts_connections():
                return False
            self._record_crash(incarnation)
        return number in self._suspects

    def _record_crash(self, incarnation: Incarnation) -> None:
        with self._lock:
            if self._crashed == incarnation:
                return
            running = {
                number: call
                for number, call in list(self._calls.items())
                if call.incarnation == incarnation
            }
            suspects = {n: call for n, call in running.items() if call.suspect}
            suspects = suspects or running
            contents = {
                digest_content(call.request.head, call.request.body)
                for call in suspects.values()
            }
            self._quarantine.record_crash(contents, incarnation.instance)
            self._suspects = frozenset(suspects)
            self._crashed = incarnation
        eliot.log_message(
            "target:crashed",
            instance=incarnation.instance,
            running=len(running),
            suspects=len(contents),
        )
