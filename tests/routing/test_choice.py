"""The choice of a target."""

from __future__ import annotations

import random
from collections import Counter
from datetime import timedelta

import pytest
from manual_clock import ManualClock

from cyclamenvane.calls import RANKS, Refusal
from cyclamenvane.membership import Member, Standing, TargetRecord
from cyclamenvane.policy import Rulebook
from cyclamenvane.routing import Chooser, Directory, Endpoint

TOOK = timedelta(milliseconds=10)
ROUTE = "GET /x"


class World:
    """Members that a test changes, and a chooser over them."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.members: dict[str, Member] = {}
        self.version = 0
        self.ejected: list[str] = []
        rulebook = Rulebook()
        directory = Directory(
            self.members.values, lambda: self.version, lambda: rulebook
        )
        self.chooser = Chooser(
            directory,
            "z1",
            clock,
            random.Random(1),
            lambda endpoint: self.ejected.append(endpoint.member.name),
        )

    def add(self, name: str, zone: str, standing=Standing.ALIVE, **target) -> None:
        record = TargetRecord("stock", f"127.0.0.1:{len(self.members)}", 10, **target)
        self.members[name] = Member(
            name, name, 1, zone, "r", "127.0.0.1", 1, 1, (record,), standing
        )
        self.version += 1

    def choose(self, rank: int = 0, name: str = "") -> str:
        chosen = self.chooser.choose("stock", ROUTE, rank, name)
        assert isinstance(chosen, Endpoint), chosen
        return chosen.member.name

    def finish(self, name: str, failed: bool = False, level: int = RANKS) -> None:
        member = self.members[name]
        endpoint = Endpoint("stock", member, member.targets[0])
        self.chooser.finish(endpoint, ROUTE, failed, TOOK, RANKS, level)

    def call(self, rank: int = 0, name: str = "", **result) -> str:
        chosen = self.choose(rank, name)
        self.finish(chosen, **result)
        return chosen


@pytest.fixture
def world(clock: ManualClock) -> World:
    made = World(clock)
    for name, zone in (("a", "z1"), ("b", "z1"), ("c", "z2"), ("d", "z2")):
        made.add(name, zone)
    return made


def test_own_zone_comes_first(world: World) -> None:
    assert {world.call() for _ in range(40)} == {"a", "b"}


def test_calls_spill_when_the_zone_is_full(world: World) -> None:
    chosen = Counter(world.choose() for _ in range(30))
    assert chosen["a"] == chosen["b"] == 10
    assert chosen["c"] + chosen["d"] == 10


def test_calls_spill_when_the_zone_refuses_their_rank(world: World) -> None:
    for name in "ab":
        world.finish(name, level=100)
    assert world.call(rank=50, level=100) in "ab"
    assert world.call(rank=200) in "cd"
    for name in "cd":
        world.finish(name, level=100)
    assert world.chooser.choose("stock", ROUTE, 200) is Refusal.OVERLOAD
    world.clock.advance(1)
    assert world.call(rank=200) in "ab", "a level that was told once lingered"


def test_failing_target_is_ejected_and_tried_again(world: World) -> None:
    for _ in range(5):
        world.finish("a", failed=True)
    assert world.ejected == ["a"]
    assert {world.call() for _ in range(20)} == {"b"}
    world.clock.advance(2)
    assert "a" in {world.call() for _ in range(40)}


def test_mass_failure_never_empties_the_set(world: World) -> None:
    for name in "abcd":
        for _ in range(6):
            world.finish(name, failed=True)
    assert {world.call() for _ in range(40)} == {"a", "b"}


def test_cold_target_warms_up_slowly(world: World) -> None:
    world.add("e", "z1", cold=True)
    chosen = Counter(world.choose() for _ in range(12))
    assert chosen["e"] < chosen["a"] and chosen["e"] < chosen["b"]


def test_leaving_and_silent_targets_get_nothing(world: World) -> None:
    world.add("a", "z1", leaving=True)
    world.add("b", "z1", standing=Standing.SUSPECT)
    assert {world.call() for _ in range(40)} == {"c", "d"}


def test_sends_of_one_name_meet_at_two_targets_of_a_zone(world: World) -> None:
    for name in "efgh":
        world.add(name, "z1")
        world.add(name.upper(), "z2")
    for request in ("r1", "r2", "r3"):
        chosen = {world.choose(name=request) for _ in range(60)}
        for zone in ("z1", "z2"):
            assert sum(world.members[name].zone == zone for name in chosen) <= 2


def test_no_target_is_told(world: World) -> None:
    assert world.chooser.choose("vault", ROUTE, 0) is Refusal.NO_TARGET
