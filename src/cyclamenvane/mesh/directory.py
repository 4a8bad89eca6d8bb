"""The known nodes, and the results of recent calls to them.

Node records come from the store and from other nodes. What this node has observed
itself, such as faults, is kept when a record is replaced; `Peer.update_record` names
the exceptions.
"""

from __future__ import annotations

import threading
from datetime import timedelta
from typing import TYPE_CHECKING

import eliot

from ..cost import SpeedBook, TargetLoad, TargetSpeed
from .forward import NO_LOAD, Load
from .outlier import ServiceFailures, TargetFailures

if TYPE_CHECKING:
    from ..clock import Clock
    from .model import NodeRecord

__all__ = ["PeerDirectory", "Peer", "supersedes"]

_INITIAL_BACKOFF = timedelta(milliseconds=500)  # after a node was unreachable
_MAX_BACKOFF = timedelta(seconds=4)
# How long a node that refused a call as leaving is skipped. Shorter than a restart of
# a target or a node, since one premature attempt costs little.
_NOT_SERVING_PAUSE = timedelta(seconds=1)
_LOAD_TTL = timedelta(seconds=1)  # an older load report is ignored
_RECOVERY_CALLS = 3  # answered calls that cancel out one fault
# A target with many faults gets no calls that could cancel them out while others have
# room, so they also expire.
_FAULT_HOLD_S = 5.0  # after the last fault
_FAULT_TTL_S = 10.0  # by which all faults have expired
_WARMUP_TIME = timedelta(seconds=3)  # for which a target is slow after its start


