"""A mesh node: assembles its components, and starts and stops them."""

from __future__ import annotations

import socket
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING

import eliot

from ..accounts.confirmation import Confirmation
from ..shedding import LoadShedder
from ..task import TaskPool
from .acceptor import Acceptor
from .account_rates import AccountRates
from .adapter import MeshAdapter
from .admin import AdminApplication, AdminServer
from .budget import RetryBudget, retry_bounds
from .call_factory import make_call_factory
from .caller_server import CallerServer
from .configuration import CurrentConfiguration, report_configuration
from .descriptors import limit_tasks, share_descriptors
from .directory import PeerDirectory
from .dispatch import Dispatcher
from .gate import Gate
from .gauges import measure_node
from .idle_poller import IdlePoller
from .levels import RouteLevels
from .local_record import make_local_record
from .log import CallLog
from .memory import make_budget
from .metric import Metrics
from .model import Address, MeshSettings, NodeRecord
from .peer_pool import PeerPool
from .peer_server import PeerServer
from .peer_sync import PeerSync
from .quarantine_sync import QuarantineSync
from .rank import ActiveCalls
from .registration import Registration, TargetState
from .report import CallReporter
from .shutdown import DRAIN_POLL_INTERVAL, LEAVING_PROPAGATION_TIME, plan_shutdown
from .stop_event import StopEvent
from .store_client import StoreClient
from .target_proxy import TargetProxy
from .upstream import Upstream

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["MeshNode"]

_RESPONSE_MEMORY_SHARE = 0.1  # of the process memory, for the body of one response


