"""The exchanges between nodes other than forwarding: hellos and snapshots.

A node that could not be reached is sent a hello after a pause. When another node
reports a newer configuration, a snapshot is requested from it, so a node that is
cut off from the store gets the configuration from other nodes.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import eliot
from expression import Result

from .confirmation_sync import ConfirmationSync
from .forward import FrameKind
from .publication import decode_record, encode_record
from .watch import Watch, watch_no_caller

if TYPE_CHECKING:
    from ..accounts.confirmation import Confirmation
    from ..clock import Clock
    from .configuration import CurrentConfiguration
    from .directory import PeerDirectory
    from .model import Address, Configuration, NodeRecord
    from .peer_pool import PeerPool
    from .stop_event import Sleep

__all__ = ["PeerSync"]

_ROUND_INTERVAL = timedelta(milliseconds=250)
_REQUEST_TIMEOUT = timedelta(milliseconds=500)
# Of the rounds in which other nodes are asked at the start, which delays it. A node
# that is gone accepts no connection, and costs the time for connecting only. In the
# last round a busy node has the time to answer: an older version may accept revoked
# keys.
_START_TIMEOUTS = timedelta(milliseconds=250), timedelta(seconds=2)


class PeerSync:
    """Sends hellos to unreachable nodes, and fetches newer configurations."""

    def __init__(
        self,
        make_record: Callable[[], NodeRecord],
        directory: PeerDirectory,
        peers: PeerPool,
        configuration: CurrentConfiguration,
        decode_configuration: Callable[[bytes], Result[Configuration, str]],
        confirmation: Confirmation,
        clock: Clock,
        sleep: Sleep,
    ) -> None:
        self._make_record = make_record
        self._directory = directory
        self._peers = peers
        self._configuration = configuration
        self._decode_configuration = decode_configuration
        self._clock = clock
        self._sleep = sleep
        self._newer_versions: dict[Address, int] = {}
        self._announced: Sequence[Address] = ()
        self._lock = threading.Lock()
        self.confirmations = ConfirmationSync(
            confirmation,
            configuration,
            directory,
            peers,
            lambda: make_record().zone,
            self.add_newer_version,
            clock,
        )

    def apply_record(self, record: NodeRecord) -> None:
        """Apply the record of another node."""
        if self._directory.apply(record):
            eliot.log_message(
                "node:known",
                node=record.node,
                session=record.session,
                service=record.service,
                leaving=record.leaving,
            )

    def add_newer_version(self, version: int, address: Address) -> None:
        """Add a newer version at an address; the next round fetches it."""
        with self._lock:
            self._newer_versions[address] = version

    def announce_version(self, addresses: Sequence[Address]) -> None:
        """Send hellos with the version in force in the next round."""
        with self._lock:
            self._announced = addresses

    def make_snapshot(self) -> list[Any]:
        """Return a snapshot frame: the configuration and the known records."""
        table = self._configuration.current()
        encoded = table.configuration.encoded if table else b""
        records = [peer.record for peer in self._directory.peers()]
        records.append(self._make_record())
        return [FrameKind.SNAPSHOT, encoded, [encode_record(each) for each in records]]

    def run(self) -> None:
        """Send hellos and fetch snapshots in rounds, until the node stops."""
        watch = watch_no_caller(self._clock)
        while self._sleep(_ROUND_INTERVAL):
            self._directory.remove_expired()
            self._send_announcements(watch)
            self._probe_unreachable(watch)
            self._fetch_snapshots(watch)
            self.confirmations.run_round(watch)

    def _send_announcements(self, watch: Watch) -> None:
        with self._lock:
            addresses, self._announced = self._announced, ()
        for address in addresses:
            hello = self.make_hello()
            response = self._peers.request(address, hello, watch, _REQUEST_TIMEOUT)
            if response is not None:
                self.apply_hello(response, address)

    def _probe_unreachable(self, watch: Watch) -> None:
        now = self._clock.monotonic()
        for peer in self._directory.peers():
            if not peer.is_retry_due(now):
                continue
            address = peer.record.address
            frame = self.make_hello()
            response = self._peers.request(address, frame, watch, _REQUEST_TIMEOUT)
            if response is None:
                peer.record_unreachable()
                continue
            peer.record_reachable()
            eliot.log_message("node:reached", node=peer.record.node)
            self.apply_hello(response, address)

    def apply_hello(self, frame: list[Any], address: Address) -> None:
        """Apply a hello, or the response to one."""
        if len(frame) != 3 or not isinstance(frame[1], int):
            return
        record = decode_record(frame[2])
        if record is not None:
            self.apply_record(record)
        if frame[1] > self._configuration.version():
            # The connection may come from another address of the node's VM.
            known = address if record is None else record.address
            self.add_newer_version(frame[1], known)

    def make_hello(self) -> list[Any]:
        """Return a hello frame: the configuration version and this node's record."""
        version = self._configuration.version()
        return [FrameKind.HELLO, version, encode_record(self._make_record())]

    def _fetch_snapshots(self, watch: Watch) -> None:
        with self._lock:
            pending, self._newer_versions = self._newer_versions, {}
        for address, version in pending.items():
            if version <= self._configuration.version():
                continue
            frame = [FrameKind.SNAPSHOT]
            response = self._peers.request(address, frame, watch, _REQUEST_TIMEOUT)
            if response is not None:
                self._apply_snapshot(response, address)

    def fetch_newest(self, addresses: Sequence[Address]) -> None:
        """Fetch snapshots from nodes, before this one follows the store.

        A store that was restored has an older version than they have. If none answers,
        they are asked once more with a longer time-out: a VM may be busy.
        """
        for timeout in _START_TIMEOUTS:
            if not addresses or self._fetch_from_each(addresses, timeout):
                return
        eliot.log_message("node:start_unanswered", asked=len(addresses))

    def _fetch_from_each(
        self, addresses: Sequence[Address], timeout: timedelta
    ) -> bool:
        watch = watch_no_caller(self._clock)
        answered = False
        for address in addresses:
            response = self._peers.request(
                address, [FrameKind.SNAPSHOT], watch, timeout
            )
            if response is not None:
                self._apply_snapshot(response, address)
                answered = True
        return answered

    def _apply_snapshot(self, frame: list[Any], address: Address) -> None:
        if len(frame) != 3 or frame[0] != FrameKind.SNAPSHOT:
            eliot.log_message("node:snapshot_invalid")
            return
        decoded = self._decode_configuration(frame[1])
        if decoded.is_ok():
            self._configuration.apply(decoded.ok, f"snapshot of {address[0]}")
        for data in frame[2]:
            record = decode_record(data)
            if record is not None:
                self.apply_record(record)
