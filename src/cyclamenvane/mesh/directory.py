"""The nodes that this node knows of, and how calls to them have fared.

Records come from the store and from other nodes. What this node has seen of a
node itself, such as a connection that could not be opened, outlives its record.
"""

from __future__ import annotations

import threading
from datetime import timedelta
from typing import TYPE_CHECKING

from .order import NO_LOAD, Load

if TYPE_CHECKING:
    from ..clock import Clock
    from .model import NodeRecord

__all__ = ["Directory", "Peer"]

_FIRST_PAUSE = timedelta(milliseconds=500)  # after a node could not be reached
_LONGEST_PAUSE = timedelta(seconds=4)
# Restarting a target or a node takes longer, and asking costs little.
_CLOSED_PAUSE = timedelta(seconds=1)
_LOAD_VALID_FOR = timedelta(seconds=1)  # older news of a load says nothing
_RECOVERY_CALLS = 3  # answered calls after which a broken target counts as sound


class Peer:
    """One node, and what this node has seen of it."""

    def __init__(self, record: NodeRecord, clock: Clock) -> None:
        self.record = record
        self.in_flight = 0
        self.faults = 0.0
        self._clock = clock
        self._load = NO_LOAD
        self._load_at = timedelta()
        self._sent_since = 0
        self._pause = timedelta()
        self._paused_until = timedelta()
        self._refused_run = 0
        self._closed_until = timedelta()

    def note_record(self, record: NodeRecord) -> None:
        """Take a newer record; what was seen of an earlier start is forgotten."""
        known, self.record = self.record, record
        if record.run != known.run:
            self.note_reachable()
        if (record.run, record.incarnation) != (known.run, known.incarnation):
            self._refused_run = 0
            self._closed_until = timedelta()

    def used_share(self, now: timedelta) -> float:
        """Return how much of the target's room is taken, as far as known."""
        limit = self.record.slots
        in_flight = self.in_flight
        if now - self._load_at <= _LOAD_VALID_FOR:
            # Until the next news, the calls sent since are part of the load.
            in_flight = max(in_flight, self._load.in_flight + self._sent_since)
            limit = self._load.limit or limit
        return (in_flight + 1) / (limit or 1)

    def is_usable(self, now: timedelta) -> bool:
        """Return whether the target may be sent calls."""
        if self.record.leaving or self._refused_run == self.record.run:
            return False
        return self.is_last_resort(now)

    def is_last_resort(self, now: timedelta) -> bool:
        """Return whether calls may be sent when there is no other target.

        A node or a target that is about to end serves calls for a moment yet.
        """
        if self.record.incarnation is None or now < self._closed_until:
            return False
        return now >= self._paused_until

    def is_unreachable(self) -> bool:
        """Return whether the node could not be reached when last tried."""
        return bool(self._pause)

    def is_due(self, now: timedelta) -> bool:
        """Return whether an unreachable node should be tried again."""
        return bool(self._pause) and now >= self._paused_until

    def note_load(self, load: Load) -> None:
        """Take the load that came with a delivery."""
        self._load = load
        self._load_at = self._clock.monotonic()
        self._sent_since = 0
        self._pause = timedelta()
        self._refused_run = self.record.run if load.leaving else 0

    def note_sent(self) -> None:
        """Count a call that is on its way."""
        self.in_flight += 1
        self._sent_since += 1

    def note_done(self) -> None:
        """Count a call that has ended."""
        self.in_flight -= 1

    def note_closed(self) -> None:
        """Note that the node gives its target no more calls."""
        self._closed_until = self._clock.monotonic() + _CLOSED_PAUSE

    def note_fault(self) -> None:
        """Note that the target broke a call."""
        self.faults = min(self.faults + 1.0, _RECOVERY_CALLS * 4)

    def note_success(self) -> None:
        """Note that the target answered a call."""
        if self.faults:
            self.faults = max(0.0, self.faults - 1 / _RECOVERY_CALLS)

    def note_unreachable(self) -> bool:
        """Leave the node alone for a while, longer each time.

        Returns False when it is left alone already: calls that were on their way
        together fail together, and count as one try.
        """
        now = self._clock.monotonic()
        if now < self._paused_until:
            return False
        doubled = self._pause * 2 if self._pause else _FIRST_PAUSE
        self._pause = min(doubled, _LONGEST_PAUSE)
        self._paused_until = now + self._pause
        return True

    def note_reachable(self) -> None:
        """Note that the node answers again."""
        self._pause = self._paused_until = timedelta()


class Directory:
    """All nodes by name."""

    def __init__(self, own: str, clock: Clock) -> None:
        self._own = own
        self._clock = clock
        self._peers: dict[str, Peer] = {}
        self._by_service: dict[str, list[Peer]] = {}
        self._lock = threading.Lock()

    def take(self, record: NodeRecord) -> bool:
        """Take a record unless a newer one is known; return whether it was new."""
        if record.node == self._own:
            return False
        with self._lock:
            peer = self._peers.get(record.node)
            if peer is None:
                self._peers[record.node] = Peer(record, self._clock)
            elif not _supersedes(record, peer.record):
                return False
            else:
                peer.note_record(record)
            self._index()
        return True

    def drop(self, node: str) -> bool:
        """Forget a node whose record was removed; return whether it was known."""
        with self._lock:
            known = self._peers.pop(node, None)
            self._index()
        return known is not None

    def peers(self) -> list[Peer]:
        """Return all nodes."""
        return list(self._peers.values())

    def peers_of(self, service: str) -> list[Peer]:
        """Return the nodes whose targets belong to a service."""
        return self._by_service.get(service, [])

    def _index(self) -> None:
        index: dict[str, list[Peer]] = {}
        for peer in self._peers.values():
            index.setdefault(peer.record.service, []).append(peer)
        self._by_service = index


def _supersedes(record: NodeRecord, known: NodeRecord) -> bool:
    if record.run != known.run:
        return record.run > known.run
    old, new = known.incarnation, record.incarnation
    if old is not None and (new is None or new < old):
        return False
    if old == new and known.leaving:
        return False
    return record != known
