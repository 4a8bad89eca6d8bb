"""All nodes' shares together stay within the budget."""

from __future__ import annotations

from datetime import timedelta

import pytest

from cyclamenvane.mesh.budget import RetryBudget

RATIO, SLACK, WINDOW = 0.2, 49.0, timedelta(seconds=10)


@pytest.mark.parametrize("nodes", [1, 5, 15, 45])
def test_no_window_of_any_length_exceeds_the_budget(clock, nodes):
    budgets = [RetryBudget(RATIO, SLACK, WINDOW, clock) for _ in range(nodes)]
    spent, calls = [], []
    for _ in range(300):
        clock.advance(0.1)
        now = clock.monotonic()
        for budget in budgets:
            budget.note_call("s", nodes)
            calls.append(now)
            spent += [now] * sum(budget.spend("s", nodes) for _ in range(5))
    for start in {at for at in spent}:
        within = sum(start <= at < start + WINDOW for at in spent)
        earned = sum(start <= at < start + WINDOW for at in calls)
        assert within <= RATIO * earned + SLACK


def test_a_lone_failure_may_be_repeated(clock):
    budget = RetryBudget(RATIO, SLACK, WINDOW, clock)
    assert budget.spend("s", 15)


def test_services_have_budgets_of_their_own(clock):
    budget = RetryBudget(RATIO, SLACK, WINDOW, clock)
    while budget.spend("s", 15):
        pass
    assert budget.spend("other", 15)
