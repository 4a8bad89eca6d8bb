"""Applies the configuration and the records of nodes from the store."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING

import eliot

from .publication import NODES_TABLE, RecordPublisher, decode_record
from .rows import RowChange, StoredRow
from .subscription import Subscription

if TYPE_CHECKING:
    from .adapter import MeshAdapter
    from .configuration import CurrentConfiguration
    from .directory import PeerDirectory
    from .metric import Metrics
    from .model import MeshSettings
    from .peer_sync import PeerSync
    from .registration import Registration
    from .stop_event import Sleep

__all__ = ["Discovery"]

_BATCH_DELAY = timedelta(milliseconds=60)  # changes close together are read in one call
_READ_SHARE = 0.33  # of the store's read rate, for the records of nodes


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
        metrics: Metrics,
        sleep: Sleep,
    ) -> None:
        self._get_settings = get_settings
        self._adapter = adapter
        self._configuration = configuration
        self._directory = directory
        self._registration = registration
        self._peer_sync = peer_sync
        self._publisher = publisher
        self._metrics = metrics
        self._sleep = sleep
        self._store_reached: dict[str, bool] = {}

    def make_configuration_subscription(self) -> Subscription:
        """Return the task that applies changes of the configuration."""
        adapter = self._adapter
        return Subscription(
            adapter.open_store(self._get_settings().store),
            adapter.configuration_table,
            lambda: [""],
            lambda changes: self.apply_configurations(changes),
            lambda change: self.apply_configurations([change]),
            self._on_store_result,
            lambda: _BATCH_DELAY,
            self._sleep,
        )

    def make_node_subscription(self) -> Subscription:
        """Return the task that applies changes of the records of nodes."""
        return Subscription(
            self._adapter.open_store(self._get_settings().store),
            NODES_TABLE,
            lambda: self._get_settings().zones,
            self.apply_node_snapshot,
            self._apply_node_change,
            self._on_store_result,
            self._compute_node_batch_delay,
            self._sleep,
        )

    def _compute_node_batch_delay(self) -> timedelta:
        # Each change of a node's record wakes all nodes, so the more nodes there
        # are, the more changes each read has to cover.
        nodes = len(self._directory.peers()) + 1
        rate = self._get_settings().store_reads_per_s * _READ_SHARE
        return max(_BATCH_DELAY, timedelta(seconds=nodes / max(rate, 1.0)))

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
            else:
                self._configuration.apply(decoded.ok)

    def apply_node_snapshot(self, changes: list[RowChange]) -> None:
        """Apply the records of all nodes, and remove nodes without one."""
        found = {change.key for change in changes}
        for change in changes:
            self._apply_node_change(change)
            if change.key == self._get_settings().node and change.row is not None:
                self._restore_deregistration(change.row)
        for peer in self._directory.peers():
            if peer.record.node not in found:
                self._directory.remove(peer.record.node)
        if self._get_settings().node not in found:
            self._request_publication()

    def _restore_deregistration(self, row: StoredRow) -> None:
        # An earlier session of the node may have recorded the target's shutdown.
        record = decode_record(row.value)
        if record is not None and record.leaving and record.incarnation is not None:
            self._registration.restore_deregistration(record.incarnation)

    def _request_publication(self) -> None:
        # Before the first heartbeat of the target there is nothing to publish.
        if self._registration.state() is not None:
            self._publisher.request_write()

    def _apply_node_change(self, change: RowChange) -> None:
        if change.row is None:
            if change.key == self._get_settings().node:
                self._request_publication()
            if self._directory.remove(change.key):
                eliot.log_message("node:removed", node=change.key)
            return
        record = decode_record(change.row.value)
        if record is None or record.node != change.key:
            eliot.log_message("node:record_invalid", key=change.key)
        else:
            self._peer_sync.apply_record(record)

    def _on_store_result(self, reached: bool, detail: str) -> None:
        self._metrics.record_store_call(reached)
        table = detail.partition(":")[0]
        if self._store_reached.get(table) != reached:
            self._store_reached[table] = reached
            name = "store:reached" if reached else "store:lost"
            eliot.log_message(name, detail=detail)
