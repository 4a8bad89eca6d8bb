"""What a node learns from the store: the configuration and the other nodes."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING

import eliot

from .publication import NODES_TABLE, Publication, decode_record
from .rows import RowChange, StoredRow
from .subscription import Subscription

if TYPE_CHECKING:
    from .adapter import MeshAdapter
    from .configuration import CurrentConfiguration
    from .directory import Directory
    from .liaison import Liaison
    from .metric import Metrics
    from .model import MeshSettings
    from .pause import Pause
    from .registration import Registration

__all__ = ["Discovery"]

_GATHER = timedelta(milliseconds=60)  # changes that come together are read together
_READ_SHARE = 0.33  # of the store's reads, for the records of nodes


class Discovery:
    """Takes rows of the store into what the node believes."""

    def __init__(
        self,
        settings: Callable[[], MeshSettings],
        adapter: MeshAdapter,
        configuration: CurrentConfiguration,
        directory: Directory,
        registration: Registration,
        liaison: Liaison,
        publication: Publication,
        metrics: Metrics,
        lifetime: Pause,
    ) -> None:
        self._settings = settings
        self._adapter = adapter
        self._configuration = configuration
        self._directory = directory
        self._registration = registration
        self._liaison = liaison
        self._publication = publication
        self._metrics = metrics
        self._lifetime = lifetime
        self._contact: dict[str, bool] = {}

    def watch_configuration(self) -> Subscription:
        """Return the task that follows the configuration."""
        adapter = self._adapter
        return Subscription(
            adapter.open_store(self._settings().store),
            adapter.configuration_table,
            lambda: [""],
            lambda changes: self.take_configurations(changes),
            lambda change: self.take_configurations([change]),
            self._note_contact,
            lambda: _GATHER,
            self._lifetime,
        )

    def watch_nodes(self) -> Subscription:
        """Return the task that follows the records of nodes."""
        return Subscription(
            self._adapter.open_store(self._settings().store),
            NODES_TABLE,
            lambda: self._settings().zones,
            self.take_nodes,
            self._take_node,
            self._note_contact,
            self._gather_nodes,
            self._lifetime,
        )

    def _gather_nodes(self) -> timedelta:
        # Each change of a node's record wakes all nodes, so the more nodes there
        # are, the more changes have to be read at once.
        nodes = len(self._directory.peers()) + 1
        rate = self._settings().store_reads_per_s * _READ_SHARE
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
                self._configuration.take(decoded.ok)

    def take_nodes(self, changes: list[RowChange]) -> None:
        """Take the records of all nodes; nodes without one are gone."""
        found = {change.key for change in changes}
        for change in changes:
            self._take_node(change)
            if change.key == self._settings().node and change.row is not None:
                self._restore(change.row)
        for peer in self._directory.peers():
            if peer.record.node not in found:
                self._directory.drop(peer.record.node)
        if self._settings().node not in found:
            self._publish()

    def _restore(self, row: StoredRow) -> None:
        # An earlier run may have acknowledged that the target ends.
        record = decode_record(row.value)
        if record is not None and record.leaving and record.incarnation is not None:
            self._registration.restore_end(record.incarnation)

    def _publish(self) -> None:
        # Until the target has sent a heartbeat there is nothing to tell.
        if self._registration.state() is not None:
            self._publication.note_change()

    def _take_node(self, change: RowChange) -> None:
        if change.row is None:
            if change.key == self._settings().node:
                self._publish()
            if self._directory.drop(change.key):
                eliot.log_message("node:removed", node=change.key)
            return
        record = decode_record(change.row.value)
        if record is None or record.node != change.key:
            eliot.log_message("node:record_invalid", key=change.key)
        else:
            self._liaison.note_record(record)

    def _note_contact(self, reached: bool, detail: str) -> None:
        self._metrics.note_store(reached)
        table = detail.partition(":")[0]
        if self._contact.get(table) != reached:
            self._contact[table] = reached
            name = "store:reached" if reached else "store:lost"
            eliot.log_message(name, detail=detail)
