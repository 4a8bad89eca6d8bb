"""Gossip protocol that keeps the nodes' views of the membership consistent.

Once per period each node probes one other node over UDP, directly and then through
a few relays, and every datagram carries some of the sender's recent updates. The
work and traffic of a node do not depend on the number of nodes; an update reaches
all nodes in a number of rounds that grows with the logarithm of their number.

The receiving task and the probing task run on the executor; the time is read from
the clock passed in.
"""

from __future__ import annotations

import itertools
import math
import random
import socket
import threading
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING

from .datagram import (
    MAX_DATAGRAM_BYTES,
    Datagram,
    Kind,
    decode_datagram,
    encode_datagram,
)
from .member import Member, Standing
from .view import Change, View

if TYPE_CHECKING:
    from concurrent.futures import Executor

    from ..clock import Clock

__all__ = ["PROBE_PERIOD", "Gossip", "Prober", "bind_gossip"]

PROBE_PERIOD = timedelta(seconds=1)
PROBE_TIMEOUT = timedelta(milliseconds=300)
PAUSE_THRESHOLD = timedelta(seconds=2)  # a longer gap between rounds is a process pause
MAX_BACKOFF = timedelta(seconds=8)
RELAY_COUNT = 3
_PUSH_FANOUT = 4
_RETRANSMIT_FACTOR = 3
_UPDATES_PER_DATAGRAM = 8


def bind_gossip(address: tuple[str, int]) -> socket.socket:
    """Return a UDP socket bound to an address; raise OSError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(address)
    return sock


class _UpdateQueue:
    """Recent membership updates, each with the number of sends left."""

    def __init__(self) -> None:
        self._items: dict[str, tuple[Member, int]] = {}
        self._lock = threading.Lock()

    def add(self, member: Member, sends_left: int) -> None:
        with self._lock:
            self._items[member.name] = (member, sends_left)

    def take(self, count: int) -> tuple[Member, ...]:
        with self._lock:
            freshest = sorted(self._items.values(), key=lambda item: -item[1])[:count]
            for member, sends_left in freshest:
                if sends_left > 1:
                    self._items[member.name] = (member, sends_left - 1)
                else:
                    del self._items[member.name]
            return tuple(member for member, _ in freshest)


class Prober:
    """Selects members to probe in turn, suspected ones with exponential backoff."""

    def __init__(self, view: View, clock: Clock, rng: random.Random) -> None:
        self._view = view
        self._clock = clock
        self._random = rng
        self._queue: list[str] = []
        self._next_probes: dict[str, timedelta] = {}
        self._backoffs: dict[str, timedelta] = {}

    def next_member(self) -> Member | None:
        """Return the next member to probe, or None if none is due."""
        now = self._clock.monotonic()
        for _ in range(len(self._queue) + 1):
            if not self._queue:
                self._queue = [each.name for each in self._view.others()]
                self._random.shuffle(self._queue)
            if not self._queue:
                return None
            member = self._view.get(self._queue.pop())
            if member is not None and self._is_due(member, now):
                return member
        return None

    def record_contact(self, name: str) -> None:
        """Reset the probe backoff of a member's zone if the member was in backoff."""
        if self._backoffs.pop(name, None) is None:
            return
        member = self._view.get(name)
        for other in self._view.others():
            if member is not None and other.zone == member.zone:
                self._next_probes.pop(other.name, None)
                self._backoffs.pop(other.name, None)

    def _is_due(self, member: Member, now: timedelta) -> bool:
        if member.standing is Standing.ALIVE:
            self._next_probes.pop(member.name, None)
            self._backoffs.pop(member.name, None)
            return True
        if now < self._next_probes.get(member.name, now):
            return False
        wait = min(2 * self._backoffs.get(member.name, PROBE_PERIOD / 2), MAX_BACKOFF)
        self._backoffs[member.name] = wait
        self._next_probes[member.name] = now + wait
        return True