class Peer:
    """One node, its load, and the results of recent calls to it."""

    def __init__(
        self,
        record: NodeRecord,
        clock: Clock,
        fallback_time: timedelta = timedelta.max,
    ) -> None:
        self.record = record
        self.in_flight = 0
        self._faults = 0.0
        self._fault_at_s = 0.0
        self.failures = TargetFailures()
        self._faults_lock = threading.Lock()  # calls end in tasks of their own
        self.speed = TargetSpeed()
        self.reports = TargetLoad()
        self._clock = clock
        self._load = NO_LOAD
        self._load_received_at = timedelta()
        self._sent_since_load = 0
        self._backoff = timedelta()
        self._backoff_until = timedelta()
        self._fallback_time = fallback_time
        self._leaving_session = 0
        self._leaving_since = timedelta()
        self._not_serving_until = timedelta()
        self.warm_at_s = self._compute_warm_at_s()

    def update_record(self, record: NodeRecord) -> None:
        """Apply a newer record; the load and `faults` are kept.

        A new session resets the backoff. A new session or incarnation resets what was
        reported about leaving and about not serving. The speed of a new incarnation is
        learned anew.
        """
        previous = self.record
        self.replace_record(record)
        if record.session != previous.session:
            self.record_reachable()
        if (record.session, record.incarnation) != (
            previous.session,
            previous.incarnation,
        ):
            self._leaving_session = 0
            self._not_serving_until = timedelta()

    def replace_record(self, record: NodeRecord) -> None:
        """Apply a record, of which only a new incarnation has an effect on the rest."""
        previous, self.record = self.record, record
        if record.incarnation != previous.incarnation:
            self.speed.reset()
            self.failures.reset()
            self.warm_at_s = self._compute_warm_at_s()

    def _compute_warm_at_s(self) -> float:
        incarnation = self.record.incarnation
        if incarnation is None:
            return 0.0
        elapsed = self._clock.now().timestamp() - incarnation.started_ms / 1000
        warmup_s = _WARMUP_TIME.total_seconds()
        # Limited, since the clocks of VMs differ.
        remaining_s = min(warmup_s, warmup_s - elapsed)
        return self._clock.monotonic().total_seconds() + remaining_s

    def estimate_load(self, usual: float, now_s: float) -> float:
        """Return the estimated load with one more call, as a share of the limit.

        Without recent reports, it is the `usual` load of the service.
        """
        return self.reports.utilization(
            self.in_flight, self._sent_since_load, self.record.slots, usual, now_s
        )

    def utilization(self, now: timedelta) -> float:
        """Return the estimated load with one more call, as a share of the limit."""
        limit = self.record.slots
        in_flight = self.in_flight
        if now - self._load_received_at <= _LOAD_TTL:
            # The reported load does not include calls sent since the report.
            in_flight = max(in_flight, self._load.in_flight + self._sent_since_load)
            limit = self._load.limit or limit
        return (in_flight + 1) / (limit or 1)

    def is_usable(self, now: timedelta) -> bool:
        """Return whether calls may be sent to the target."""
        if self.record.leaving or self._leaving_session == self.record.session:
            return False
        if now < self.failures.ejected_until:
            return False
        return self.is_usable_as_fallback(now)

    def is_usable_as_fallback(self, now: timedelta) -> bool:
        """Return whether calls may be sent if no other target is usable.

        A node or a target that is shutting down still serves calls for a moment. Its
        own node refuses them afterwards, but it may be slow to do so.
        """
        if self.record.incarnation is None or now < self._not_serving_until:
            return False
        if self._leaving_session == self.record.session:
            if now - self._leaving_since >= self._fallback_time:
                return False
        return now >= self._backoff_until

    def is_unreachable(self) -> bool:
        """Return whether the last attempt to reach the node failed."""
        return bool(self._backoff)

    def is_retry_due(self, now: timedelta) -> bool:
        """Return whether the node is unreachable and its backoff has expired."""
        return bool(self._backoff) and now >= self._backoff_until

    def update_load(self, load: Load, now: timedelta | None = None) -> None:
        """Store the load reported with a forward result, which arrived at `now`."""
        self._load = load
        self._load_received_at = self._clock.monotonic() if now is None else now
        self.reports.update(
            load.in_flight,
            load.limit,
            load.queue_wait.total_seconds() if load.queue_wait else 0.0,
            self._load_received_at.total_seconds(),
        )
        self._sent_since_load = 0
        self.record_reachable()
        if not load.leaving:
            self._leaving_session = 0
        elif self._leaving_session != self.record.session:
            self._leaving_session = self.record.session
            self._leaving_since = self._load_received_at

    def record_sent(self) -> None:
        """Count a call that is being sent."""
        self.in_flight += 1
        self._sent_since_load += 1

    def record_done(self) -> None:
        """Count a call that has ended."""
        self.in_flight -= 1

    def record_not_serving(self) -> None:
        """Record that the node passes no more calls to its local target."""
        self._not_serving_until = self._clock.monotonic() + _NOT_SERVING_PAUSE

    def faults(self, now_s: float) -> float:
        """Return the number of recent faults, less those cancelled out by answers."""
        faults = self._faults
        if not faults:
            return 0.0
        age_s = now_s - self._fault_at_s
        if age_s <= _FAULT_HOLD_S:
            return faults
        if age_s >= _FAULT_TTL_S:
            return 0.0
        return faults * (_FAULT_TTL_S - age_s) / (_FAULT_TTL_S - _FAULT_HOLD_S)

    def record_fault(self) -> None:
        """Record a call that failed at the target."""
        now_s = self._clock.monotonic().total_seconds()
        with self._faults_lock:
            self._faults = min(self.faults(now_s) + 1.0, _RECOVERY_CALLS * 4)
            self._fault_at_s = now_s

    def record_success(self) -> None:
        """Record a call that the target answered."""
        if self._faults:
            with self._faults_lock:
                self._faults = max(0.0, self._faults - 1 / _RECOVERY_CALLS)

    def record_unreachable(self) -> bool:
        """Start a backoff, twice as long as the one before, up to a maximum.

        Returns False if a backoff is already running: concurrent calls fail
        together and count as one attempt.
        """
        now = self._clock.monotonic()
        if now < self._backoff_until:
            return False
        doubled = self._backoff * 2 if self._backoff else _INITIAL_BACKOFF
        self._backoff = min(doubled, _MAX_BACKOFF)
        self._backoff_until = now + self._backoff
        return True

    def record_reachable(self) -> None:
        """Reset the backoff after the node answered."""
        self._backoff = self._backoff_until = timedelta()


