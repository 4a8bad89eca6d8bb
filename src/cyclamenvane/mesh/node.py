"""A mesh node: its parts put together, started and stopped.

node = MeshNode(settings, adapter, SystemClock())
node.start()
node.stop()
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import eliot
from expression import Result

from ..task import TaskPool
from .acceptor import Acceptor
from .admin import AdminApplication, AdminDialect, AdminServer
from .budget import RetryBudget
from .configuration import CurrentConfiguration
from .delivery import Courier
from .directory import Directory
from .dispatch import Call, Dispatcher, Reply
from .entrance import Entrance
from .gate import Gate
from .hosting import Host
from .levels import RouteLevels
from .liaison import Liaison
from .log import CallLog
from .memory import BodyMemory
from .message import HeaderNames, Request, find_header
from .metric import Metrics
from .model import Address, Configuration, MeshSettings, NodeRecord, Route
from .parking import Parking
from .pause import Lifetime
from .peering import PeerPool
from .publication import NODES_TABLE, Publication, decode_record
from .rank import Rank, Run, Runs, rank_root
from .registration import Registration, TargetState
from .rows import RowChange, RowStore, StoredRow
from .subscription import Subscription
from .upstream import Upstream

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["MeshAdapter", "MeshNode"]

_BODY_SHARE = 0.25  # of the process's memory, for bodies that are being read
_THREADS = 512  # about 100 KB each; calls beyond wait for a free one
_LISTENER_SHARE = 0.35  # of the descriptors, for each listener's connections
# Callers are sent elsewhere after two unanswered questions for readiness, which
# come once a second.
_NOTICE = timedelta(seconds=2.5)
_LEAVE = timedelta(milliseconds=500)  # for other nodes' orders to name another target
_EXIT_MARGIN = timedelta(milliseconds=700)  # before the platform kills the process
_GATHER = timedelta(milliseconds=60)  # changes that come together are read together
_READ_SHARE = 0.33  # of the store's reads, for the records of nodes
_POLL = timedelta(milliseconds=100)


@dataclass(frozen=True, slots=True)
class MeshAdapter:
    """What a mesh node needs of a platform.

    `read_lineage` returns the names of a call's ancestors and its own, the root
    first. The root of a call without ancestors is the call itself.
    """

    names: HeaderNames
    admin: AdminDialect
    configuration_table: str
    configuration_key: str
    open_store: Callable[[Address], RowStore]
    decode_configuration: Callable[[bytes], Result[Configuration, str]]
    read_lineage: Callable[[bytes], tuple[bytes, ...]]


class MeshNode:
    """The node beside one target."""

    def __init__(
        self, settings: MeshSettings, adapter: MeshAdapter, clock: Clock
    ) -> None:
        self.settings = settings
        self._adapter = adapter
        self._clock = clock
        self._run = int(clock.now().timestamp() * 1000)
        self._stopping = False
        self._contact: dict[str, bool] = {}
        self._lifetime = Lifetime()
        self._call_log = CallLog(clock)
        self.metrics = Metrics()
        self.executor: ThreadPoolExecutor = TaskPool(_THREADS)
        self.configuration = CurrentConfiguration(self._note_configuration)
        self.registration = Registration(
            settings.service, settings.target, self._note_target
        )
        self.directory = Directory(settings.node, clock)
        self._levels = RouteLevels(clock)
        self._runs = Runs()
        self._peers = PeerPool(clock)
        self._budget = RetryBudget(
            settings.budget_ratio, settings.budget_slack, settings.budget_window, clock
        )
        self.gate = Gate(clock)
        self._upstream = Upstream(settings.target, adapter.names, clock)
        self.courier = Courier(
            self.registration,
            self.gate,
            self._runs,
            self._upstream,
            adapter.names,
            clock,
            self.metrics,
            self.configuration.version,
            self._call_log,
        )
        self.liaison = Liaison(
            self.record,
            self.directory,
            self._peers,
            self.configuration,
            adapter.decode_configuration,
            clock,
            self._lifetime,
        )
        self.dispatcher = self._make_dispatcher()
        self.entrance = self._make_entrance()
        self._publication = Publication(
            adapter.open_store(settings.store), self.record, self._lifetime
        )
        self._parking = Parking(clock, self._lifetime)
        self._acceptors = self._make_acceptors()
        self._admin: AdminServer | None = None

    def record(self) -> NodeRecord:
        """Return what this node publishes of itself."""
        settings, state = self.settings, self.registration.state()
        return NodeRecord(
            settings.node,
            self._run,
            settings.zone,
            settings.peer_listener,
            settings.service,
            state.heartbeat.slots if state else 0,
            state is None or not state.serving,
            state.heartbeat.incarnation if state else None,
        )

    def is_ready(self) -> bool:
        """Return whether callers may be sent here."""
        return not self._stopping and self.configuration.current() is not None

    def start(self) -> None:
        """Start all tasks; raises OSError when an address cannot be used."""
        application = AdminApplication(
            self._adapter.admin,
            self.registration,
            self.is_ready,
            self.metrics,
            self._refresh_metrics,
        )
        listeners = (
            self.settings.readiness_listener,
            self.settings.admin_listener,
            (self.settings.peer_listener[0], self._adapter.admin.metrics_port),
        )
        self._admin = AdminServer(application, listeners)
        self.executor.submit(self._admin.run)
        for acceptor in self._acceptors:
            self.executor.submit(acceptor.run)
        self.executor.submit(self._parking.run)
        self.executor.submit(self._watch_configuration().run)
        self.executor.submit(self._watch_nodes().run)
        self.executor.submit(self._publication.run)
        self.executor.submit(self.liaison.run)

    def stop(self) -> bool:
        """Finish the calls under way; return whether all have ended.

        Callers are sent elsewhere first, then other nodes, then orders for the
        target are refused as not run, and what is under way is waited for.
        """
        began = self._clock.monotonic()
        last = began + self.settings.grace - _EXIT_MARGIN
        self._stopping = self.entrance.closing = True
        eliot.log_message("node:stopping")
        notice = min(_NOTICE, self.settings.grace / 2)
        self._lifetime(max(notice - _LEAVE, timedelta()))
        self.courier.leaving = True
        self._lifetime(_LEAVE)
        self.courier.closed = True
        while self._clock.monotonic() < last:
            self._lifetime(_POLL)
            if not self.entrance.activity.count() and not self._host.activity.count():
                return True
        return False

    def reload(self, settings: MeshSettings) -> None:
        """Take changed settings in; addresses to listen on stay as they are."""
        if settings == self.settings:
            return
        self.settings = settings
        self.registration.move(settings.service, settings.target)
        self._upstream.move(settings.target)
        self._budget.retune(
            settings.budget_ratio, settings.budget_slack, settings.budget_window
        )
        eliot.log_message("settings:changed", service=settings.service)

    def kill(self) -> None:
        """End all tasks at once, for a program that goes on without the node."""
        self._stopping = True
        self._lifetime.end()
        self._publication.note_change()
        if self._admin is not None:
            self._admin.close()
        for acceptor in self._acceptors:
            acceptor.close()
        self.executor.shutdown(wait=False)

    def _make_dispatcher(self) -> Dispatcher:
        return Dispatcher(
            self.record,
            self.directory,
            self.courier,
            self._peers.deliver,
            self._budget,
            self._levels,
            self._clock,
            self.metrics,
            self.configuration.version,
            self.liaison.note_newer_version,
            self._note_unreachable,
        )

    def _make_entrance(self) -> Entrance:
        return Entrance(
            self.dispatcher.serve,
            self.configuration,
            self._adapter.names,
            lambda: self.settings.service,
            self._rank,
            self.executor,
            BodyMemory(int(self.settings.memory_bytes * _BODY_SHARE)),
            self._clock,
            self.metrics,
            self._note_done,
        )

    def _make_acceptors(self) -> tuple[Acceptor, ...]:
        settings = self.settings
        most = int(settings.descriptors * _LISTENER_SHARE)
        self._host = Host(
            self.courier,
            self._clock,
            self.liaison,
            self._find_address,
            self.configuration.version,
        )
        return (
            Acceptor(
                settings.caller_listener,
                self.entrance.open_session,
                self.executor,
                self._parking,
                most,
            ),
            Acceptor(
                settings.peer_listener,
                self._host.open_session,
                self.executor,
                self._parking,
                most,
            ),
        )

    def _watch_configuration(self) -> Subscription:
        adapter = self._adapter
        return Subscription(
            adapter.open_store(self.settings.store),
            adapter.configuration_table,
            lambda: [""],
            lambda changes: self.take_configurations(changes),
            lambda change: self.take_configurations([change]),
            self._note_contact,
            lambda: _GATHER,
            self._lifetime,
        )

    def _watch_nodes(self) -> Subscription:
        return Subscription(
            self._adapter.open_store(self.settings.store),
            NODES_TABLE,
            lambda: self.settings.zones,
            self._take_all_nodes,
            self._take_node,
            self._note_contact,
            self._gather_nodes,
            self._lifetime,
        )

    def _gather_nodes(self) -> timedelta:
        # Each change of a node's record wakes all nodes, so the more nodes there
        # are, the more changes have to be read at once.
        nodes = len(self.directory.peers()) + 1
        rate = self.settings.store_reads_per_s * _READ_SHARE
        return max(_GATHER, timedelta(seconds=nodes / max(rate, 1.0)))

    def take_configurations(self, changes: list[RowChange]) -> None:
        """Take the configuration among some rows of its table, if it is there."""
        for change in changes:
            if change.key != self._adapter.configuration_key or change.row is None:
                continue
            decoded = self._adapter.decode_configuration(change.row.value)
            if decoded.is_error():
                eliot.log_message("configuration:invalid", error=decoded.error)
            else:
                self.configuration.take(decoded.ok)

    def _take_all_nodes(self, changes: list[RowChange]) -> None:
        found = {change.key for change in changes}
        for change in changes:
            self._take_node(change)
            if change.key == self.settings.node and change.row is not None:
                self._restore(change.row)
        for peer in self.directory.peers():
            if peer.record.node not in found:
                self.directory.drop(peer.record.node)
        if self.settings.node not in found:
            self._publish()

    def _restore(self, row: StoredRow) -> None:
        # An earlier run may have acknowledged that the target ends.
        record = decode_record(row.value)
        if record is not None and record.leaving and record.incarnation is not None:
            self.registration.restore_end(record.incarnation)

    def _publish(self) -> None:
        # Until the target has sent a heartbeat there is nothing to tell.
        if self.registration.state() is not None:
            self._publication.note_change()

    def _take_node(self, change: RowChange) -> None:
        if change.row is None:
            if change.key == self.settings.node:
                self._publish()
            if self.directory.drop(change.key):
                eliot.log_message("node:removed", node=change.key)
            return
        record = decode_record(change.row.value)
        if record is None or record.node != change.key:
            eliot.log_message("node:record_invalid", key=change.key)
        else:
            self.liaison.note_record(record)

    def _note_target(self, state: TargetState) -> None:
        beat = state.heartbeat
        self.gate.resize(beat.slots)
        if not state.serving:
            self._upstream.close_idle()
        self._publication.note_change()
        eliot.log_message(
            "target:changed",
            instance=beat.incarnation.instance,
            born=beat.incarnation.born_ms,
            sequence=beat.sequence,
            slots=beat.slots,
            serving=state.serving,
        )

    def _note_configuration(self, configuration: Configuration) -> None:
        eliot.log_message(
            "configuration:in_force",
            version=configuration.version,
            routes=len(configuration.routes),
        )

    def _note_contact(self, reached: bool, detail: str) -> None:
        self.metrics.note_store(reached)
        table = detail.partition(":")[0]
        if self._contact.get(table) != reached:
            self._contact[table] = reached
            name = "store:reached" if reached else "store:lost"
            eliot.log_message(name, detail=detail)

    def _find_address(self, sock: socket.socket) -> Address:
        # All nodes listen on the same port for each other.
        return sock.getpeername()[0], self.settings.peer_listener[1]

    def _note_unreachable(self, record: NodeRecord) -> None:
        self._peers.forget(record.address)
        eliot.log_message("node:unreachable", node=record.node, zone=record.zone)

    def _note_done(
        self, call: Call | None, request: Request, reply: Reply, arrived: timedelta
    ) -> None:
        took = self._clock.monotonic() - arrived
        self.metrics.note_reply(reply, took)
        attempt = find_header(request.headers, self._adapter.names.attempt)
        if self._call_log.wants(attempt, failed=reply.status >= 400):
            self._log_call(attempt, call, reply, took)

    def _log_call(
        self, attempt: bytes | None, call: Call | None, reply: Reply, took: timedelta
    ) -> None:
        left = call.deadline - self._clock.monotonic() if call else timedelta()
        self._call_log.write(
            "call:done",
            attempt,
            route=call.route.name if call else "",
            priority=call.route.priority if call else -1,
            rank=call.rank.root if call else -1,
            depth=call.rank.depth if call else 0,
            status=int(reply.status),
            from_target=reply.from_target,
            reason=reply.reason.name.lower(),
            detail=reply.detail,
            service=reply.service,
            node=reply.node,
            sends=reply.sends,
            took_ms=_milliseconds(took),
            left_ms=_milliseconds(left),
            retry_after_ms=_milliseconds(reply.retry_after or timedelta()),
            version=self.configuration.version(),
        )

    def _rank(self, attempt: bytes | None, route: Route) -> tuple[Rank, Run | None]:
        """Return the rank of a call, and the run of the own target it is for."""
        lineage = self._adapter.read_lineage(attempt or b"")
        depth = len(lineage) - 1
        parent = self._runs.find(lineage[-2]) if depth else None
        if parent is not None:
            return Rank(parent.rank.root, depth), parent
        return Rank(rank_root(route.priority, lineage[0]), depth), None

    def _refresh_metrics(self) -> None:
        load = self.gate.load()
        set_state: Callable[[str, Any], None] = self.metrics.set_state
        set_state("in_flight", load.in_flight)
        set_state("waiting", load.waiting)
        set_state("limit", load.limit)
        set_state("level", self.gate.level())
        set_state("configuration_version", self.configuration.version())
        set_state("parked_connections", self._parking.count())
        set_state("nodes_known", len(self.directory.peers()) + 1)
        for name, acceptor in zip(("caller", "peer"), self._acceptors):
            set_state(f"{name}_connections", acceptor.count())
            set_state(f"{name}_connections_turned_away", acceptor.turned_away)


def _milliseconds(duration: timedelta) -> float:
    return round(duration.total_seconds() * 1000, 1)
