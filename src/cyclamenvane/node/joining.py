"""Joins a starting node to the other nodes, and keeps it joined.

The addresses of other nodes come from the seeds in the settings and from rows on
the platform, those of the local zone first. One node that answers is enough:
it returns its complete view and the sections in force.
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
    from ..policy import SectionSync
    from ..routing import PeerPool
    from ..store import Table

__all__ = ["Joiner", "pack_differing_members", "pack_members", "unpack_members"]

_RETRY_INTERVAL = timedelta(seconds=1)
_CHECK_INTERVAL = timedelta(seconds=30)
_START_ALONE_TIMEOUT = timedelta(seconds=10)
_SYNC_INTERVAL = timedelta(seconds=20)
_QUERY_TIMEOUT = timedelta(seconds=1)
_ALL_ZONES = ""


def pack_members(members: Iterable[Member]) -> bytes:
    """Return members serialized with msgpack."""
    return msgpack.packb([pack_member(each) for each in members])


def unpack_members(data: bytes) -> tuple[Member, ...]:
    """Return deserialized members, an empty tuple when `data` is malformed."""
    try:
        return tuple(unpack_member(v) for v in msgpack.unpackb(data, use_list=False))
    except (ValueError, TypeError, MalformedMember, msgpack.UnpackException):
        return ()


def pack_differing_members(view: View, payload: bytes) -> bytes | None:
    """Return the serialized members of the buckets whose digests differ.

    `payload` holds the other node's digests. Return None when it is malformed.
    """
    try:
        digests = msgpack.unpackb(payload)
    except (ValueError, msgpack.UnpackException):
        return None
    if not isinstance(digests, list) or len(digests) != BUCKETS:
        return None
    return pack_members(view.list_differing(digests))


class Joiner:
    """Joins a node to the others by its seeds and the platform's rows."""

    def __init__(
        self,
        view: View,
        peers: PeerPool,
        section_sync: SectionSync,
        table: Table,
        seeds: tuple[tuple[str, int], ...],
        actions: ActionLog,
        clock: Clock,
        executor: Executor,
        stopped: threading.Event,
    ) -> None:
        self._view = view
        self._peers = peers
        self._section_sync = section_sync
        self._table = table
        self._seeds = seeds
        self._actions = actions
        self._clock = clock
        self._executor = executor
        self._stopped = stopped
        self._synced_at: timedelta | None = None

    def join(self) -> bool:
        """Load the members and the sections in force, from the platform or a peer.

        If neither answers, the node starts with safe defaults after a timeout.
        Return False when the node is stopped while joining.
        """
        started_at = self._clock.monotonic()
        while not self._load_state():
            if self._clock.monotonic() - started_at >= _START_ALONE_TIMEOUT:
                self._actions.record("start", self._view.own.name, "without sections")
                return True
            if self._stopped.wait(_RETRY_INTERVAL.total_seconds()):
                return False
        return True

    def stay_joined(self) -> None:
        """Renew this node's row, and contact other nodes while none is known."""
        renewed_at: timedelta | None = None
        while not self._stopped.is_set():
            now = self._clock.monotonic()
            if renewed_at is None or now - renewed_at >= ROW_RENEWAL:
                if write_row(self._table, self._view.own).is_ok():
                    renewed_at = now
            if not self._view.others():
                self._sync_with_any()
            wait = _RETRY_INTERVAL if renewed_at is None else _CHECK_INTERVAL
            self._stopped.wait(wait.total_seconds())

    def schedule_sync(self, sender: Member) -> None:
        """Fetch differing members from `sender`, at most once per sync interval."""
        now = self._clock.monotonic()
        if self._synced_at is not None and now - self._synced_at < _SYNC_INTERVAL:
            return
        self._synced_at = now
        self._executor.submit(self._fetch_differing, sender)

    def _fetch_differing(self, sender: Member) -> None:
        client = self._peers.reach(sender)
        if client is None:
            return
        payload = msgpack.packb(self._view.bucket_digests())
        reply = client.query("membership.differ", payload, _QUERY_TIMEOUT)
        if reply is not None:
            self._view.merge_all(unpack_members(reply))

    def _load_state(self) -> bool:
        reached = self._sync_with_any()
        return self._section_sync.load_all() or reached

    def _sync_with_any(self) -> bool:
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
        for zone in (self._view.own.zone, _ALL_ZONES):
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
        reply = client.query("membership.sync", payload, _QUERY_TIMEOUT)
        if reply is None:
            return False
        members = unpack_members(reply)
        self._view.merge_all(members)
        self._synced_at = self._clock.monotonic()
        for member in members:
            if (member.host, member.stream_port) == address:
                return self._section_sync.compare(member)
        return True
