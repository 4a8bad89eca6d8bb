"""The exchange that keeps the nodes' views of each other alike.

Once a period each node probes one other over UDP, directly and then through a
few relays, and every datagram carries some of what the sender lately learned.
Work and bytes of a node do not depend on how many nodes there are; news reaches
all of them in a number of rounds that grows with its logarithm.

The receiving task and the probing task run on the executor; timing is read from
the clock that was passed in.
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
    open_datagram,
    seal_datagram,
)
from .member import Member, Standing
from .view import Change, View

if TYPE_CHECKING:
    from concurrent.futures import Executor

    from ..clock import Clock

__all__ = ["PERIOD", "Gossip", "Prober", "bind_gossip"]

PERIOD = timedelta(seconds=1)
PROBE_TIMEOUT = timedelta(milliseconds=300)
PAUSE = timedelta(seconds=2)
LONGEST_BACKOFF = timedelta(seconds=8)
RELAYS = 3
_PUSH_PEERS = 4
_SENDS_FACTOR = 3
_UPDATES_PER_DATAGRAM = 8


def bind_gossip(address: tuple[str, int]) -> socket.socket:
    """Return a UDP socket bound to an address; raises OSError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(address)
    return sock


class _News:
    """What was lately learned, each item with the times left to send it."""

    def __init__(self) -> None:
        self._items: dict[str, tuple[Member, int]] = {}
        self._lock = threading.Lock()

    def add(self, member: Member, sends: int) -> None:
        with self._lock:
            self._items[member.name] = (member, sends)

    def take(self, count: int) -> tuple[Member, ...]:
        with self._lock:
            freshest = sorted(self._items.values(), key=lambda item: -item[1])[:count]
            for member, sends in freshest:
                if sends > 1:
                    self._items[member.name] = (member, sends - 1)
                else:
                    del self._items[member.name]
            return tuple(member for member, _ in freshest)


class Prober:
    """Chooses whom to probe: everybody in turn, the silent less and less often."""

    def __init__(self, view: View, clock: Clock, choose: random.Random) -> None:
        self._view = view
        self._clock = clock
        self._random = choose
        self._round: list[str] = []
        self._due: dict[str, timedelta] = {}
        self._waits: dict[str, timedelta] = {}

    def choose(self) -> Member | None:
        """Return the next member to probe, or None when none is due."""
        now = self._clock.monotonic()
        for _ in range(len(self._round) + 1):
            if not self._round:
                self._round = [each.name for each in self._view.others()]
                self._random.shuffle(self._round)
            if not self._round:
                return None
            member = self._view.get(self._round.pop())
            if member is not None and self._is_due(member, now):
                return member
        return None

    def hear(self, name: str) -> None:
        """Note a sign of life; the silent of its zone are probed again at once."""
        if self._waits.pop(name, None) is None:
            return
        member = self._view.get(name)
        for other in self._view.others():
            if member is not None and other.zone == member.zone:
                self._due.pop(other.name, None)
                self._waits.pop(other.name, None)

    def _is_due(self, member: Member, now: timedelta) -> bool:
        if member.standing is Standing.ALIVE:
            self._due.pop(member.name, None)
            self._waits.pop(member.name, None)
            return True
        if now < self._due.get(member.name, now):
            return False
        wait = min(2 * self._waits.get(member.name, PERIOD / 2), LONGEST_BACKOFF)
        self._waits[member.name] = wait
        self._due[member.name] = now + wait
        return True


