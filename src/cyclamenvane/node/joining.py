"""How a node joins the others when it starts, and stays joined.

It reads rows on the platform, its own zone's first, and the seeds from its
settings. One node that answers is enough: it gives its whole view and the
sections in force.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from datetime import timedelta
from typing import TYPE_CHECKING

import msgpack

from ..membership import (
    BUCKETS,
    ROW_RENEWAL,
    MalformedMember,
    Member,
    View,
    pack_member,
    read_rows,
    unpack_member,
    write_row,
)

if TYPE_CHECKING:
    import threading
    from concurrent.futures import Executor

    from ..audit import ActionLog
    from ..clock import Clock
    from ..policy import Spread
    from ..routing import PeerPool
    from ..store import Table

__all__ = ["Joining", "answer_differing", "pack_members", "unpack_members"]

_RETRY = timedelta(seconds=1)
_CHECK = timedelta(seconds=30)
_START_ALONE = timedelta(seconds=10)
_SYNC_EVERY = timedelta(seconds=20)
_ASK_TIMEOUT = timedelta(seconds=1)
_EVERY_ZONE = ""


def pack_members(members: Iterable[Member]) -> bytes:
    """Return members as bytes."""
    return msgpack.packb([pack_member(each) for each in members])


def unpack_members(data: bytes) -> tuple[Member, ...]:
    """Return the members in bytes, none when they are malformed."""
    try:
        return tuple(unpack_member(v) for v in msgpack.unpackb(data, use_list=False))
    except (ValueError, TypeError, MalformedMember, msgpack.UnpackException):
        return ()


def answer_differing(view: View, payload: bytes) -> bytes | None:
    """Return the members of the buckets that differ from a node's digests."""
    try:
        digests = msgpack.unpackb(payload)
    except (ValueError, msgpack.UnpackException):
        return None
    if not isinstance(digests, list) or len(digests) != BUCKETS:
        return None
    return pack_members(view.list_differing(digests))


class Joining:
    """One node's way to the others."""

    def __init__(
        self,
        view: View,
        peers: PeerPool,
        spread: Spread,
        table: Table,
        seeds: tuple[tuple[str, int], ...],
        actions: ActionLog,
        clock: Clock,
        executor: Executor,
        stopped: threading.Event,
    ) -> None:
        self._view = view
        self._peers = peers
        self._spread = spread
        self._table = table
        self._seeds = seeds
        self._actions = actions
        self._clock = clock
        self._executor = executor
        self._stopped = stopped
        self._synced_at: timedelta | None = None

    def join(self) -> bool:
        """Learn what is in force, from the platform or else from a peer.

        With neither, the node starts with safe defaults after a while. Returns
        False when the node was stopped meanwhile.
        """
        began = self._clock.monotonic()
        while not self._learn():
            if self._clock.monotonic() - began >= _START_ALONE:
                self._actions.note("start", self._view.own.name, "without sections")
                return True
            if self._stopped.wait(_RETRY.total_seconds()):
                return False
        return True

    def keep_joined(self) -> None:
        """Renew this node's row, and look for others while there are none."""
        renewed: timedelta | None = None
        while not self._stopped.is_set():
            now = self._clock.monotonic()
            if renewed is None or now - renewed >= ROW_RENEWAL:
                if write_row(self._table, self._view.own).is_ok():
                    renewed = now
            if not self._view.others():
                self._contact_others()
            wait = _RETRY if renewed is None else _CHECK
            self._stopped.wait(wait.total_seconds())

    def compare_views(self, sender: Member) -> None:
        """Exchange views with a member that knows other members, now and then."""
        now = self._clock.monotonic()
        if self._synced_at is not None and now - self._synced_at < _SYNC_EVERY:
            return
        self._synced_at = now
        self._executor.submit(self._take_differing, sender)

    def _take_differing(self, sender: Member) -> None:
        client = self._peers.reach(sender)
        if client is None:
            return
        payload = msgpack.packb(self._view.read_buckets())
        reply = client.ask("membership.differ", payload, _ASK_TIMEOUT)
        if reply is not None:
            self._view.merge_all(unpack_members(reply))

    def _learn(self) -> bool:
        reached = self._contact_others()
        return self._spread.load_all() or reached

    def _contact_others(self) -> bool:
        own = self._view.own
        tried = {(own.host, own.stream_port)}
        for address in self._list_addresses():
            if address in tried:
                continue
            tried.add(address)
            if self._sync_with(address):
                return True
        return False

    def _list_addresses(self) -> Iterator[tuple[str, int]]:
        yield from self._seeds
        for zone in (self._view.own.zone, _EVERY_ZONE):
            rows = read_rows(self._table, zone)
            if rows.is_ok():
                self._view.merge_all(rows.ok)
            for member in self._view.others():
                yield member.host, member.stream_port

    def _sync_with(self, address: tuple[str, int]) -> bool:
        client = self._peers.connect(address)
        if client is None:
            return False
        payload = pack_members([self._view.own])
        reply = client.ask("membership.sync", payload, _ASK_TIMEOUT)
        if reply is None:
            return False
        members = unpack_members(reply)
        self._view.merge_all(members)
        self._synced_at = self._clock.monotonic()
        for member in members:
            if (member.host, member.stream_port) == address:
                return self._spread.compare(member)
        return True
