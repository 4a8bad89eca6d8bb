"""Fuzzing of retry allowances over a growing call tree."""

from __future__ import annotations

from datetime import timedelta

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cyclamenvane.calls import CallContext, CallScope, Importance

ENDLESS = timedelta(days=1)


class AllowanceMachine(RuleBasedStateMachine):
    """The oracle is a single number: what may be spent over the whole tree."""

    @initialize(allowance=st.integers(0, 8))
    def begin(self, allowance: int) -> None:
        context = CallContext("root", "foreman", Importance.NORMAL, 0, allowance)
        self.allowance = allowance
        self.spent = 0
        self.open = [(CallScope(context, ENDLESS), None)]

    def pick(self, data: st.DataObject):
        return data.draw(st.sampled_from(self.open))

    @rule(data=st.data())
    def call(self, data: st.DataObject) -> None:
        scope, _ = self.pick(data)
        self.open.append((scope.fork(ENDLESS), scope))

    @rule(data=st.data())
    def retry(self, data: st.DataObject) -> None:
        scope, _ = self.pick(data)
        self.spent += scope.spend()

    @rule(data=st.data(), lost=st.booleans(), told=st.integers(-5, 20))
    def answer(self, data: st.DataObject, lost: bool, told: int) -> None:
        index = data.draw(st.integers(0, len(self.open) - 1))
        scope, parent = self.open[index]
        children = [each for each, above in self.open if above is scope]
        if parent is None or children:
            return
        del self.open[index]
        if not lost:
            parent.join(scope, timedelta())

    @rule(data=st.data(), told=st.integers(-5, 20))
    def answer_over_a_stream(self, data: st.DataObject, told: int) -> None:
        scope, _ = self.pick(data)
        granted = scope.grant()
        # Whatever a node below reports, no more than the grant comes back.
        scope.take_back(told, granted)

    @invariant()
    def never_more_than_the_allowance(self) -> None:
        if hasattr(self, "open"):
            left = sum(scope.left for scope, _ in self.open)
            assert self.spent + left <= self.allowance
            assert all(scope.left >= 0 for scope, _ in self.open)


TestAllowance = AllowanceMachine.TestCase


def make_scope(allowance: int) -> CallScope:
    context = CallContext("root", "foreman", Importance.NORMAL, 0, allowance)
    return CallScope(context, ENDLESS)


def test_cancelling_reaches_every_call_below() -> None:
    stopped: list[int] = []
    scope = make_scope(2)
    child = scope.fork(ENDLESS)
    child.on_cancel(lambda: stopped.append(1))
    forget = scope.on_cancel(lambda: stopped.append(2))
    forget()
    scope.cancel()
    assert child.cancelled and stopped == [1]
    scope.on_cancel(lambda: stopped.append(3))
    assert stopped == [1, 3]
