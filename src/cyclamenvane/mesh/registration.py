"""The state of the local target, as reported by its heartbeats.

Heartbeats are ordered by the target's start time and by sequence, not by arrival.
Once a target has announced its shutdown, late heartbeats of the same incarnation do not
make it serving again. For a short time after the announcement it still gets calls:
those already on their way to it, and those for which there is no other target.

An earlier process of the node may have acknowledged that a target leaves. Until
`restore` says what it has recorded, heartbeats are taken, but no target is known.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import TYPE_CHECKING

from .forward import Reason
from .model import Address, Heartbeat, Incarnation

if TYPE_CHECKING:
    from ..clock import Clock
    from .model import MeshSettings, NodeRecord

__all__ = ["HeartbeatResult", "Registration", "TargetState"]

# The part of the drain timeout in which a target that has announced its shutdown still
# gets calls. The rest covers a node that is delayed between its last check and sending.
_DRAIN_CALL_SHARE = 0.5
_MAX_ANNOUNCED_SHUTDOWNS = 64  # of incarnations whose late heartbeats are recognised


@dataclass(frozen=True, slots=True)
class TargetState:
    """The newest heartbeat, and whether the target has announced its shutdown.

    `deregistered` is set by the target's deregistration (DELETE) or by
    `restore`, `leaving` by a response. `accepts_calls_until` is the
    monotonic time until which a target that has announced its shutdown still gets
    calls.
    """

    heartbeat: Heartbeat
    deregistered: bool
    accepts_calls_until: timedelta = timedelta()
    leaving: bool = False

    @property
    def serving(self) -> bool:
        """Whether the target has not announced its shutdown in any way."""
        announced = self.deregistered or self.leaving or self.heartbeat.draining
        return not announced


@dataclass(frozen=True, slots=True)
class HeartbeatResult:
    """Whether a heartbeat was accepted, and the reason if it was not.

    One that `is_foreign` is not from the target of this node.
    """

    accepted: bool
    detail: str = ""
    is_foreign: bool = False


class Registration:
    """Tracks the state of the local target."""

    def __init__(
        self,
        service: str,
        address: Address,
        drain_timeout: timedelta,
        clock: Clock,
        on_change: Callable[[TargetState], None],
    ) -> None:
        self.service = service
        self.drain_timeout = drain_timeout
        self._address = address
        self._clock = clock
        self._on_change = on_change
        self._state: TargetState | None = None
        self._warm_at = timedelta()
        # By instance, up to which start time its incarnations have ended.
        self._announced_shutdowns: dict[str, int] = {}
        self._unidentified_shutdowns: dict[str, int] = {}
        # The newest incarnation of an earlier process, or of earlier settings.
        self._earlier: Incarnation | None = None
        self._restored = threading.Event()
        self._lock = threading.Lock()

    def reconfigure(self, settings: MeshSettings) -> None:
        """Apply changed settings; another service or address discards the state."""
        service, address = settings.service, settings.target
        with self._lock:
            self.drain_timeout = settings.drain_timeout
            if (service, address) != (self.service, self._address):
                self.service, self._address = service, address
                if self._state is not None:
                    self._earlier = self._state.heartbeat.incarnation
                self._state = None

    def state(self) -> TargetState | None:
        """Return the state of the target, None before it is known."""
        return self._state if self._restored.is_set() else None

    def instance(self) -> str:
        """Return the name of the target's instance, empty before it is known."""
        state = self.state()
        return state.heartbeat.incarnation.instance if state is not None else ""

    def is_serving(self) -> bool:
        """Return whether the target is known and has not announced its shutdown."""
        state = self.state()
        return state is not None and state.serving

    def is_warming(self) -> bool:
        """Return whether the target is still slow after its start, as it has said."""
        return self._clock.monotonic() < self._warm_at

    def serving_incarnation(self) -> Incarnation | None:
        """Return the incarnation that calls may be sent to, if any."""
        state = self.state()
        if state is None:
            return None
        if not state.serving and self._clock.monotonic() >= state.accepts_calls_until:
            return None
        return state.heartbeat.incarnation

    def refusal_reason(self) -> Reason:
        """Return the reason for which the target gets no new calls."""
        return Reason.NO_TARGET if self.state() is None else Reason.LEAVING

    def handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResult:
        """Apply a heartbeat, unless it is late or from another target."""
        if heartbeat.service != self.service or heartbeat.address != self._address:
            detail = "not from the target of this node"
            return HeartbeatResult(False, detail, is_foreign=True)
        with self._lock:
            detail = self._check_heartbeat(heartbeat)
            if detail:
                return HeartbeatResult(False, detail)
            before = self._state
            until, leaving = timedelta(), False
            if before is not None:
                known = before.heartbeat.incarnation
                if known == heartbeat.incarnation:
                    # A healthy heartbeat does not revoke what a response said.
                    until, leaving = before.accepts_calls_until, before.leaving
                else:
                    # It has ended, since another one has its address.
                    self._add_announced_shutdown(known)
            if heartbeat.draining:
                until = self._compute_accepts_calls_until(heartbeat.incarnation)
                self._add_announced_shutdown(heartbeat.incarnation)
            self._state = TargetState(heartbeat, False, until, leaving)
            self._warm_at = self._clock.monotonic() + heartbeat.warmup
        if before is None or _is_relevant_change(before, self._state):
            self._report_change()
        return HeartbeatResult(True)

    def handle_leaving_response(self, incarnation: Incarnation) -> None:
        """Apply a response in which the target says that it is leaving."""
        with self._lock:
            state = self._state
            if state is None or state.heartbeat.incarnation != incarnation:
                return
            if not state.serving:
                return
            until = self._compute_accepts_calls_until(incarnation)
            self._state = replace(state, accepts_calls_until=until, leaving=True)
        self._report_change()

    def handle_deregistration(self, instance: str) -> Incarnation | None:
        """Apply the deregistration of a target; return the incarnation that ended.

        The request has no start time to distinguish incarnations by. Return None if no
        incarnation of this instance is known; late heartbeats of those that have
        started so far are ignored then.
        """
        with self._lock:
            state = self._state
            if state is None or state.heartbeat.incarnation.instance != instance:
                ended = self._find_ended(instance)
                if ended is None:
                    now_ms = int(self._clock.now().timestamp() * 1000)
                    _add_bounded(self._unidentified_shutdowns, instance, now_ms)
                    return None
                self._add_announced_shutdown(ended)
                changed = state is None
                if changed:
                    self._state = self._make_ended_state(ended)
            else:
                # A target that has drained exits at once after it deregisters, so it
                # gets no more calls. One that has not drained exits a little later and
                # still gets calls for a short time.
                until = timedelta()
                ended = state.heartbeat.incarnation
                if state.serving:
                    until = self._compute_accepts_calls_until(ended)
                self._add_announced_shutdown(ended)
                changed = not state.deregistered
                self._state = TargetState(state.heartbeat, True, until)
        if changed:
            self._report_change()
        return ended

    def restore(self, record: NodeRecord | None) -> None:
        """Apply the node's stored record, as of now; None if there is none.

        Nothing that an earlier process acknowledged is missing in it.
        """
        if record is not None:
            self.apply_record(record)
        with self._lock:
            is_first = not self._restored.is_set()
            self._restored.set()
        if is_first and self._state is not None:
            self._report_change()

    def wait_until_restored(self, timeout: timedelta) -> bool:
        """Wait for `restore`; return whether it was called."""
        return self._restored.wait(timeout.total_seconds())

    def apply_record(self, record: NodeRecord) -> None:
        """Apply a record of this node by an earlier process, which may be outdated."""
        recorded = record.incarnation
        if recorded is None or record.service != self.service:
            return
        with self._lock:
            before = self._state
            known = before.heartbeat.incarnation if before is not None else None
            if record.leaving or self._has_announced_shutdown(recorded):
                self._add_announced_shutdown(recorded)
                if before is None or known < recorded:
                    self._state = self._make_ended_state(recorded, record.slots)
                elif known == recorded and not before.deregistered:
                    self._state = TargetState(before.heartbeat, deregistered=True)
            elif known is None:
                self._earlier = max(recorded, self._earlier or recorded)
            elif recorded < known:
                self._add_announced_shutdown(recorded)
            changed = self._state is not before
        if changed:
            self._report_change()

    def _find_ended(self, instance: str) -> Incarnation | None:
        """Return the newest known incarnation that a deregistration may be of."""
        announced = self._announced_shutdowns.get(instance)
        if announced is not None:
            return Incarnation(announced, instance)
        recorded = self._earlier
        return recorded if recorded and recorded.instance == instance else None

    def _make_ended_state(
        self, incarnation: Incarnation, slots: int = 0
    ) -> TargetState:
        heartbeat = Heartbeat(
            incarnation,
            self.service,
            self._address,
            zone="",
            slots=slots,
            draining=True,
            sequence=0,
            warmup=timedelta(),
        )
        return TargetState(heartbeat, deregistered=True)

    def _report_change(self) -> None:
        state = self.state()
        if state is not None:
            self._on_change(state)

    def _compute_accepts_calls_until(self, incarnation: Incarnation) -> timedelta:
        """Return until when a target that announces its shutdown still gets calls."""
        state = self._state
        if state is None or state.heartbeat.incarnation != incarnation:
            # An earlier session may have got its announcement, at an unknown time.
            return timedelta()
        if not state.serving:
            return state.accepts_calls_until
        return self._clock.monotonic() + self.drain_timeout * _DRAIN_CALL_SHARE

    def _check_heartbeat(self, heartbeat: Heartbeat) -> str:
        incarnation = heartbeat.incarnation
        if self._has_announced_shutdown(incarnation) and not heartbeat.draining:
            return "the target has announced its shutdown"
        state = self._state
        if state is None:
            return ""
        newest = state.heartbeat
        if incarnation.started_ms < newest.incarnation.started_ms:
            return "sent by an earlier incarnation of the target"
        if incarnation == newest.incarnation:
            if heartbeat.sequence <= newest.sequence:
                return "not newer than the last heartbeat"
            if state.deregistered:
                return "the target was deregistered"
        return ""

    def _has_announced_shutdown(self, incarnation: Incarnation) -> bool:
        instance, started_ms = incarnation.instance, incarnation.started_ms
        return started_ms <= self._announced_shutdowns.get(
            instance, -1
        ) or started_ms <= self._unidentified_shutdowns.get(instance, -1)

    def _add_announced_shutdown(self, incarnation: Incarnation) -> None:
        known = self._announced_shutdowns.get(incarnation.instance, 0)
        newest = max(known, incarnation.started_ms)
        _add_bounded(self._announced_shutdowns, incarnation.instance, newest)


def _add_bounded(shutdowns: dict[str, int], instance: str, started_ms: int) -> None:
    shutdowns[instance] = started_ms
    while len(shutdowns) > _MAX_ANNOUNCED_SHUTDOWNS:
        del shutdowns[next(iter(shutdowns))]


def _is_relevant_change(before: TargetState, after: TargetState) -> bool:
    old, new = before.heartbeat, after.heartbeat
    return (
        before.serving != after.serving
        or old.incarnation != new.incarnation
        or old.slots != new.slots
    )
