"""Which calls a stopping node still serves.

A call that outlasts its process ends without an answer, and may have run. Root calls
are served until failed readiness probes have sent callers to other nodes. A nested call
belongs to a root that is served already: later, it is served if it can end in time.

    shutdown = plan_shutdown(now, grace_period)
    shutdown.admits(call, now)
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .call import Call

__all__ = [
    "DRAIN_POLL_INTERVAL",
    "LEAVING_PROPAGATION_TIME",
    "Shutdown",
    "plan_shutdown",
]

LEAVING_PROPAGATION_TIME = timedelta(milliseconds=500)  # for nodes to select others
DRAIN_POLL_INTERVAL = timedelta(milliseconds=100)

# Callers use other nodes after two failed readiness probes, sent once a second.
_READINESS_PROPAGATION_TIME = timedelta(seconds=2.5)
# After the last root calls; the calls of their first runs follow within this time.
_NESTED_DRAIN_TIME = timedelta(milliseconds=500)
_EXIT_MARGIN = timedelta(milliseconds=700)  # before the platform kills the process
_ANSWER_MARGIN = timedelta(milliseconds=200)  # before the process exits


@dataclass(frozen=True)
class Shutdown:
    """The last times of a stopping node, in monotonic time.

    All root calls are served until `roots_until`, and all nested calls until
    `nested_until`. Each call is answered by `ends_at`, and the process exits by
    `exits_at`.
    """

    roots_until: timedelta
    nested_until: timedelta
    ends_at: timedelta
    exits_at: timedelta

    def admits(self, call: Call, now: timedelta) -> bool:
        """Return whether to serve a call that begins now."""
        if not call.rank.depth:
            return now < self.roots_until
        return now < self.nested_until or call.deadline <= self.ends_at

    def limit(self, call: Call) -> Call:
        """Return the call with a deadline before the end of the process."""
        if call.deadline <= self.ends_at:
            return call
        return replace(call, deadline=self.ends_at)


def plan_shutdown(now: timedelta, grace_period: timedelta) -> Shutdown:
    """Return the times of a node that begins to stop now."""
    roots_until = now + min(_READINESS_PROPAGATION_TIME, grace_period / 2)
    exits_at = now + grace_period - _EXIT_MARGIN
    return Shutdown(
        roots_until,
        roots_until + _NESTED_DRAIN_TIME,
        exits_at - _ANSWER_MARGIN,
        exits_at,
    )