class Gossip:
    """This node's part in the exchange.

    `policy_digest` gives the digest of the sections in force, `on_policy` hears
    that a sender holds others, `on_notice` hears of an accepted section, and
    `on_view` hears that a sender knows other members.
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
        choose: random.Random | None = None,
    ) -> None:
        self.sent_bytes = 0
        self.view = view
        self._key = key
        self._clock = clock
        self._policy_digest = policy_digest
        self._on_policy = on_policy
        self._on_notice = on_notice
        self._on_view = on_view
        self._random = choose or random.Random()
        self._prober = Prober(view, clock, self._random)
        self._news = _News()
        self._numbers = itertools.count(1)
        self._waiting: dict[int, threading.Event] = {}
        self._relayed: dict[int, tuple[Member, int]] = {}
        self._told: dict[int, dict[str, int]] = {}
        self._stopped = threading.Event()
        self._last_round = clock.monotonic()
        self._next_greeting = self._last_round
        self._socket = sock
        view.on_change = self._learn

    def start(self, executor: Executor) -> None:
        """Start the receiving and the probing task."""
        executor.submit(self._receive)
        executor.submit(self._probe)

    def stop(self) -> None:
        """Stop both tasks."""
        self._stopped.set()
        try:
            self._socket.sendto(b"", self._socket.getsockname())
        except OSError:
            pass
        self._socket.close()

    def push(self, team: str, version: int, skip: str = "") -> None:
        """Tell a few nodes, near and far, that a section was accepted."""
        for member in self._pick_peers(_PUSH_PEERS, skip):
            self._send(Kind.NOTICE, 0, member, subject=team, version=version)

    def push_view(self) -> None:
        """Tell a few nodes at once what was lately learned."""
        for member in self._pick_peers(_PUSH_PEERS, ""):
            self._send(Kind.PING, 0, member)

    def collect_digests(self, members: list[Member], wait: timedelta) -> dict[str, int]:
        """Ask members for the digest of their sections; return who answered."""
        number = next(self._numbers)
        told = self._told[number] = {}
        for _ in range(3):
            for member in members:
                if member.name not in told:
                    self._send(Kind.ASK, number, member)
            end = self._clock.monotonic() + wait / 3
            while self._clock.monotonic() < end and len(told) < len(members):
                if self._stopped.wait(0.005):
                    break
        return self._told.pop(number)

    def run_round(self) -> None:
        """Judge suspicions, then probe one member."""
        now = self._clock.monotonic()
        if now - self._last_round > PAUSE:
            self.view.forgive()
        else:
            self.view.expire()
        self._last_round = now
        if now >= self._next_greeting:
            self._next_greeting = now + LONGEST_BACKOFF
            buried = self.view.buried()
            if buried:
                self._send(Kind.PING, 0, self._random.choice(buried))
        member = self._prober.choose()
        if member is not None and not self._probe_member(member):
            self.view.suspect(member.name)

    def handle(self, raw: bytes) -> None:
        """Take in one datagram."""
        datagram = open_datagram(raw, self._key)
        if datagram is None or datagram.sender == self.view.own.name:
            return
        self.view.merge_all(datagram.updates)
        sender = self.view.get(datagram.sender)
        if sender is None:
            self._greet_buried(datagram.sender)
            return
        self._prober.hear(datagram.sender)
        self.view.hear(datagram.sender)
        self._dispatch(datagram, sender)
        if datagram.policy != self._policy_digest():
            self._on_policy(sender)
        if datagram.view != self.view.digest:
            self._on_view(sender)

    def _greet_buried(self, name: str) -> None:
        # The sender hears that it was found dead and raises its incarnation.
        buried = self.view.find_buried(name)
        if buried is not None:
            self._send(Kind.PING, 0, buried)

    def _dispatch(self, datagram: Datagram, sender: Member) -> None:
        if datagram.kind is Kind.PING:
            self._send(Kind.ACK, datagram.number, sender)
        elif datagram.kind is Kind.ACK:
            self._take_ack(datagram.number)
        elif datagram.kind is Kind.RELAY:
            self._relay(datagram, sender)
        elif datagram.kind is Kind.NOTICE:
            self._on_notice(sender, datagram.subject, datagram.version)
        elif datagram.kind is Kind.ASK:
            self._send(Kind.TELL, datagram.number, sender)
        elif datagram.number in self._told:
            self._told[datagram.number][datagram.sender] = datagram.policy

    def _take_ack(self, number: int) -> None:
        waiting = self._waiting.get(number)
        if waiting is not None:
            waiting.set()
        relayed = self._relayed.pop(number, None)
        if relayed is not None:
            asker, asked_number = relayed
            self._send(Kind.ACK, asked_number, asker)

    def _relay(self, datagram: Datagram, asker: Member) -> None:
        member = self.view.get(datagram.subject)
        if member is None:
            return
        number = next(self._numbers)
        self._relayed[number] = (asker, datagram.number)
        while len(self._relayed) > 64:
            self._relayed.pop(next(iter(self._relayed)), None)
        self._send(Kind.PING, number, member)

    def _probe_member(self, member: Member) -> bool:
        number = next(self._numbers)
        answered = self._waiting[number] = threading.Event()
        try:
            self._send(Kind.PING, number, member)
            if answered.wait(PROBE_TIMEOUT.total_seconds()):
                return True
            for relay in self._pick_peers(RELAYS, member.name):
                self._send(Kind.RELAY, number, relay, subject=member.name)
            return answered.wait(PROBE_TIMEOUT.total_seconds())
        finally:
            del self._waiting[number]

    def _pick_peers(self, count: int, skip: str) -> list[Member]:
        alive = [
            each
            for each in self.view.others()
            if each.standing is Standing.ALIVE and each.name != skip
        ]
        zone = self.view.own.zone
        near = [each for each in alive if each.zone == zone]
        far = [each for each in alive if each.zone != zone]
        chosen = self._random.sample(near, min(len(near), (count + 1) // 2))
        return chosen + self._random.sample(far, min(len(far), count - len(chosen)))

    def _learn(self, change: Change) -> None:
        member = change.after or change.before
        if member is not None:
            rounds = math.ceil(math.log2(len(self.view.all()) + 1))
            self._news.add(member, _SENDS_FACTOR * rounds)

    def _send(self, kind: Kind, number: int, member: Member, **rest) -> None:
        own = self.view.own
        updates = list(self._news.take(_UPDATES_PER_DATAGRAM))
        if member.standing is not Standing.ALIVE:
            updates.insert(0, member)
        datagram = Datagram(
            kind,
            number,
            own.name,
            own.incarnation,
            self._policy_digest(),
            self.view.digest,
            updates=tuple(updates),
            **rest,
        )
        raw = seal_datagram(datagram, self._key)
        try:
            self._socket.sendto(raw, (member.host, member.gossip_port))
        except OSError:
            return
        self.sent_bytes += len(raw)

    def _receive(self) -> None:
        while not self._stopped.is_set():
            try:
                raw, _ = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                return
            self.handle(raw)

    def _probe(self) -> None:
        period = PERIOD.total_seconds()
        while not self._stopped.wait(period * self._random.uniform(0.9, 1.1)):
            self.run_round()
