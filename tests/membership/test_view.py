"""Fuzz tests of views that receive updates late, repeatedly and in any order."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from manual_clock import ManualClock

from cyclamenvane.membership import Member, Standing, TargetRecord, View
from cyclamenvane.membership.view import SUSPICION_TIMEOUT

NAMES = ("a", "b", "c", "d")
ZONES = {"a": "z1", "b": "z1", "c": "z2", "d": "z2"}


def make_member(name: str, incarnation: int = 1) -> Member:
    return Member(name, f"run-{name}", incarnation, ZONES[name], "r", "127.0.0.1", 1, 2)


class ViewMachine(RuleBasedStateMachine):
    """Compare the views with the newest published description of each member."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.views = {name: View(make_member(name), self.clock) for name in NAMES}
        self.published: list[Member] = []
        for view in self.views.values():
            view.on_change = self.record_change
        for view in self.views.values():
            for other in self.views.values():
                view.merge(other.own)

    def record_change(self, change) -> None:
        self.published.append(change.after)

    @rule(observer=st.sampled_from(NAMES), subject=st.sampled_from(NAMES))
    def suspect(self, observer: str, subject: str) -> None:
        if observer != subject:
            self.views[observer].suspect(subject)

    @rule(observer=st.sampled_from(NAMES), subject=st.sampled_from(NAMES))
    def record_contact(self, observer: str, subject: str) -> None:
        self.views[observer].record_contact(subject)

    @rule(seconds=st.floats(0, 4))
    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)
        for view in self.views.values():
            view.expire()

    @rule(name=st.sampled_from(NAMES), leaving=st.booleans())
    def update_targets(self, name: str, leaving: bool) -> None:
        record = TargetRecord("stock", "127.0.0.1:9", 4, leaving=leaving)
        self.views[name].set_targets((record,))

    @rule(observer=st.sampled_from(NAMES), data=st.data())
    def deliver(self, observer: str, data: st.DataObject) -> None:
        if self.published:
            self.views[observer].merge(data.draw(st.sampled_from(self.published)))

    @rule()
    def converge(self) -> None:
        """Deliver all updates to all views repeatedly, in both orders."""
        for _ in range(len(NAMES) + 1):
            for view in self.views.values():
                for update in [*self.published, *reversed(self.published)]:
                    view.merge(update)
        for name, view in self.views.items():
            for other in self.views.values():
                known = other.get(name)
                newest = max(
                    (each for each in self.published if each.name == name),
                    key=lambda each: each.precedence,
                    default=view.own,
                )
                if newest.standing is Standing.DEAD:
                    assert known is None or known.precedence > newest.precedence
                else:
                    assert known is not None and known.precedence >= newest.precedence

    @invariant()
    def own_member_is_alive(self) -> None:
        for name, view in self.views.items():
            assert view.own.standing is Standing.ALIVE
            assert view.get(name) == view.own

    @invariant()
    def dead_members_need_a_higher_incarnation(self) -> None:
        for view in self.views.values():
            for dead in view.dead_members():
                known = view.get(dead.name)
                assert known is None or known.incarnation > dead.incarnation


TestView = ViewMachine.TestCase


def make_view(clock: ManualClock) -> View:
    view = View(make_member("a"), clock)
    view.merge_all(make_member(name) for name in "bcd")
    return view


def test_silent_zone_is_suspected_and_never_removed(clock: ManualClock) -> None:
    view = make_view(clock)
    view.suspect("c")
    view.suspect("d")
    for _ in range(100):
        clock.advance(SUSPICION_TIMEOUT.total_seconds())
        assert view.expire() == []
    assert view.is_zone_suspected("z2") and not view.is_zone_suspected("z1")
    assert view.merge(make_member("c", 2))
    assert not view.is_zone_suspected("z2")


def test_dead_node_is_removed_after_contact_with_its_zone(clock: ManualClock) -> None:
    view = make_view(clock)
    view.suspect("c")
    clock.advance(SUSPICION_TIMEOUT.total_seconds())
    assert view.expire() == []
    view.record_contact("d")
    assert [member.name for member in view.expire()] == ["c"]
    assert not view.merge(make_member("c")), "a stale description revived a dead member"
    assert view.merge(make_member("c", 2))


def test_paused_node_restarts_its_suspicions(clock: ManualClock) -> None:
    view = make_view(clock)
    view.suspect("b")
    clock.advance(60)
    view.restart_suspicions()
    assert view.expire() == []


def test_own_death_is_refuted(clock: ManualClock) -> None:
    view = make_view(clock)
    view.merge(replace(view.own, standing=Standing.DEAD))
    assert view.own.incarnation == 2 and view.own.standing is Standing.ALIVE


def test_only_members_of_differing_buckets_are_exchanged(clock: ManualClock) -> None:
    views = [View(make_member(name), clock) for name in ("a", "b")]
    for number in range(1100):
        member = Member(f"n{number}", f"r{number}", 1, "z1", "r", "127.0.0.1", 1, 1)
        for view in views:
            view.merge(member)
    for view in views:
        view.merge_all(other.own for other in views)
    first, second = views
    assert first.list_differing(second.bucket_digests()) == ()
    first.merge(Member("n7", "again", 2, "z1", "r", "127.0.0.1", 1, 1))
    differing = first.list_differing(second.bucket_digests())
    assert len(differing) < 1100 / 20
    second.merge_all(differing)
    assert second.digest == first.digest
