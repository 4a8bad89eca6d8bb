"""One node: builds its components, starts them and stops them in order."""

from __future__ import annotations

import random
import secrets
import threading
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING

from ..audit import ActionLog
from ..effects import Archive, Ledger
from ..kernel import load_plugins
from ..membership import (
    Gossip,
    Member,
    Standing,
    TargetRecord,
    View,
    bind_gossip,
)
from ..policy import (
    RuleSet,
    Section,
    SectionSync,
    SectionTable,
    build_rule_set,
)
from ..routing import (
    Directory,
    Endpoint,
    EpochCache,
    KeyedRouter,
    NodeClient,
    PeerPool,
    Router,
    TargetSelector,
)
from ..settings import Settings, split_address
from ..task import TaskPool, stop_process
from ..wire import ROLE_NODE, StreamServer
from .control import Control
from .execution import Execution
from .front import Front
from .joining import Joiner
from .listener import HttpListener
from .metric import CallMetrics
from .serving import CallHandler, QueryHandler, make_key_finder
from .target import LocalTargets

if TYPE_CHECKING:
    from ..clock import Clock
    from ..store import Platform

__all__ = ["Node"]

_SESSION_BYTES = 6
_TASK_THREADS = 4096
_CONTROL_LOOPS = 1
_CONTROL_THREADS = 8
_CONTROL_CONNECTIONS = 256
_SWEEP_INTERVAL = timedelta(milliseconds=50)
_HEARTBEAT_INTERVAL = timedelta(milliseconds=250)
_RULES_INTERVAL = timedelta(milliseconds=200)
_POLICY_POLL_INTERVAL = timedelta(milliseconds=100)
_OUTCOME_SAVE_INTERVAL = timedelta(seconds=3)
_SAVE_RETRY_PROBABILITY = 0.1
_ACTION_SAVE_INTERVAL = timedelta(seconds=10)
_LEAVE_PROPAGATION = timedelta(seconds=2)


