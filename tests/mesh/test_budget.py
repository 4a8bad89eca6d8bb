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


def test_what_was_earned_may_be_spent_when_calls_begin_to_fail(clock):
    budget = RetryBudget(RATIO, SLACK, WINDOW, clock)
    for _ in range(1000):
        clock.advance(0.01)
        budget.note_call("s", 15)
    spent = 0
    while budget.spend("s", 15):
        spent += 1
    assert 10 <= spent <= RATIO * 1000


@pytest.mark.parametrize("chain", [2, 3, 4])
def test_services_of_a_chain_that_fail_together_stay_within_the_budget(clock, chain):
    """Each repeated run of an upper service repeats its calls further down."""
    calls, nodes = 200, 15
    budgets = [RetryBudget(RATIO, SLACK, WINDOW, clock) for _ in range(nodes)]
    repeats = 0
    for step in range(200):
        clock.advance(0.1)
        for budget in budgets:
            for level in range(chain):
                for _ in range(calls // nodes // 10):
                    budget.note_call(f"s{level}", nodes)
            # All fail in the last window: each level spends what it has.
            if step >= 100:
                for level in range(chain):
                    while budget.spend(f"s{level}", nodes):
                        repeats += 1
    first = calls // nodes // 10 * nodes * 100
    assert repeats <= RATIO * first + SLACK
