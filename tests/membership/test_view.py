"""Fuzzing of views that hear of members in any order, late and repeatedly."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from manual_clock import ManualClock

from cyclamenvane.membership import Member, Standing, TargetRecord, View
from cyclamenvane.membership.view import SUSPICION

NAMES = ("a", "b", "c", "d")
ZONES = {"a": "z1", "b": "z1", "c": "z2", "d": "z2"}


def make_member(name: str, incarnation: int = 1) -> Member:
    return Member(name, f"run-{name}", incarnation, ZONES[name], "r", "127.0.0.1", 1, 2)


class ViewMachine(RuleBasedStateMachine):
    """The oracle: the newest that was ever said of each member, by order."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.views = {name: View(make_member(name), self.clock) for name in NAMES}
        self.said: list[Member] = []
        for view in self.views.values():
            view.on_change = self.note
        for view in self.views.values():
            for other in self.views.values():
                view.merge(other.own)

    def note(self, change) -> None:
        self.said.append(change.after)

    @rule(at=st.sampled_from(NAMES), of=st.sampled_from(NAMES))
    def suspect(self, at: str, of: str) -> None:
        if at != of:
            self.views[at].suspect(of)

    @rule(at=st.sampled_from(NAMES), of=st.sampled_from(NAMES))
    def hear(self, at: str, of: str) -> None:
        self.views[at].hear(of)

    @rule(seconds=st.floats(0, 4))
    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)
        for view in self.views.values():
            view.expire()

    @rule(name=st.sampled_from(NAMES), leaving=st.booleans())
    def announce(self, name: str, leaving: bool) -> None:
        record = TargetRecord("stock", "127.0.0.1:9", 4, leaving=leaving)
        self.views[name].update_own((record,))

    @rule(at=st.sampled_from(NAMES), data=st.data())
    def deliver(self, at: str, data: st.DataObject) -> None:
        if self.said:
            self.views[at].merge(data.draw(st.sampled_from(self.said)))

    @rule()
    def settle(self) -> None:
        """Everybody hears everything, twice and in another order."""
        for _ in range(len(NAMES) + 1):
            for view in self.views.values():
                for update in [*self.said, *reversed(self.said)]:
                    view.merge(update)
        for name, view in self.views.items():
            for other in self.views.values():
                held = other.get(name)
                newest = max(
                    (each for each in self.said if each.name == name),
                    key=lambda each: each.order,
                    default=view.own,
                )
                if newest.standing is Standing.DEAD:
                    assert held is None or held.order > newest.order
                else:
                    assert held is not None and held.order >= newest.order

    @invariant()
    def nobody_is_dead_to_itself(self) -> None:
        for name, view in self.views.items():
            assert view.own.standing is Standing.ALIVE
            assert view.get(name) == view.own

    @invariant()
    def the_dead_stay_dead(self) -> None:
        for view in self.views.values():
            for buried in view.buried():
                held = view.get(buried.name)
                assert held is None or held.incarnation > buried.incarnation


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
        clock.advance(SUSPICION.total_seconds())
        assert view.expire() == []
    assert view.is_cut("z2") and not view.is_cut("z1")
    assert view.merge(make_member("c", 2))
    assert not view.is_cut("z2")


def test_dead_node_is_removed_once_its_zone_is_heard(clock: ManualClock) -> None:
    view = make_view(clock)
    view.suspect("c")
    clock.advance(SUSPICION.total_seconds())
    assert view.expire() == []
    view.hear("d")
    assert [member.name for member in view.expire()] == ["c"]
    assert not view.merge(make_member("c")), "a stale row revived the dead"
    assert view.merge(make_member("c", 2))


def test_paused_node_distrusts_itself_first(clock: ManualClock) -> None:
    view = make_view(clock)
    view.suspect("b")
    clock.advance(60)
    view.forgive()
    assert view.expire() == []


def test_news_of_own_death_is_corrected(clock: ManualClock) -> None:
    view = make_view(clock)
    view.merge(replace(view.own, standing=Standing.DEAD))
    assert view.own.incarnation == 2 and view.own.standing is Standing.ALIVE


def test_only_the_buckets_that_differ_are_exchanged(clock: ManualClock) -> None:
    views = [View(make_member(name), clock) for name in ("a", "b")]
    for number in range(1100):
        member = Member(f"n{number}", f"r{number}", 1, "z1", "r", "127.0.0.1", 1, 1)
        for view in views:
            view.merge(member)
    for view in views:
        view.merge_all(other.own for other in views)
    first, second = views
    assert first.list_differing(second.read_buckets()) == ()
    first.merge(Member("n7", "again", 2, "z1", "r", "127.0.0.1", 1, 1))
    differing = first.list_differing(second.read_buckets())
    assert len(differing) < 1100 / 20
    second.merge_all(differing)
    assert second.digest == first.digest
