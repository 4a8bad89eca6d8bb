"""What the node knows of the target beside it, from the target's heartbeats.

Heartbeats are ordered by the target's own start and sequence, never by arrival.
Once a target has announced its end, nothing that the same incarnation sent
before brings it back. For a moment after the announcement it is still given calls:
those that were on their way to it, and those that have no other target.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from .order import Reason

if TYPE_CHECKING:
    from ..clock import Clock
    from .model import Address, Heartbeat, Incarnation

__all__ = ["HeartbeatVerdict", "Registration", "TargetState"]

# Of the time in which calls may reach a target that has announced its end. The
# rest is for a node that is held up between its last look and the sending.
_DRAIN_SHARE = 0.5
_OLD_INCARNATIONS = 64  # ended ones whose late heartbeats are recognised


@dataclass(frozen=True, slots=True)
class TargetState:
    """The newest heartbeat, and whether the target has announced its end.

    `last_calls_until` is the time until which a target that has announced its end
    is still given calls.
    """

    heartbeat: Heartbeat
    ended: bool
    last_calls_until: timedelta = timedelta()

    @property
    def serving(self) -> bool:
        """Whether the target has not announced its end."""
        return not self.ended and not self.heartbeat.draining


@dataclass(frozen=True, slots=True)
class HeartbeatVerdict:
    """Whether a heartbeat was taken, and why not."""

    taken: bool
    detail: str = ""


class Registration:
    """The target beside the node."""

    def __init__(
        self,
        service: str,
        address: Address,
        drain: timedelta,
        clock: Clock,
        on_change: Callable[[TargetState], None],
    ) -> None:
        self.service = service
        self.drain = drain
        self._address = address
        self._clock = clock
        self._on_change = on_change
        self._state: TargetState | None = None
        self._ended: dict[str, int] = {}
        self._lock = threading.Lock()

    def move(self, service: str, address: Address) -> None:
        """Expect heartbeats of another service or address from now on."""
        with self._lock:
            if (service, address) != (self.service, self._address):
                self.service, self._address = service, address
                self._state = None

    def state(self) -> TargetState | None:
        """Return what is known of the target."""
        return self._state

    def is_serving(self) -> bool:
        """Return whether the target is there and has not announced its end."""
        state = self._state
        return state is not None and state.serving

    def serving_incarnation(self) -> Incarnation | None:
        """Return the incarnation that calls may be sent to, if any."""
        state = self._state
        if state is None:
            return None
        if not state.serving and self._clock.monotonic() >= state.last_calls_until:
            return None
        return state.heartbeat.incarnation

    def refusal(self) -> Reason:
        """Return why the target takes no new calls."""
        return Reason.NO_TARGET if self._state is None else Reason.LEAVING

    def note_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatVerdict:
        """Take a heartbeat, unless it is late or not of this node's target."""
        if heartbeat.service != self.service or heartbeat.address != self._address:
            return HeartbeatVerdict(False, "not the target of this node")
        with self._lock:
            detail = self._find_fault(heartbeat)
            if detail:
                return HeartbeatVerdict(False, detail)
            before = self._state
            until = timedelta()
            if heartbeat.draining:
                until = self._find_last_calls(heartbeat.incarnation)
                self._remember_end(heartbeat.incarnation)
            self._state = TargetState(heartbeat, False, until)
        if before is None or _differs(before, self._state):
            self._on_change(self._state)
        return HeartbeatVerdict(True)

    def note_end(self, instance: str) -> bool:
        """Take a target's word that it ends; return whether it was known."""
        with self._lock:
            state = self._state
            if state is None or state.heartbeat.incarnation.instance != instance:
                # Without its start a later incarnation cannot be told apart; all
                # that are known by now under this id have ended.
                self._ended.setdefault(instance, 0)
                return False
            # A target that has drained exits now; one that has not, a little later.
            until = timedelta()
            if state.serving:
                until = self._find_last_calls(state.heartbeat.incarnation)
            self._remember_end(state.heartbeat.incarnation)
            changed = not state.ended
            self._state = TargetState(state.heartbeat, True, until)
        if changed:
            self._on_change(self._state)
        return True

    def restore_end(self, incarnation: Incarnation) -> None:
        """Take it from an earlier run of the node that a target has ended."""
        with self._lock:
            self._remember_end(incarnation)
            state = self._state
            ended = state is not None and state.heartbeat.incarnation == incarnation
            if ended:
                self._state = TargetState(state.heartbeat, ended=True)
        if ended:
            self._on_change(self._state)

    def _find_last_calls(self, incarnation: Incarnation) -> timedelta:
        """Return until when a target that announces its end is given calls."""
        state = self._state
        if state is None or state.heartbeat.incarnation != incarnation:
            # It may have told an earlier run of the node, nobody knows when.
            return timedelta()
        if not state.serving:
            return state.last_calls_until
        return self._clock.monotonic() + self.drain * _DRAIN_SHARE

    def _find_fault(self, heartbeat: Heartbeat) -> str:
        incarnation = heartbeat.incarnation
        ended = self._ended.get(incarnation.instance)
        if ended == 0 and not heartbeat.draining:
            self._ended[incarnation.instance] = incarnation.born_ms
            return "the target has ended"
        if ended is not None and incarnation.born_ms <= ended:
            if not heartbeat.draining:
                return "the target has announced its end"
        known = self._state
        if known is None:
            return ""
        newest = known.heartbeat
        if incarnation.born_ms < newest.incarnation.born_ms:
            return "sent by an earlier incarnation"
        if incarnation == newest.incarnation:
            if heartbeat.sequence <= newest.sequence:
                return "late"
            if known.ended:
                return "the target has ended"
        return ""

    def _remember_end(self, incarnation: Incarnation) -> None:
        self._ended[incarnation.instance] = incarnation.born_ms
        while len(self._ended) > _OLD_INCARNATIONS:
            del self._ended[next(iter(self._ended))]


def _differs(before: TargetState, after: TargetState) -> bool:
    old, new = before.heartbeat, after.heartbeat
    return (
        before.serving != after.serving
        or old.incarnation != new.incarnation
        or old.slots != new.slots
    )
