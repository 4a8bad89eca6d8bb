"""Applies the configuration and the records of nodes from the store.

The rows come through the `StoreReplica`. Only to find the other nodes of its zone, a
node that has just started reads the part of its zone itself.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import TYPE_CHECKING

import eliot

from .directory import supersedes
from .publication import NODES_TABLE, RecordPublisher, decode_record
from .replica import StoreReplica, TableCallbacks
from .rows import RowChange, RowStore, StoreVersion
from .subscription import (
    MAX_WATCH_TIMEOUT,
    Backoff,
    Subscription,
    compute_watch_timeout,
)

if TYPE_CHECKING:
    from ..accounts.confirmation import Confirmation
    from ..clock import Clock
    from .adapter import MeshAdapter
    from .configuration import CurrentConfiguration
    from .directory import PeerDirectory
    from .metric import Metrics
    from .model import MeshSettings, NodeRecord
    from .peer_sync import PeerSync
    from .registration import Registration
    from .stop_event import Sleep
    from .store_watch import StoreWatch

__all__ = ["Discovery"]

# On the first start of a whole fleet, the nodes' records appear within this time.
_FIRST_START_WAIT = timedelta(seconds=2)


class Discovery:
    """Applies rows of the store to the state of the node."""

    def __init__(
        self,
        get_settings: Callable[[], MeshSettings],
        adapter: MeshAdapter,
        configuration: CurrentConfiguration,
        directory: PeerDirectory,
        registration: Registration,
        peer_sync: PeerSync,
        publisher: RecordPublisher,
        open_store: Callable[[], RowStore],
        store_watch: StoreWatch,
        is_exploring: Callable[[], bool],
        confirmation: Confirmation,
        metrics: Metrics,
        clock: Clock,
        sleep: Sleep,
    ) -> None:
        self._get_settings = get_settings
        self._adapter = adapter
        self._configuration = configuration
        self._directory = directory
        self._registration = registration
        self._peer_sync = peer_sync
        self._publisher = publisher
        self._open_store = open_store
        self._store_watch = store_watch
        self._is_exploring = is_exploring
        self._confirmation = confirmation
        self._metrics = metrics
        self._clock = clock
        self._sleep = sleep
        self._store_reached: dict[str, bool] = {}
        self._nodes_epoch: int | None = None
        self.replica = StoreReplica(
            {
                adapter.configuration_table: TableCallbacks(
                    lambda changes, version: self.apply_configurations(changes),
                    lambda change: self.apply_configurations([change]),
                ),
                NODES_TABLE: TableCallbacks(
                    self.apply_node_snapshot, self._apply_node_change
                ),
            }
        )

    def make_subscriptions(self) -> tuple[Subscription, ...]:
        """Return the tasks that follow the store while this node is a watcher."""
        configuration_timeout = compute_watch_timeout(
            self._get_settings().store_recovery_time, self._adapter.store_timeout
        )
        # Only versions have to be known in time: nodes report changes of their own
        # records with the results of calls, too.
        return (
            self._make_subscription(
                self._adapter.configuration_table,
                lambda: [""],
                self._confirmation.limit_watch(configuration_timeout),
                # Ended when the standby becomes a watcher.
                self._confirmation.limit_watch(MAX_WATCH_TIMEOUT),
                self._confirmation.record,
            ),
            self._make_subscription(
                NODES_TABLE,
                lambda: self._get_settings().zones,
                MAX_WATCH_TIMEOUT,
                MAX_WATCH_TIMEOUT,
                lambda at: None,
            ),
        )

    def _make_subscription(
        self,
        table: str,
        parts: Callable[[], Sequence[str]],
        watch_timeout: timedelta,
        standby_timeout: timedelta,
        on_current: Callable[[timedelta], None],
    ) -> Subscription:
        return Subscription(
            self._open_store(),
            table,
            parts,
            self.replica,
            self._store_watch,
            self._on_store_result,
            on_current,
            watch_timeout,
            standby_timeout,
            self._clock,
            self._sleep,
        )

    def join_zone(self) -> None:
        """Read the records of the zone's nodes, before this node follows one of them.

        Returns once another node is known, or none is to be expected.
        """
        store, backoff = self._open_store(), Backoff()
        waited = not self._get_settings().first_start
        while not self._sleep.is_stopped():
            page = store.read(NODES_TABLE, self._get_settings().zone)
            self._on_store_result(page.is_ok(), NODES_TABLE)
            if page.is_ok():
                self._apply_zone(page.ok.changes, page.ok.version)
            if self.list_zone() or (page.is_ok() and waited):
                break
            if page.is_ok():
                self._sleep(_FIRST_START_WAIT * random.uniform(0.75, 1.25))
                waited = True
            else:
                self._sleep(backoff.next_delay())
        store.close()

    def list_zone(self) -> list[NodeRecord]:
        """Return the records of the zone's other nodes that seem reachable."""
        zone = self._get_settings().zone
        return [
            peer.record
            for peer in self._directory.peers()
            if peer.record.zone == zone
            and not peer.record.leaving
            and not peer.is_unreachable()
        ]

    def _apply_zone(self, changes: Sequence[RowChange], version: StoreVersion) -> None:
        own_version, own_record = version.of_missing_row(), None
        for change in changes:
            if change.key == self._get_settings().node and change.row is not None:
                own_version = change.row.version
                own_record = decode_record(change.row.value)
        self._publisher.offer_row(own_version, own_record)
        for change in changes:
            self._apply_node_change(change)
        self._registration.restore(own_record)

    def apply_configurations(self, changes: list[RowChange]) -> None:
        """Apply the configuration if its row is among the changes."""
        for change in changes:
            if change.key != self._adapter.configuration_key or change.row is None:
                continue
            decoded = self._adapter.decode_configuration(change.row.value)
            if decoded.is_error():
                self._metrics.record_invalid_configuration()
                eliot.log_message(
                    "configuration:invalid",
                    error=decoded.error,
                    in_force=self._configuration.version(),
                )
            elif self._configuration.apply(decoded.ok, "rows") and self._is_exploring():
                # Nodes that the store turns away may follow one another.
                zone = self.list_zone()
                self._peer_sync.announce_version([each.address for each in zone])

    def apply_node_snapshot(
        self, changes: list[RowChange], version: StoreVersion
    ) -> None:
        """Apply the records of all nodes as of a version; remove nodes without one.

        A store that was restored may have lost their records. They have time to write
        them again.
        """
        restored = self._nodes_epoch is not None and self._nodes_epoch < version.epoch
        self._nodes_epoch = version.epoch
        if restored:
            eliot.log_message("store:restored", version=version, nodes=len(changes))
        found = {change.key for change in changes}
        for change in changes:
            self._apply_node_change(change)
        if restored and NODES_TABLE in self._store_watch.followed():
            self._restore_leaving_records(changes, version)
        wait = self._get_settings().store_recovery_time if restored else timedelta()
        for peer in self._directory.peers():
            if peer.record.node not in found:
                self._directory.expire(peer.record.node, wait)
        self._directory.remove_expired()
        if self._get_settings().node not in found:
            self._request_publication(version)

    def _restore_leaving_records(
        self, changes: list[RowChange], version: StoreVersion
    ) -> None:
        """Write the zone's records of leaving targets again that the store has lost.

        Their nodes may be gone, and a restarted one would not know of the shutdown.
        """
        rows = {each.key: each.row for each in changes}
        for peer in self._directory.peers():
            record = peer.record
            if not record.leaving or record.incarnation is None:
                continue
            if record.zone != self._get_settings().zone:
                continue
            row = rows.get(record.node)
            stored = decode_record(row.value) if row is not None else None
            if stored is None or supersedes(record, stored):
                expected = row.version if row else version.of_missing_row()
                self._publisher.restore_record(record, expected)

    def _apply_node_change(self, change: RowChange) -> None:
        if change.key == self._get_settings().node:
            self._check_own_row(change)
        elif change.row is None:
            if self._directory.remove(change.key):
                eliot.log_message("node:removed", node=change.key)
        else:
            record = decode_record(change.row.value)
            if record is None or record.node != change.key:
                eliot.log_message("node:record_invalid", key=change.key)
            else:
                self._directory.keep(record.node)
                self._peer_sync.apply_record(record)

    def _check_own_row(self, change: RowChange) -> None:
        stored = decode_record(change.row.value) if change.row else None
        current = self._publisher.make_record()
        if stored is None:
            self._request_publication(change.version)
        elif stored.session != current.session:
            self._registration.apply_record(stored)
            self._request_publication(change.version)
        elif stored != current:
            self._request_publication(change.version)

    def _request_publication(self, outdated_at: StoreVersion | None) -> None:
        # Before the first heartbeat of the target there is nothing to publish.
        if outdated_at is not None and self._registration.state() is not None:
            self._publisher.request_rewrite(outdated_at)

    def _on_store_result(self, reached: bool, detail: str) -> None:
        table = detail.partition(":")[0]
        self._store_watch.record_result(table, reached)
        if self._store_reached.get(table) != reached:
            self._store_reached[table] = reached
            name = "store:reached" if reached else "store:lost"
            eliot.log_message(name, detail=detail)
