"""Stateful fuzzing of concurrent edits while the platform fails."""

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
    """Compares the result returned for each edit with the stored history."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.platform = FaultyPlatform(self.clock)
        self.accepted: set[str] = set()
        self.rejected: set[str] = set()
        self.in_force = SectionTable()
        self.highest_version: dict[str, int] = {}
        self.published: list[Section] = []
        self.number = 0

    @rule(team=TEAMS, behind=st.integers(0, 1), fault=FAULTS)
    def accept(self, team: str, behind: int, fault: str) -> None:
        self.number += 1
        self.clock.advance(1)
        current = read_section(self.platform.wrapped.table, team).ok
        base = max(0, (current.version if current else 0) - behind)
        edit = Edit(f"edit-{self.number}", team, base, "", "operator")
        self.platform.next_fault = fault
        accepted = accept_edit(self.platform, edit, self.clock, pause=self.pause)
        if accepted.is_ok():
            self.accepted.add(edit.name)
            self.published.append(accepted.ok)
        elif not accepted.error.unsure:
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
    def receive_section(self, data: st.DataObject) -> None:
        """Apply sections at a node in any order, with old ones repeated."""
        if self.published:
            section = data.draw(st.sampled_from(self.published))
            self.in_force.apply(section)
        for team, version in self.in_force.versions().items():
            assert version >= self.highest_version.get(
                team, 0
            ), "the version of a section decreased"
            self.highest_version[team] = version

    @invariant()
    def history_agrees(self) -> None:
        stored = set()
        for team in ("desk", "vault"):
            history = list_history(self.platform.wrapped.table, team).ok
            assert [each.version for each in history] == list(
                range(1, len(history) + 1)
            )
            stored |= {each.edit for each in history}
        assert self.accepted <= stored, "an accepted edit is not in the history"
        assert not self.rejected & stored, "a rejected edit took effect"
        changes = list_changes(self.platform.wrapped.table, "", 1000).ok
        assert sorted(each.detail for each in changes) == sorted(stored)


TestAcceptance = AcceptanceMachine.TestCase


def test_conflicting_edit_is_rejected_with_the_accepted_one(
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
