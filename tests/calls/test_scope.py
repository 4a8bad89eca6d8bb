"""Fuzz tests of retry allowances over a growing call tree."""

from __future__ import annotations

from datetime import timedelta

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cyclamenvane.calls import CallContext, CallScope, Importance

FAR_DEADLINE = timedelta(days=1)


class AllowanceMachine(RuleBasedStateMachine):
    """Check that the attempts spent and left never exceed the root's allowance."""

    @initialize(allowance=st.integers(0, 8))
    def begin(self, allowance: int) -> None:
        context = CallContext("root", "foreman", Importance.NORMAL, 0, allowance)
        self.allowance = allowance
        self.spent = 0
        self.open_scopes = [(CallScope(context, FAR_DEADLINE), None)]

    def draw_scope(self, data: st.DataObject):
        return data.draw(st.sampled_from(self.open_scopes))

    @rule(data=st.data())
    def call(self, data: st.DataObject) -> None:
        scope, _ = self.draw_scope(data)
        self.open_scopes.append((scope.fork(FAR_DEADLINE), scope))

    @rule(data=st.data())
    def retry(self, data: st.DataObject) -> None:
        scope, _ = self.draw_scope(data)
        self.spent += scope.spend()

    @rule(data=st.data(), lost=st.booleans(), reported=st.integers(-5, 20))
    def respond(self, data: st.DataObject, lost: bool, reported: int) -> None:
        index = data.draw(st.integers(0, len(self.open_scopes) - 1))
        scope, parent = self.open_scopes[index]
        children = [
            each for each, parent_scope in self.open_scopes if parent_scope is scope
        ]
        if parent is None or children:
            return
        del self.open_scopes[index]
        if not lost:
            parent.join(scope, timedelta())

    @rule(data=st.data(), reported=st.integers(-5, 20))
    def respond_with_reported_allowance(
        self, data: st.DataObject, reported: int
    ) -> None:
        scope, _ = self.draw_scope(data)
        granted = scope.grant()
        # A wrong report from downstream must not return more than the grant.
        scope.return_unused(reported, granted)

    @invariant()
    def total_stays_within_the_allowance(self) -> None:
        if hasattr(self, "open_scopes"):
            left = sum(scope.remaining for scope, _ in self.open_scopes)
            assert self.spent + left <= self.allowance
            assert all(scope.remaining >= 0 for scope, _ in self.open_scopes)


TestAllowance = AllowanceMachine.TestCase


def make_scope(allowance: int) -> CallScope:
    context = CallContext("root", "foreman", Importance.NORMAL, 0, allowance)
    return CallScope(context, FAR_DEADLINE)


def test_cancel_calls_the_callbacks_of_child_scopes() -> None:
    called: list[int] = []
    scope = make_scope(2)
    child = scope.fork(FAR_DEADLINE)
    child.on_cancel(lambda: called.append(1))
    unregister = scope.on_cancel(lambda: called.append(2))
    unregister()
    scope.cancel()
    assert child.cancelled and called == [1]
    scope.on_cancel(lambda: called.append(3))
    assert called == [1, 3]
