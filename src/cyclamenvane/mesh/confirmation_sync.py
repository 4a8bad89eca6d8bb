"""Confirmations of the configuration from other nodes, if settings are strict.

Nodes of a zone get them with the rows that their watcher relays. While a zone has no
path to the store, its nodes ask those of other zones.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import eliot

from .forward import FrameKind

if TYPE_CHECKING:
    from ..accounts.confirmation import Confirmation
    from ..clock import Clock
    from .configuration import CurrentConfiguration
    from .directory import Peer, PeerDirectory
    from .model import Address
    from .peer_pool import PeerPool
    from .watch import Watch

__all__ = ["ConfirmationSync"]

_REQUEST_TIMEOUT = timedelta(milliseconds=500)


class ConfirmationSync:
    """Asks other nodes for confirmations, and answers them."""

    def __init__(
        self,
        confirmation: Confirmation,
        configuration: CurrentConfiguration,
        directory: PeerDirectory,
        peers: PeerPool,
        get_zone: Callable[[], str],
        on_newer_version: Callable[[int, Address], None],
        clock: Clock,
    ) -> None:
        self._confirmation = confirmation
        self._configuration = configuration
        self._directory = directory
        self._peers = peers
        self._get_zone = get_zone
        self._on_newer_version = on_newer_version
        self._clock = clock
        self._accepted_keys = True

    def answer(self) -> list[Any]:
        """Return this node's version and its last confirmation."""
        # Read first: the version may only be newer than what was confirmed.
        fields = self._confirmation.pack(self._clock.monotonic())
        return [FrameKind.CONFIRM, self._configuration.version(), fields]

    def run_round(self, watch: Watch) -> None:
        """Ask a node of this zone and one of another zone, if that is needed."""
        table = self._configuration.current()
        if table is None or table.tiers is None:
            return
        if self._confirmation.should_ask():
            for peer in self._choose_peers():
                if self._ask(peer, watch):
                    break
        self._log_change()

    def _choose_peers(self) -> list[Peer]:
        zone = self._get_zone()
        usable = [peer for peer in self._directory.peers() if not peer.is_unreachable()]
        local = [peer for peer in usable if peer.record.zone == zone]
        remote = [peer for peer in usable if peer.record.zone != zone]
        return [random.choice(peers) for peers in (remote, local) if peers]

    def _ask(self, peer: Peer, watch: Watch) -> bool:
        """Ask a node; return whether no other needs to be asked in this round."""
        address, sent_at = peer.record.address, self._clock.monotonic()
        response = self._peers.request(
            address, [FrameKind.CONFIRM], watch, _REQUEST_TIMEOUT
        )
        if response is None or len(response) != 3 or response[0] != FrameKind.CONFIRM:
            return False
        version = response[1]
        if not isinstance(version, int):
            return False
        if version > self._configuration.version():
            self._on_newer_version(version, address)
            return False
        self._confirmation.record_answer(response[2], sent_at)
        return not self._confirmation.should_ask()

    def _log_change(self) -> None:
        accepted = self._confirmation.is_recent()
        if accepted == self._accepted_keys:
            return
        self._accepted_keys = accepted
        name = "configuration:confirmed" if accepted else "configuration:unconfirmed"
        eliot.log_message(name, in_force=self._configuration.version())
