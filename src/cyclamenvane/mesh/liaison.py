"""What nodes tell each other beside orders: greetings and snapshots.

A node that could not be reached is greeted again after a pause. A node that
hears of a newer configuration asks for it where it heard of it, so one that is
cut off from the store is served by the others.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import eliot
from expression import Result

from .order import FrameKind
from .publication import decode_record, encode_record
from .watch import Signal, Watch

if TYPE_CHECKING:
    from ..clock import Clock
    from .configuration import CurrentConfiguration
    from .directory import Directory
    from .model import Address, Configuration, NodeRecord
    from .pause import Pause
    from .peering import PeerPool

__all__ = ["Liaison"]

_ROUND = timedelta(milliseconds=250)
_ASK_TIMEOUT = timedelta(milliseconds=500)


class Liaison:
    """Greets nodes that could not be reached, and asks for what is missing."""

    def __init__(
        self,
        own: Callable[[], NodeRecord],
        directory: Directory,
        peers: PeerPool,
        configuration: CurrentConfiguration,
        decode_configuration: Callable[[bytes], Result[Configuration, str]],
        clock: Clock,
        pause: Pause,
    ) -> None:
        self._own = own
        self._directory = directory
        self._peers = peers
        self._configuration = configuration
        self._decode_configuration = decode_configuration
        self._clock = clock
        self._pause = pause
        self._newer: dict[Address, int] = {}
        self._lock = threading.Lock()

    def note_record(self, record: NodeRecord) -> None:
        """Take the record of another node."""
        if self._directory.take(record):
            eliot.log_message(
                "node:known",
                node=record.node,
                run=record.run,
                service=record.service,
                leaving=record.leaving,
            )

    def note_newer_version(self, version: int, address: Address) -> None:
        """Note that the node at an address knows a newer configuration."""
        with self._lock:
            self._newer[address] = version

    def make_snapshot(self) -> list[Any]:
        """Return the configuration and the records, for another node."""
        table = self._configuration.current()
        source = table.configuration.source if table else b""
        records = [peer.record for peer in self._directory.peers()]
        records.append(self._own())
        return [FrameKind.SNAPSHOT, source, [encode_record(each) for each in records]]

    def run(self) -> None:
        """Work in rounds until the process ends."""
        quiet = Signal()
        # Nobody waits for these exchanges, so none of them is cancelled.
        watch = Watch(self._clock, quiet.descriptor, lambda: True)
        while self._pause(_ROUND):
            self._greet(watch)
            self._fetch(watch)

    def _greet(self, watch: Watch) -> None:
        now = self._clock.monotonic()
        for peer in self._directory.peers():
            if not peer.is_due(now):
                continue
            address = peer.record.address
            frame = self.make_greeting()
            answer = self._peers.ask(address, frame, watch, _ASK_TIMEOUT)
            if answer is None:
                peer.note_unreachable()
                continue
            peer.note_reachable()
            eliot.log_message("node:reached", node=peer.record.node)
            self.note_greeting(answer, address)

    def note_greeting(self, frame: list[Any], address: Address) -> None:
        """Take a greeting, or the answer to one."""
        if len(frame) != 3 or not isinstance(frame[1], int):
            return
        record = decode_record(frame[2])
        if record is not None:
            self.note_record(record)
        if frame[1] > self._configuration.version():
            self.note_newer_version(frame[1], address)

    def make_greeting(self) -> list[Any]:
        """Return this node's version and record."""
        version = self._configuration.version()
        return [FrameKind.HELLO, version, encode_record(self._own())]

    def _fetch(self, watch: Watch) -> None:
        with self._lock:
            newer, self._newer = self._newer, {}
        for address, version in newer.items():
            if version <= self._configuration.version():
                continue
            frame = [FrameKind.SNAPSHOT]
            answer = self._peers.ask(address, frame, watch, _ASK_TIMEOUT)
            if answer is not None:
                self._take_snapshot(answer)

    def _take_snapshot(self, frame: list[Any]) -> None:
        if len(frame) != 3 or frame[0] != FrameKind.SNAPSHOT:
            eliot.log_message("node:snapshot_invalid")
            return
        decoded = self._decode_configuration(frame[1])
        if decoded.is_ok():
            self._configuration.take(decoded.ok)
        for data in frame[2]:
            record = decode_record(data)
            if record is not None:
                self.note_record(record)