class MeshNode:
    """Sidecar of a target: `MeshNode(settings, adapter, clock)`, `start`, `stop`."""

    def __init__(
        self, settings: MeshSettings, adapter: MeshAdapter, clock: Clock
    ) -> None:
        self.settings = settings
        self._adapter = adapter
        self._clock = clock
        self._stopping = False
        self._stop_event = StopEvent()
        call_log = CallLog(clock)
        self.metrics = Metrics()
        self.executor = TaskPool(limit_tasks(settings.max_open_files))
        self.configuration = CurrentConfiguration(
            partial(report_configuration, self.metrics)
        )
        self.confirmation = Confirmation(lambda: self.settings, clock)
        self._call_reporter = CallReporter(
            self.metrics,
            call_log,
            adapter.header_names.attempt,
            self.configuration.version,
            clock,
        )
        self.registration = Registration(
            settings.service,
            settings.target,
            settings.drain_timeout,
            clock,
            self._on_target_change,
        )
        session = int(clock.now().timestamp() * 1000)
        self.record = make_local_record(
            lambda: self.settings, session, self.registration.state
        )
        self.directory = PeerDirectory(settings.node, clock, settings.drain_timeout)
        self._levels = RouteLevels(clock)
        self._active_calls = ActiveCalls()
        self.memory = make_budget(
            settings, clock, self._call_reporter.report_evicted_message
        )
        self._peers = PeerPool(clock, self.memory)
        self._budget = RetryBudget(*retry_bounds(settings), clock)
        self.shedder = LoadShedder(*retry_bounds(settings), clock)
        self.gate = Gate(clock)
        self._upstream = Upstream(
            settings.target,
            adapter.header_names,
            int(settings.memory_bytes * _RESPONSE_MEMORY_SHARE),
            self.memory,
            clock,
        )
        self.target_proxy = TargetProxy(
            self.registration,
            self.gate,
            self._active_calls,
            self._upstream,
            adapter.header_names,
            clock,
            self.metrics,
            self.configuration,
            call_log,
        )
        self.peer_sync = PeerSync(
            self.record,
            self.directory,
            self._peers,
            self.configuration,
            adapter.decode_configuration,
            self.confirmation,
            clock,
            self._stop_event,
        )
        self._quarantine_sync = QuarantineSync(
            self.target_proxy.quarantine,
            lambda: self.settings.service,
            self.configuration,
            self.directory,
            self._peers,
            clock,
            self._stop_event,
        )
        self.account_rates = AccountRates(
            lambda: self.settings,
            self.configuration,
            self.directory,
            self._peers,
            self.metrics.registry,
            clock,
            self.executor,
            self._stop_event,
        )
        self.shedder.account_excess = self.account_rates.excess
        self.dispatcher = self._make_dispatcher()
        self.caller_server = self._make_caller_server()
        self.store_client = StoreClient(
            lambda: self.settings,
            adapter,
            self.record,
            self.configuration,
            self.directory,
            self.registration,
            self.peer_sync,
            self.confirmation,
            self.metrics,
            clock,
            self._stop_event,
        )
        self._idle_poller = IdlePoller(clock, self.executor, self._stop_event)
        self._acceptors = self._make_acceptors()
        self._admin: AdminServer | None = None

    def is_ready(self) -> bool:
        """Return whether the node accepts calls from callers."""
        return not self._stopping and self.configuration.current() is not None

    def start(self) -> None:
        """Start all tasks; raise OSError when an address cannot be bound."""
        application = AdminApplication(
            self._adapter.admin,
            self.store_client.acknowledger,
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
            acceptor.start()
        self.executor.submit(self._idle_poller.run)
        syncs = self.peer_sync, self._quarantine_sync, self.account_rates
        for task in (*self.store_client.tasks(), *(each.run for each in syncs)):
            self.executor.submit(task)

    def stop(self) -> bool:
        """Drain the calls in progress; return whether all have ended.

        Readiness fails first, so callers use other nodes. Then the node is reported as
        leaving, so nodes select other targets. Then forwarded requests get `NOT_RUN`.
        """
        now, grace_period = self._clock.monotonic(), self.settings.grace_period
        shutdown = self.dispatcher.shutdown = plan_shutdown(now, grace_period)
        self._stopping = self.caller_server.draining = True
        eliot.log_message("node:stopping")
        delay = shutdown.roots_until - now - LEAVING_PROPAGATION_TIME
        self._stop_event(max(delay, timedelta()))
        self.target_proxy.leaving = True
        self.account_rates.close()
        self.store_client.relay.close()
        self._stop_event(LEAVING_PROPAGATION_TIME)
        self.target_proxy.closed = True
        while self._clock.monotonic() < shutdown.exits_at:
            self._stop_event(DRAIN_POLL_INTERVAL)
            if (
                not self.caller_server.in_flight.count()
                and not self._peer_server.in_flight.count()
            ):
                return True
        return False

    def reload(self, settings: MeshSettings) -> None:
        """Apply changed settings, except for the addresses to listen on."""
        if settings == self.settings:
            return
        self.settings = settings
        self.registration.reconfigure(settings)
        self.store_client.reconnect()
        self._upstream.set_address(settings.target)
        self._budget.reconfigure(*retry_bounds(settings))
        self.shedder.reconfigure(*retry_bounds(settings))
        eliot.log_message("settings:changed", service=settings.service)

    def kill(self) -> None:
        """Stop all tasks at once, for a process that continues without the node."""
        self._stopping = True
        self._stop_event.stop()
        self.store_client.wake()
        self._quarantine_sync.wake()
        if self._admin is not None:
            self._admin.close()
        for acceptor in self._acceptors:
            acceptor.close()
        self.executor.shutdown(wait=False)

    def _make_dispatcher(self) -> Dispatcher:
        return Dispatcher(
            self.record,
            self.directory,
            self.target_proxy.execute,
            self._peers.forward,
            self._budget,
            self._levels,
            self._clock,
            self.metrics,
            self.configuration.version,
            self.peer_sync.add_newer_version,
            self._on_unreachable,
            self.shedder,
            self.account_rates,
        )

    def _make_caller_server(self) -> CallerServer:
        return CallerServer(
            self.dispatcher.serve,
            self.configuration,
            self._adapter.header_names,
            make_call_factory(
                self.configuration,
                self._adapter,
                lambda: self.settings.service,
                self._active_calls,
                self.confirmation.is_recent,
            ).make_call,
            self.executor,
            self.memory,
            share_descriptors(self.settings.max_open_files),
            self._clock,
            self.metrics,
            self._call_reporter,
        )

    def _make_acceptors(self) -> tuple[Acceptor, ...]:
        self._peer_server = PeerServer(
            self.target_proxy,
            self._clock,
            self.peer_sync,
            self.store_client.relay,
            self._get_peer_address,
            self.configuration.version,
            self.account_rates.answer,
            self.memory,
        )
        return (
            Acceptor(
                self.settings.caller_listener,
                self.caller_server.open_session,
                self.executor,
                self._idle_poller,
                self.caller_server.descriptors,
                self._call_reporter.report_evicted_connection,
                limits_buffers=True,
            ),
            Acceptor(
                self.settings.peer_listener,
                self._peer_server.open_session,
                self.executor,
                self._idle_poller,
                share_descriptors(self.settings.max_open_files),
                self._call_reporter.report_evicted_connection,
            ),
        )

    def _on_target_change(self, state: TargetState) -> None:
        heartbeat = state.heartbeat
        self.gate.resize(heartbeat.slots)
        if not state.serving:
            self._upstream.close_idle()
        self.store_client.publisher.request_write()
        eliot.log_message(
            "target:changed",
            instance=heartbeat.incarnation.instance,
            born=heartbeat.incarnation.started_ms,
            sequence=heartbeat.sequence,
            slots=heartbeat.slots,
            serving=state.serving,
        )

    def _get_peer_address(self, sock: socket.socket) -> Address:
        return sock.getpeername()[0], self.settings.peer_listener[1]  # all use one port

    def _on_unreachable(self, record: NodeRecord) -> None:
        self._peers.close_idle(record.address)
        eliot.log_message("node:unreachable", node=record.node, zone=record.zone)

    def _refresh_metrics(self) -> None:
        acceptors = dict(zip(("caller", "peer"), self._acceptors))
        gauges = measure_node(
            self.gate,
            self.target_proxy,
            self.configuration,
            self.confirmation,
            self.directory,
            self._idle_poller,
            acceptors,
            self.shedder,
            self.memory,
        )
        for name, value in gauges.items():
            self.metrics.set_gauge(name, value)
