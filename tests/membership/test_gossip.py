"""Gossip over a network held in memory, with cuts."""

from __future__ import annotations

import random
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st
from manual_clock import ManualClock

from cyclamenvane.membership import Gossip, Member, Standing, View, gossip
from cyclamenvane.membership.datagram import open_datagram

KEY = b"a key of the nodes"
PERIOD_S = 1.0


class Network:
    """Delivers datagrams at once, except across a cut."""

    def __init__(self) -> None:
        self.members: dict[int, Gossip] = {}
        self.cut: set[frozenset[str]] = set()
        self.bytes = 0
        self.depth = 0

    def open_socket(self, port: int, zone: str) -> FakeSocket:
        return FakeSocket(self, port, zone)


class FakeSocket:
    def __init__(self, network: Network, port: int, zone: str) -> None:
        self.network, self.port, self.zone = network, port, zone

    def sendto(self, raw: bytes, address: tuple[str, int]) -> None:
        other = self.network.members.get(address[1])
        self.network.bytes += len(raw)
        zones = frozenset((self.zone, other.view.own.zone if other else ""))
        if other is not None and zones not in self.network.cut:
            other.handle(raw)

    def close(self) -> None:
        pass


class Nodes:
    def __init__(self, clock: ManualClock, zones: dict[str, int]) -> None:
        self.clock = clock
        self.network = Network()
        port = 0
        for zone, count in zones.items():
            for _ in range(count):
                port += 1
                self.add(port, zone)

    def add(self, port: int, zone: str) -> None:
        own = Member(f"n{port}", f"run{port}", 1, zone, "r", "127.0.0.1", port, port)
        view = View(own, self.clock)
        self.network.members[port] = Gossip(
            view,
            self.network.open_socket(port, zone),
            KEY,
            self.clock,
            choose=random.Random(port),
        )

    def introduce(self) -> None:
        everybody = [each.view.own for each in self.network.members.values()]
        for each in self.network.members.values():
            each.view.merge_all(everybody)

    def run(self, rounds: int) -> None:
        for _ in range(rounds):
            self.clock.advance(PERIOD_S)
            for each in list(self.network.members.values()):
                each.run_round()

    def standings(self, port: int) -> dict[str, Standing]:
        return {m.name: m.standing for m in self.network.members[port].view.all()}


@pytest.fixture
def quick_probes(monkeypatch: pytest.MonkeyPatch) -> None:
    # Answers arrive within the call, so what is not there yet never comes.
    monkeypatch.setattr(gossip, "PROBE_TIMEOUT", timedelta())


def test_crashed_node_is_removed_everywhere_soon(clock, quick_probes) -> None:
    nodes = Nodes(clock, {"z1": 4, "z2": 4, "z3": 4})
    nodes.introduce()
    nodes.run(5)
    del nodes.network.members[6]
    nodes.run(10)
    for port in nodes.network.members:
        assert set(nodes.standings(port).values()) == {Standing.ALIVE}
        assert "n6" not in nodes.standings(port)


def test_cut_zone_is_kept_and_rejoins_by_itself(clock, quick_probes) -> None:
    nodes = Nodes(clock, {"z1": 4, "z2": 4, "z3": 4})
    nodes.introduce()
    nodes.run(5)
    nodes.network.cut = {frozenset(("z1", "z2")), frozenset(("z1", "z3"))}
    nodes.run(60)
    near = nodes.standings(1)
    assert all(near[f"n{port}"] is Standing.ALIVE for port in range(1, 5))
    assert all(near[f"n{port}"] is Standing.SUSPECT for port in range(5, 13))
    nodes.network.cut = set()
    nodes.run(20)
    for port in nodes.network.members:
        assert set(nodes.standings(port).values()) == {Standing.ALIVE}
        assert len(nodes.standings(port)) == 12


def test_split_within_a_zone_heals_by_itself(clock, quick_probes) -> None:
    nodes = Nodes(clock, {"left": 3, "right": 3})
    for each in nodes.network.members.values():
        own = each.view.own
        each.view._put_own(Member(*[*own_fields(own)[:3], "z1", *own_fields(own)[4:]]))
    nodes.introduce()
    nodes.run(3)
    nodes.network.cut = {frozenset(("left", "right"))}
    for port, each in nodes.network.members.items():
        each._socket.zone = "left" if port <= 3 else "right"
    original = FakeSocket.sendto

    def sendto(self, raw, address):
        sides = {self.port <= 3, address[1] <= 3}
        if len(sides) == 1 or not self.network.cut:
            original(self, raw, address)

    FakeSocket.sendto = sendto
    try:
        nodes.run(20)
        assert len(nodes.standings(1)) == 3, "the other side was found dead"
        nodes.network.cut = set()
        nodes.run(40)
    finally:
        FakeSocket.sendto = original
    for port in nodes.network.members:
        assert len(nodes.standings(port)) == 6


def own_fields(member: Member) -> list:
    return [getattr(member, name) for name in member.__dataclass_fields__]


def test_bytes_of_a_node_do_not_grow_with_the_nodes(clock, quick_probes) -> None:
    spent = []
    for count in (10, 40):
        nodes = Nodes(clock, {"z1": count})
        nodes.introduce()
        nodes.run(100)  # The news of everybody's joining has been sent by then.
        nodes.network.bytes = 0
        nodes.run(10)
        spent.append(nodes.network.bytes / count / 10)
    assert spent[1] < 1.5 * spent[0]


@given(st.binary(max_size=300))
def test_unsigned_datagram_is_dropped(raw: bytes) -> None:
    assert open_datagram(raw, KEY) is None


def test_collecting_digests_asks_again(clock) -> None:
    nodes = Nodes(clock, {"z1": 3})
    nodes.introduce()
    asker = nodes.network.members[1]
    with ThreadPoolExecutor(1):
        told = asker.collect_digests(asker.view.others(), timedelta(seconds=1))
    assert set(told) == {"n2", "n3"}