class Node:
    """A running node.

    A program that embeds the library may pass `platform`; otherwise a registered
    plug-in opens the one named in the settings.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        platform: Platform | None = None,
        on_invariant_broken: Callable[[], None] = stop_process,
    ) -> None:
        node_settings = settings.node
        self.settings = settings
        self.clock = clock
        self.platform = platform or _open_platform(settings, clock)
        self.tasks = TaskPool(_TASK_THREADS, on_invariant_broken)
        self.metrics = CallMetrics()
        self.ready = False
        self._stopped = threading.Event()
        self._rule_set = RuleSet()
        self._save_failed = False
        self._node_key = settings.keys.nodes.encode()
        self._caller_key = settings.keys.callers.encode()
        session = secrets.token_hex(_SESSION_BYTES)
        self.streams = StreamServer(
            (node_settings.host, node_settings.stream_port),
            session,
            make_key_finder(self._node_key, self._caller_key),
            lambda peer, call: self.call_handler.serve(peer, call),
            lambda *query: self.query_handler.answer(*query),
            clock,
            self.tasks,
        )
        name = f"{node_settings.host}:{self.streams.address[1]}"
        self.actions = ActionLog(name, clock)
        self.ledger = Ledger(session, clock)
        self.archive = Archive(self.platform.objects, self.ledger)
        self.sections = SectionTable(self._apply_section)
        gossip_socket = bind_gossip((node_settings.host, node_settings.gossip_port))
        gossip_port = gossip_socket.getsockname()[1]
        self.view = View(self._make_member(name, session, gossip_port), clock)
        self.gossip = Gossip(
            self.view,
            gossip_socket,
            self._node_key,
            clock,
            policy_digest=lambda: self.sections.digest,
            on_policy=lambda sender: self.section_sync.handle_digest(sender),
            on_notice=lambda *notice: self.section_sync.handle_notice(*notice),
            on_view=lambda sender: self.joiner.schedule_sync(sender),
        )
        self.peers = PeerPool(ROLE_NODE, name, self._node_key, clock, self.tasks)
        self.section_sync = SectionSync(
            self.sections,
            self.platform.table,
            self._ask_member,
            self.gossip.push_notice,
            self._count_zone_members,
            clock,
            self.tasks,
        )
        self.joiner = Joiner(
            self.view,
            self.peers,
            self.section_sync,
            self.platform.table,
            tuple(split_address(each) for each in node_settings.seeds),
            self.actions,
            clock,
            self.tasks,
            self._stopped,
        )
        self.targets = LocalTargets(clock, self._publish_targets)
        self.execution = Execution(
            self.targets,
            self.ledger,
            self.archive,
            lambda: self._rule_set,
            self._node_key,
            clock,
            self.tasks,
        )
        self.call_handler = CallHandler(
            self.execution, session, lambda: self._rule_set, self._node_key, clock
        )
        self.query_handler = QueryHandler(
            self.ledger, self.archive, self.view, self.section_sync
        )
        self.router = self._make_router(session)
        self.keyed_router = self._make_keyed_router()
        self.front = Front(
            self.router,
            self.keyed_router,
            self.execution,
            lambda: self._rule_set,
            self._node_key,
            self._caller_key,
            clock,
            self.metrics,
            node_settings.uploads,
            lambda: self.ready,
        )
        self.front_listener = HttpListener(
            self.front,
            (node_settings.host, node_settings.front_port),
            node_settings.front_loops,
            node_settings.front_threads,
            node_settings.front_connections,
        )
        self.control_listener = HttpListener(
            Control(self, settings.keys),
            (node_settings.host, node_settings.control_port),
            _CONTROL_LOOPS,
            _CONTROL_THREADS,
            _CONTROL_CONNECTIONS,
        )

    @property
    def rule_set(self) -> RuleSet:
        """The rules in force on this node."""
        return self._rule_set

    def start(self) -> None:
        """Start the listeners and periodic tasks, and join the other nodes."""
        self.streams.start()
        self.gossip.start(self.tasks)
        self.control_listener.start(self.tasks)
        self.front_listener.start(self.tasks)
        self.tasks.submit(self.front.disconnect_monitor.run)
        self._repeat(_SWEEP_INTERVAL, self.execution.sweep)
        self._repeat(_HEARTBEAT_INTERVAL, self._check_streams)
        self._repeat(_RULES_INTERVAL, lambda: self.targets.apply_rules(self._rule_set))
        self._repeat(_POLICY_POLL_INTERVAL, self.section_sync.poll)
        self._repeat(_OUTCOME_SAVE_INTERVAL, self._save_outcomes)
        self._repeat(
            _ACTION_SAVE_INTERVAL, lambda: self.actions.save(self.platform.objects)
        )
        self.tasks.submit(self._run_joiner)

    def stop(self, grace: timedelta | None = None) -> bool:
        """Shut down: refuse new calls, wait for running calls, then stop.

        Return whether every running call finished within the grace period and
        its outcome was recorded.
        """
        grace = grace or timedelta(seconds=self.settings.node.shutdown_s)
        self.targets.mark_leaving()
        self.gossip.push_view()
        self._stopped.wait(min(_LEAVE_PROPAGATION, grace).total_seconds())
        idle = self.execution.wait_idle(grace)
        closed = self.archive.close()
        self.view.leave()
        self.gossip.push_view()
        self.kill()
        return idle and closed

    def kill(self) -> None:
        """Stop immediately, as in a crash, without waiting for running calls."""
        self.ready = False
        if self._stopped.is_set():
            return
        self._stopped.set()
        self.front.disconnect_monitor.stop()
        self.front_listener.stop()
        self.control_listener.stop()
        self.gossip.stop()
        self.streams.close()
        self.peers.close()
        self.tasks.shutdown(wait=False, cancel_futures=True)

    def platform_silent_s(self) -> float | None:
        """Return the seconds since the last platform read, None if there was none."""
        seen = self.section_sync.platform_seen_at
        if seen is None:
            return None
        return round((self.clock.monotonic() - seen).total_seconds(), 1)

    def _make_member(self, name: str, session: str, gossip_port: int) -> Member:
        node_settings = self.settings.node
        started = self.clock.now().timestamp()
        return Member(
            name=name,
            session=session,
            incarnation=int(started * 1000),
            zone=node_settings.availability_zone,
            region=node_settings.region,
            host=node_settings.host,
            stream_port=self.streams.address[1],
            gossip_port=gossip_port,
        )

    def _make_router(self, session: str) -> Router:
        directory = Directory(
            self.view.all, lambda: self.view.version, lambda: self._rule_set
        )
        selector = TargetSelector(
            directory,
            self.settings.node.availability_zone,
            self.clock,
            on_eject=self._record_ejection,
        )
        return Router(
            directory=directory,
            selector=selector,
            node_client=NodeClient(self.peers, self.clock),
            clock=self.clock,
            session=session,
            serve_local=self.call_handler.serve_local,
            key=self._node_key,
        )

    def _make_keyed_router(self) -> KeyedRouter:
        epochs = EpochCache(self.router.node_client, self.clock)

        def epoch_of(member: Member) -> int | None:
            own = member.session == self.ledger.session
            return self.ledger.epoch if own else epochs.get(member)

        return KeyedRouter(
            router=self.router,
            clock=self.clock,
            epoch_of=epoch_of,
            find_outcome=self.archive.find,
            table=self.platform.table,
        )

    def _repeat(self, period: timedelta, action: Callable[[], object]) -> None:
        def run() -> None:
            while not self._stopped.wait(period.total_seconds()):
                action()

        self.tasks.submit(run)

    def _run_joiner(self) -> None:
        if self.joiner.join():
            self.ready = True
            self.joiner.stay_joined()

    def _save_outcomes(self) -> None:
        # After a platform outage the nodes retry at random times, so that they
        # do not all write at once.
        if self._save_failed and random.random() > _SAVE_RETRY_PROBABILITY:
            return
        self._save_failed = not self.archive.save()

    def _check_streams(self) -> None:
        self.peers.check_streams()
        self.streams.check_alive()

    def _publish_targets(self, records: tuple[TargetRecord, ...]) -> None:
        self.targets.apply_rules(self._rule_set)
        self.view.set_targets(records)
        self.gossip.push_view()

    def _apply_section(self, section: Section) -> None:
        self._rule_set = build_rule_set(self.sections.all())
        self.targets.apply_rules(self._rule_set)
        manual = [
            service_rules.name
            for service_rules in self._rule_set.services()
            if service_rules.team == section.team and not service_rules.manual.automatic
        ]
        if manual:
            self.actions.record("pin", section.team, ", ".join(manual))

    def _record_ejection(self, endpoint: Endpoint) -> None:
        detail = f"{endpoint.service} at {endpoint.target.address}"
        self.actions.record("eject", endpoint.member.name, detail)

    def _count_zone_members(self) -> int:
        zone = self.settings.node.availability_zone
        return sum(
            member.zone == zone and member.standing is Standing.ALIVE
            for member in self.view.all()
        )

    def _ask_member(
        self, member: Member, topic: str, payload: bytes, timeout: timedelta
    ) -> bytes | None:
        client = self.peers.reach(member)
        return None if client is None else client.query(topic, payload, timeout)


def _open_platform(settings: Settings, clock: Clock) -> Platform:
    plugins = load_plugins()
    found = plugins.hook.cyclamenvane_open_platform(
        settings=settings.platform, clock=clock
    )
    if found is None:
        raise ValueError(f"no plug-in opens platform kind {settings.platform.kind!r}")
    return found
