"""A node's use of the store: its own record, and what it follows."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from .acknowledgement import TargetAcknowledger
from .counted_store import CountedStore
from .discovery import Discovery
from .movable_store import MovableStore
from .publication import NODES_TABLE, RecordPublisher
from .relay import Follower, Relay
from .store_watch import StoreWatch
from .watchers import WatcherSelection

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

__all__ = ["StoreClient"]

_NODES_ASKED_AT_START = 2  # one may have started too, or not answer


class StoreClient:
    """Publishes the node's record, and follows the store or a node that relays it."""

    def __init__(
        self,
        get_settings: Callable[[], MeshSettings],
        adapter: MeshAdapter,
        make_record: Callable[[], NodeRecord],
        configuration: CurrentConfiguration,
        directory: PeerDirectory,
        registration: Registration,
        peer_sync: PeerSync,
        confirmation: Confirmation,
        metrics: Metrics,
        clock: Clock,
        sleep: Sleep,
    ) -> None:
        self._stores: list[MovableStore] = []

        def open_store() -> CountedStore:
            store = MovableStore(adapter.open_store, lambda: get_settings().store)
            self._stores.append(store)
            return CountedStore(store, metrics)

        self._peer_sync = peer_sync
        self._joined = threading.Event()
        node = get_settings().node
        tables = (adapter.configuration_table, NODES_TABLE)
        self.store_watch = StoreWatch(tables, clock)
        self.publisher = RecordPublisher(
            open_store(), make_record, registration.restore, sleep
        )
        self.acknowledger = TargetAcknowledger(registration, self.publisher, clock)
        selection = WatcherSelection(node, lambda: self.discovery.list_zone(), clock)
        self.discovery = Discovery(
            get_settings,
            adapter,
            configuration,
            directory,
            registration,
            peer_sync,
            self.publisher,
            open_store,
            self.store_watch,
            selection.is_exploring,
            confirmation,
            metrics,
            clock,
            sleep,
        )
        replica = self.discovery.replica
        self.relay = Relay(replica, self.store_watch, selection, confirmation, clock)
        self._follower = Follower(
            node,
            replica,
            self.store_watch,
            selection,
            confirmation,
            (adapter.configuration_table,),
            clock,
            sleep,
        )

    def tasks(self) -> list[Callable[[], None]]:
        """Return the functions to run, each in a task of its own."""
        subscriptions = self.discovery.make_subscriptions()
        return [
            *(partial(self._run_joined, each.run) for each in subscriptions),
            self._follow,
            self.publisher.run,
        ]

    def reconnect(self) -> None:
        """Let calls to an address fail that is not that of the settings any more."""
        for store in self._stores:
            store.interrupt_moved()

    def wake(self) -> None:
        """Wake the tasks, so that they notice that the node has stopped."""
        self.publisher.request_write()
        self.store_watch.follow_all()
        self.relay.close()
        self._joined.set()

    def _follow(self) -> None:
        self.discovery.join_zone()
        zone = self.discovery.list_zone()
        asked = random.sample(zone, min(len(zone), _NODES_ASKED_AT_START))
        self._peer_sync.fetch_newest([record.address for record in asked])
        self._joined.set()
        self._follower.run()

    def _run_joined(self, run: Callable[[], None]) -> None:
        # Another node may follow this one as soon as it has started.
        self._joined.wait()
        run()
