"""Tells the nodes that may get a request which ones crash targets.

They are those of the services that the local target shares a route with. Each node
tells what it has seen itself, so a crash costs a message to each node of the service; a
node that has just started is told everything.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING

import eliot

from .forward import FrameKind
from .watch import Watch, watch_no_caller

if TYPE_CHECKING:
    from ..clock import Clock
    from .configuration import CurrentConfiguration
    from .directory import Peer, PeerDirectory
    from .peer_pool import PeerPool
    from .quarantine import Quarantine
    from .stop_event import Sleep

__all__ = ["QuarantineSync"]

_ROUND_INTERVAL = timedelta(milliseconds=250)
_REQUEST_TIMEOUT = timedelta(milliseconds=500)
_RETRY_DELAY = timedelta(seconds=1)  # after a node did not answer


class QuarantineSync:
    """Sends changes of the quarantine to other nodes while it has entries."""

    def __init__(
        self,
        quarantine: Quarantine,
        get_service: Callable[[], str],
        configuration: CurrentConfiguration,
        directory: PeerDirectory,
        peers: PeerPool,
        clock: Clock,
        sleep: Sleep,
    ) -> None:
        self._quarantine = quarantine
        self._get_service = get_service
        self._configuration = configuration
        self._directory = directory
        self._peers = peers
        self._clock = clock
        self._sleep = sleep
        # The session of each node, and the number of the newest change that it has.
        self._told: dict[str, tuple[int, int]] = {}
        self._retry_at: dict[str, timedelta] = {}

    def run(self) -> None:
        """Send changes until the node stops."""
        watch = watch_no_caller(self._clock)
        while not self._sleep.is_stopped():
            if self._quarantine.is_empty():
                self._told = {}
                self._quarantine.changed.wait()
            else:
                self._quarantine.changed.wait(_ROUND_INTERVAL.total_seconds())
            self._quarantine.changed.clear()
            self._tell_peers(watch)

    def wake(self) -> None:
        """Wake the task, so that it notices that the node has stopped."""
        self._quarantine.changed.set()

    def _tell_peers(self, watch: Watch) -> None:
        peers = self._list_peers()
        if not self._told:
            # The first entry is new, so the others' own entries need not be repeated.
            self._told = {each.record.node: (each.record.session, 0) for each in peers}
        for peer in peers:
            record = peer.record
            session, newest = self._told.get(record.node, (record.session, -1))
            if session != record.session:
                newest = -1
            entries, newest = self._quarantine.entries_since(newest)
            if not entries or peer.is_unreachable() or self._is_paused(record.node):
                continue
            frame = [FrameKind.QUARANTINE, entries]
            if self._peers.request(record.address, frame, watch, _REQUEST_TIMEOUT):
                self._told[record.node] = record.session, newest
            else:
                self._retry_at[record.node] = self._clock.monotonic() + _RETRY_DELAY
                eliot.log_message("node:quarantine_not_sent", node=record.node)

    def _is_paused(self, node: str) -> bool:
        now = self._clock.monotonic()
        return now < self._retry_at.get(node, now)

    def _list_peers(self) -> list[Peer]:
        service = self._get_service()
        services = {service}
        table = self._configuration.current()
        for route in table.configuration.routes if table else ():
            names = {share.service for share in route.shares}
            if service in names:
                services |= names
        return [peer for name in services for peer in self._directory.peers_of(name)]