class PeerDirectory:
    """All known nodes except the local one, by name and by service.

    A node whose target is leaving is used for `fallback_time` at most after it has
    reported that, if no other target is usable.
    """

    def __init__(
        self,
        local_node: str,
        clock: Clock,
        fallback_time: timedelta = timedelta.max,
    ) -> None:
        self.speeds = SpeedBook()
        self._failures: dict[str, ServiceFailures] = {}
        self._local_node = local_node
        self._clock = clock
        self._fallback_time = fallback_time
        self._peers: dict[str, Peer] = {}
        self._peers_by_service: dict[str, list[Peer]] = {}
        self._expires_at: dict[str, timedelta] = {}
        self._lock = threading.Lock()

    def apply(self, record: NodeRecord) -> bool:
        """Apply a record; return False if it is not newer than the stored one."""
        if record.node == self._local_node:
            return False
        with self._lock:
            peer = self._peers.get(record.node)
            if peer is None:
                self._peers[record.node] = Peer(
                    record, self._clock, self._fallback_time
                )
            elif not supersedes(record, peer.record):
                return False
            else:
                peer.update_record(record)
            self._rebuild_index()
        return True

    def remove(self, node: str) -> bool:
        """Remove a node whose record was deleted; return whether it was known."""
        with self._lock:
            removed = self._peers.pop(node, None)
            self._expires_at.pop(node, None)
            self._rebuild_index()
        return removed is not None

    def expire(self, node: str, wait: timedelta) -> None:
        """Remove a node after `wait`, unless `keep` is called before.

        A node that is to be removed already keeps its time.
        """
        with self._lock:
            self._expires_at.setdefault(node, self._clock.monotonic() + wait)

    def keep(self, node: str) -> None:
        """Do not remove a node that was to expire."""
        if node in self._expires_at:
            with self._lock:
                self._expires_at.pop(node, None)

    def remove_expired(self) -> None:
        """Remove the nodes whose time is up."""
        now = self._clock.monotonic()
        with self._lock:
            expired = [node for node, at in self._expires_at.items() if at <= now]
            # In the same turn: a record that comes in later adds its node again.
            for node in expired:
                self._peers.pop(node, None)
                del self._expires_at[node]
            if expired:
                self._rebuild_index()
        for node in expired:
            eliot.log_message("node:removed", node=node)

    def now_s(self) -> float:
        """Return the time to which the ages of what is known of nodes refer."""
        return self._clock.monotonic().total_seconds()

    def peers(self) -> list[Peer]:
        """Return all nodes except the local one."""
        return list(self._peers.values())

    def find(self, node: str) -> Peer | None:
        """Return a node by its name, None if it is not known."""
        return self._peers.get(node)

    def peers_of(self, service: str) -> list[Peer]:
        """Return the nodes whose targets belong to the service."""
        return self._peers_by_service.get(service, [])

    def failures_of(self, service: str) -> ServiceFailures:
        """Return how often the targets of the service fail."""
        failures = self._failures.get(service)
        if failures is None:
            failures = self._failures[service] = ServiceFailures()
        return failures

    def _rebuild_index(self) -> None:
        index: dict[str, list[Peer]] = {}
        for peer in self._peers.values():
            index.setdefault(peer.record.service, []).append(peer)
        self._peers_by_service = index


def supersedes(record: NodeRecord, known: NodeRecord) -> bool:
    """Return whether a record is newer than one of the same node."""
    if record.session != known.session:
        return record.session > known.session
    old, new = known.incarnation, record.incarnation
    if old is not None and (new is None or new < old):
        return False
    if old == new and known.leaving:
        return False
    return record != known
