"""Distribution of sections to the nodes."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

import pytest
from manual_clock import ManualClock
from platform_faults import FaultyPlatform

from cyclamenvane.membership import Member
from cyclamenvane.policy import Edit, SectionSync, SectionTable, accept_edit


class Nodes:
    """Several nodes' `SectionSync` instances, which query each other directly."""

    def __init__(self, clock: ManualClock, count: int) -> None:
        self.clock = clock
        self.platform = FaultyPlatform(clock)
        self.pool = ThreadPoolExecutor(4)
        self.pushed: list[tuple[str, int, str]] = []
        self.section_syncs = {f"n{n}": self.add() for n in range(count)}

    def add(self) -> SectionSync:
        return SectionSync(
            SectionTable(),
            self.platform.table,
            lambda member, topic, payload, _: self.section_syncs[member.name].answer(
                topic, payload
            ),
            lambda *notice: self.pushed.append(notice),
            lambda: 1,
            self.clock,
            self.pool,
        )

    def accept(self, team: str, base: int = 0):
        edit = Edit(f"{team}-{base}", team, base, "", "ana")
        return accept_edit(self.platform.table, edit, self.clock).ok

    def versions(self, name: str) -> dict[str, int]:
        return self.section_syncs[name]._sections.versions()


def member(name: str) -> Member:
    return Member(name, name, 1, "z1", "r", "127.0.0.1", 1, 1)


@pytest.fixture
def nodes(clock: ManualClock):
    cluster = Nodes(clock, 2)
    yield cluster
    cluster.pool.shutdown()


def test_compare_fetches_only_newer_sections(nodes: Nodes) -> None:
    section = nodes.accept("desk")
    nodes.section_syncs["n0"].apply(section)
    assert nodes.section_syncs["n1"].compare(member("n0"))
    assert nodes.versions("n1") == {"desk": 1}
    assert nodes.pushed[-1] == ("desk", 1, "n0"), "the new version was not forwarded"
    count = len(nodes.pushed)
    assert nodes.section_syncs["n0"].compare(member("n1"))
    assert len(nodes.pushed) == count


def test_poll_loads_sections_missed_by_gossip(nodes: Nodes) -> None:
    nodes.accept("desk")
    nodes.clock.advance(2)
    nodes.section_syncs["n0"].poll()
    assert nodes.versions("n0") == {"desk": 1}


def test_poll_reads_one_row_if_nothing_is_missing(nodes: Nodes) -> None:
    table = nodes.platform.wrapped.table
    nodes.section_syncs["n0"].apply(nodes.accept("desk"))
    reads = table.reads
    for _ in range(5):
        nodes.clock.advance(2)
        nodes.section_syncs["n0"].poll()
    assert table.reads - reads == 5


def test_polls_back_off_during_an_outage(nodes: Nodes) -> None:
    nodes.platform.down = True
    requested = []
    get = nodes.platform.get
    nodes.platform.get = lambda key: requested.append(key) or get(key)
    for _ in range(600):
        nodes.clock.advance(0.1)
        nodes.section_syncs["n0"].poll()
    assert len(requested) < 20
    nodes.platform.down = False
    nodes.accept("desk")
    for _ in range(600):
        nodes.clock.advance(0.1)
        nodes.section_syncs["n0"].poll()
    assert nodes.versions("n0") == {"desk": 1}