class Gossip:
    """The gossip protocol at one node.

    `policy_digest` returns the digest of the sections in force. `on_policy` is
    called when a sender's sections differ, `on_notice` when a sender reports an
    accepted section, and `on_view` when a sender's members differ.
    """

    def __init__(
        self,
        view: View,
        sock: socket.socket,
        key: bytes,
        clock: Clock,
        policy_digest: Callable[[], int] = lambda: 0,
        on_policy: Callable[[Member], None] = lambda _: None,
        on_notice: Callable[[Member, str, int], None] = lambda *_: None,
        on_view: Callable[[Member], None] = lambda _: None,
        rng: random.Random | None = None,
    ) -> None:
        self.sent_bytes = 0
        self.view = view
        self._key = key
        self._clock = clock
        self._policy_digest = policy_digest
        self._on_policy = on_policy
        self._on_notice = on_notice
        self._on_view = on_view
        self._random = rng or random.Random()
        self._prober = Prober(view, clock, self._random)
        self._updates = _UpdateQueue()
        self._sequences = itertools.count(1)
        self._pending_acks: dict[int, threading.Event] = {}
        self._relayed_pings: dict[int, tuple[Member, int]] = {}
        self._replies: dict[int, dict[str, int]] = {}
        self._stopped = threading.Event()
        self._last_round = clock.monotonic()
        self._next_dead_ping = self._last_round
        self._socket = sock
        view.on_change = self._queue_update

    def start(self, executor: Executor) -> None:
        """Start the receiving task and the probing task."""
        executor.submit(self._run_receiver)
        executor.submit(self._run_prober)

    def stop(self) -> None:
        """Stop both tasks."""
        self._stopped.set()
        try:
            self._socket.sendto(b"", self._socket.getsockname())
        except OSError:
            pass
        self._socket.close()

    def push_notice(self, team: str, version: int, skip: str = "") -> None:
        """Notify a few nodes, in the local zone and others, of an accepted section."""
        for member in self._pick_peers(_PUSH_FANOUT, skip):
            self._send(Kind.SECTION_NOTICE, 0, member, subject=team, version=version)

    def push_view(self) -> None:
        """Send the recent updates to a few nodes immediately."""
        for member in self._pick_peers(_PUSH_FANOUT, ""):
            self._send(Kind.PING, 0, member)

    def collect_digests(self, members: list[Member], wait: timedelta) -> dict[str, int]:
        """Request the section digests of members; return the replies by member name."""
        sequence = next(self._sequences)
        replies = self._replies[sequence] = {}
        for _ in range(3):
            for member in members:
                if member.name not in replies:
                    self._send(Kind.DIGEST_REQUEST, sequence, member)
            end = self._clock.monotonic() + wait / 3
            while self._clock.monotonic() < end and len(replies) < len(members):
                if self._stopped.wait(0.005):
                    break
        # Copied, since a reply that is being received may still be added.
        return dict(self._replies.pop(sequence))

    def run_round(self) -> None:
        """Expire suspicions and probe a member; ping a dead one every MAX_BACKOFF."""
        now = self._clock.monotonic()
        if now - self._last_round > PAUSE_THRESHOLD:
            self.view.restart_suspicions()
        else:
            self.view.expire()
        self._last_round = now
        if now >= self._next_dead_ping:
            self._next_dead_ping = now + MAX_BACKOFF
            dead = self.view.dead_members()
            if dead:
                self._send(Kind.PING, 0, self._random.choice(dead))
        member = self._prober.next_member()
        if member is not None and not self._probe_member(member):
            self.view.suspect(member.name)

    def handle(self, raw: bytes) -> None:
        """Process one received datagram; drop it if it is invalid."""
        datagram = decode_datagram(raw, self._key)
        if datagram is None or datagram.sender == self.view.own.name:
            return
        self.view.merge_all(datagram.updates)
        sender = self.view.get(datagram.sender)
        if sender is None:
            self._ping_dead(datagram.sender)
            return
        self._prober.record_contact(datagram.sender)
        self.view.record_contact(datagram.sender)
        self._dispatch(datagram, sender)
        if datagram.policy_digest != self._policy_digest():
            self._on_policy(sender)
        if datagram.view_digest != self.view.digest:
            self._on_view(sender)

    def _ping_dead(self, name: str) -> None:
        # The PING includes the DEAD update; the sender then raises its incarnation.
        dead = self.view.find_dead(name)
        if dead is not None:
            self._send(Kind.PING, 0, dead)

    def _dispatch(self, datagram: Datagram, sender: Member) -> None:
        if datagram.kind is Kind.PING:
            self._send(Kind.ACK, datagram.sequence, sender)
        elif datagram.kind is Kind.ACK:
            self._handle_ack(datagram.sequence)
        elif datagram.kind is Kind.PING_REQUEST:
            self._relay_ping(datagram, sender)
        elif datagram.kind is Kind.SECTION_NOTICE:
            self._on_notice(sender, datagram.subject, datagram.version)
        elif datagram.kind is Kind.DIGEST_REQUEST:
            self._send(Kind.DIGEST_REPLY, datagram.sequence, sender)
        else:
            replies = self._replies.get(datagram.sequence)
            if replies is not None:
                replies[datagram.sender] = datagram.policy_digest

    def _handle_ack(self, sequence: int) -> None:
        pending = self._pending_acks.get(sequence)
        if pending is not None:
            pending.set()
        relayed = self._relayed_pings.pop(sequence, None)
        if relayed is not None:
            requester, requested_sequence = relayed
            self._send(Kind.ACK, requested_sequence, requester)

    def _relay_ping(self, datagram: Datagram, requester: Member) -> None:
        member = self.view.get(datagram.subject)
        if member is None:
            return
        sequence = next(self._sequences)
        self._relayed_pings[sequence] = (requester, datagram.sequence)
        while len(self._relayed_pings) > 64:
            self._relayed_pings.pop(next(iter(self._relayed_pings)), None)
        self._send(Kind.PING, sequence, member)

    def _probe_member(self, member: Member) -> bool:
        sequence = next(self._sequences)
        ack_event = self._pending_acks[sequence] = threading.Event()
        try:
            self._send(Kind.PING, sequence, member)
            if ack_event.wait(PROBE_TIMEOUT.total_seconds()):
                return True
            for relay in self._pick_peers(RELAY_COUNT, member.name):
                self._send(Kind.PING_REQUEST, sequence, relay, subject=member.name)
            return ack_event.wait(PROBE_TIMEOUT.total_seconds())
        finally:
            del self._pending_acks[sequence]

    def _pick_peers(self, count: int, skip: str) -> list[Member]:
        alive = [
            each
            for each in self.view.others()
            if each.standing is Standing.ALIVE and each.name != skip
        ]
        zone = self.view.own.zone
        local = [each for each in alive if each.zone == zone]
        other = [each for each in alive if each.zone != zone]
        peers = self._random.sample(local, min(len(local), (count + 1) // 2))
        return peers + self._random.sample(other, min(len(other), count - len(peers)))

    def _queue_update(self, change: Change) -> None:
        member = change.after or change.before
        if member is not None:
            rounds = math.ceil(math.log2(len(self.view.all()) + 1))
            self._updates.add(member, _RETRANSMIT_FACTOR * rounds)

    def _send(self, kind: Kind, sequence: int, member: Member, **rest) -> None:
        own = self.view.own
        updates = list(self._updates.take(_UPDATES_PER_DATAGRAM))
        if member.standing is not Standing.ALIVE:
            updates.insert(0, member)
        datagram = Datagram(
            kind,
            sequence,
            own.name,
            own.incarnation,
            self._policy_digest(),
            self.view.digest,
            updates=tuple(updates),
            **rest,
        )
        raw = encode_datagram(datagram, self._key)
        try:
            self._socket.sendto(raw, (member.host, member.gossip_port))
        except OSError:
            return
        self.sent_bytes += len(raw)

    def _run_receiver(self) -> None:
        while not self._stopped.is_set():
            try:
                raw, _ = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                return
            self.handle(raw)

    def _run_prober(self) -> None:
        period = PROBE_PERIOD.total_seconds()
        while not self._stopped.wait(period * self._random.uniform(0.9, 1.1)):
            self.run_round()
