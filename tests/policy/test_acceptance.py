"""Fuzzing of accepting edits: operators race while the platform fails."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from manual_clock import ManualClock
from platform_faults import FaultyPlatform

from cyclamenvane.audit import list_changes
from cyclamenvane.policy import Edit, Section, SectionTable, accept_edit, list_history
from cyclamenvane.policy.acceptance import read_section

TEAMS = st.sampled_from(["desk", "vault"])
FAULTS = st.sampled_from(["", "", "lost", "late", "dropped"])


class AcceptanceMachine(RuleBasedStateMachine):
    """The oracle: what each operator was told, against the history kept."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.platform = FaultyPlatform(self.clock)
        self.accepted: set[str] = set()
        self.rejected: set[str] = set()
        self.in_force = SectionTable()
        self.highest: dict[str, int] = {}
        self.seen: list[Section] = []
        self.number = 0

    @rule(team=TEAMS, behind=st.integers(0, 1), fault=FAULTS)
    def accept(self, team: str, behind: int, fault: str) -> None:
        self.number += 1
        self.clock.advance(1)
        current = read_section(self.platform.inner.table, team).ok
        base = max(0, (current.version if current else 0) - behind)
        edit = Edit(f"edit-{self.number}", team, base, "", "operator")
        self.platform.next_fault = fault
        made = accept_edit(self.platform, edit, self.clock, pause=self.pause)
        if made.is_ok():
            self.accepted.add(edit.name)
            self.seen.append(made.ok)
        elif not made.error.unsure:
            self.rejected.add(edit.name)

    def pause(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @rule()
    def apply_late(self) -> None:
        self.platform.apply_late()

    @rule(down=st.booleans())
    def switch(self, down: bool) -> None:
        self.platform.down = down

    @rule(data=st.data())
    def hear(self, data: st.DataObject) -> None:
        """A node hears of sections in any order, old ones again."""
        if self.seen:
            section = data.draw(st.sampled_from(self.seen))
            self.in_force.adopt(section)
        for team, version in self.in_force.versions().items():
            assert version >= self.highest.get(team, 0), "a section went back"
            self.highest[team] = version

    @invariant()
    def history_agrees(self) -> None:
        kept = set()
        for team in ("desk", "vault"):
            history = list_history(self.platform.inner.table, team).ok
            assert [each.version for each in history] == list(
                range(1, len(history) + 1)
            )
            kept |= {each.edit for each in history}
        assert self.accepted <= kept, "an accepted edit is not in the history"
        assert not self.rejected & kept, "a rejected edit took effect"
        changes = list_changes(self.platform.inner.table, "", 1000).ok
        assert sorted(each.detail for each in changes) == sorted(kept)


TestAcceptance = AcceptanceMachine.TestCase


def test_the_second_of_two_conflicting_edits_is_shown_the_first(
    clock: ManualClock,
) -> None:
    platform = FaultyPlatform(clock)
    first = Edit("e1", "desk", 0, "first", "ana")
    second = Edit("e2", "desk", 0, "second", "ben")
    assert accept_edit(platform, first, clock).is_ok()
    rejected = accept_edit(platform, second, clock)
    assert rejected.error.current.text == "first"
    assert rejected.error.current.operator == "ana"


def test_edits_of_two_teams_do_not_conflict(clock: ManualClock) -> None:
    platform = FaultyPlatform(clock)
    for team in ("desk", "vault"):
        assert accept_edit(platform, Edit(team, team, 0, "", "ana"), clock).is_ok()
