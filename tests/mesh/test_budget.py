"""The retries of all nodes together stay within the retry budget."""

from __future__ import annotations

from datetime import timedelta

import pytest

from cyclamenvane.calls import RANKS
from cyclamenvane.mesh.budget import RetryBudget

RATIO, SLACK, WINDOW = 0.2, 49.0, timedelta(seconds=10)


@pytest.mark.parametrize("nodes", [1, 5, 15, 45])
def test_no_window_exceeds_the_budget(clock, nodes):
    budgets = [RetryBudget(RATIO, SLACK, WINDOW, clock) for _ in range(nodes)]
    retried, sent = [], []
    for _ in range(300):
        clock.advance(0.1)
        now = clock.monotonic()
        for budget in budgets:
            budget.add_call("s", nodes)
            sent.append(now)
            retried += [now] * sum(budget.spend("s", nodes) for _ in range(5))
    for start in {at for at in retried}:
        retries = sum(start <= at < start + WINDOW for at in retried)
        calls = sum(start <= at < start + WINDOW for at in sent)
        assert retries <= RATIO * calls + SLACK


def test_single_failure_may_be_retried(clock):
    budget = RetryBudget(RATIO, SLACK, WINDOW, clock)
    assert budget.spend("s", 15)


def test_budgets_are_separate_for_each_service(clock):
    budget = RetryBudget(RATIO, SLACK, WINDOW, clock)
    while budget.spend("s", 15):
        pass
    assert budget.spend("other", 15)


def test_saved_tokens_may_be_spent_in_a_burst(clock):
    budget = RetryBudget(RATIO, SLACK, WINDOW, clock)
    for _ in range(1000):
        clock.advance(0.01)
        budget.add_call("s", 15)
    spent = 0
    while budget.spend("s", 15):
        spent += 1
    assert 10 <= spent <= RATIO * 1000


@pytest.mark.parametrize("chain", [2, 3, 4])
def test_retries_of_a_failing_chain_stay_within_the_budget(clock, chain):
    """A retried call repeats its nested calls, so retries multiply down the chain."""
    calls, nodes = 200, 15
    budgets = [RetryBudget(RATIO, SLACK, WINDOW, clock) for _ in range(nodes)]
    retries = 0
    for step in range(200):
        clock.advance(0.1)
        for budget in budgets:
            for position in range(chain):
                for _ in range(calls // nodes // 10):
                    budget.add_call(f"s{position}", nodes)
            # All calls in the last window fail: each service spends all its tokens.
            if step >= 100:
                for position in range(chain):
                    while budget.spend(f"s{position}", nodes):
                        retries += 1
    first_sends = calls // nodes // 10 * nodes * 100
    assert retries <= RATIO * first_sends + SLACK


def test_important_calls_get_the_retries_when_not_all_can(clock):
    """A service rejects half of its calls: the budget covers the important ones."""
    budget = RetryBudget(RATIO, SLACK, WINDOW, clock)
    asked = {0: 0, RANKS // 2: 0}
    granted = dict(asked)
    for step in range(4000):
        clock.advance(0.002)
        budget.add_call("s", 1)
        important = step % 50 == 0
        rank = 0 if important else RANKS // 2
        if important or step % 2:
            asked[rank] += 1
            granted[rank] += budget.spend("s", 1, rank)
    assert granted[0] >= 0.9 * asked[0]
    assert 0 < granted[RANKS // 2] < 0.1 * asked[RANKS // 2]


def test_single_failure_of_the_least_important_call_is_retried(clock):
    budget = RetryBudget(RATIO, SLACK, WINDOW, clock)
    for _ in range(2000):
        clock.advance(0.01)
        budget.add_call("s", 1)
    assert budget.spend("s", 1, RANKS - 1)
