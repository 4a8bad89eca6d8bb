"""Targets that name in their responses how many calls a second they take."""

from __future__ import annotations

import time

import pytest
from mesh_harness import call_for, route

LIMIT_PER_S = 10.0
STABLE_WINDOW_S = 3.0  # from the first response that names the limit
WINDOW_S = 4.0
MAX_CALLS = 1.5 * LIMIT_PER_S * WINDOW_S + 5


@pytest.fixture
def limited(mesh):
    """Two nodes where calls begin, and one whose target names a limit."""
    first, second, target = (
        mesh.add(service, "a") for service in ("desk", "desk", "stock")
    )
    mesh.configure(route())
    mesh.wait_until_converged()
    target.target.header_lines = b"Server-Limit: %.1f\r\n" % LIMIT_PER_S
    return first, second, target


def count_most_calls(times, since):
    """Return the most calls in any window that begins at `since` or later."""
    times = [at for at in times if at >= since]
    return max(
        sum(start <= at < start + WINDOW_S for at in times[index:])
        for index, start in enumerate(times)
    )


def test_calls_of_all_nodes_together_stay_within_the_limit_that_a_target_names(limited):
    first, second, target = limited
    named_at = time.monotonic()
    responses = call_for(STABLE_WINDOW_S + WINDOW_S + 0.5, first, second)
    times = target.target.executed_at
    assert count_most_calls(times, named_at + STABLE_WINDOW_S) <= MAX_CALLS
    # The rest is refused as not run, and says when to come back.
    refused = [each for each in responses if each.status != 200]
    assert len(responses) == len(times) + len(refused)
    assert {(each.status, "retry-after" in each.headers) for each in refused} == {
        (503, True)
    }
    assert len(times) >= LIMIT_PER_S * STABLE_WINDOW_S


def test_calls_beyond_the_limit_of_a_target_go_to_another_one(mesh):
    entry = mesh.add("desk", "a")
    limited, other = mesh.add("stock", "a"), mesh.add("stock", "b")
    mesh.configure(route())
    mesh.wait_until_converged()
    limited.target.header_lines = b"Server-Limit: 2\r\n"
    responses = call_for(3.0, entry)
    assert {each.status for each in responses} == {200}
    assert 0 < len(limited.target.executed) <= 1.5 * 2 * WINDOW_S + 5
    assert len(other.target.executed) > len(limited.target.executed)
