"""The rate of calls to a target that names its limit in its responses."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st
from manual_clock import ManualClock

from cyclamenvane.calls import RANKS
from cyclamenvane.mesh.rank import Rank
from cyclamenvane.mesh.rate_limit import RateLimit

NESTED = Rank(RANKS - 1, 1)
FIRST, LAST = Rank(0, 0), Rank(RANKS - 1, 0)
WINDOW_S = 4.0


def max_calls(rate):
    """Return how many calls a target that names a rate may get in a window."""
    return 1.5 * rate * WINDOW_S + 5


@pytest.fixture
def limit(clock):
    """A limit of 20 calls a second, named after an earlier response without one."""
    rate_limit = RateLimit(clock)
    rate_limit.update(None)
    rate_limit.update(b"20")
    return rate_limit


def take_all(limit, rank=NESTED, tries=200):
    return sum(limit.take(rank) is None for _ in range(tries))


def test_target_without_a_limit_gets_every_call(clock):
    limit = RateLimit(clock)
    assert take_all(limit) == 200
    assert limit.rate() == 0 and not limit.is_exhausted()


@given(
    st.floats(0, 500),
    st.lists(st.tuples(st.floats(0, 0.5), st.integers(0, 60)), max_size=60),
    st.booleans(),
)
def test_calls_in_any_window_stay_within_the_limit(rate, steps, answered_before):
    clock = ManualClock()
    limit = RateLimit(clock)
    if answered_before:
        limit.update(None)
    limit.update(b"%f" % rate)
    times = []
    for pause_s, tries in steps:
        clock.advance(pause_s)
        limit.update(b"%f" % rate)
        times += [clock.monotonic()] * take_all(limit, tries=tries)
    window = timedelta(seconds=WINDOW_S)
    for start in set(times):
        assert sum(start <= at < start + window for at in times) <= max_calls(rate)


def test_whole_rate_is_used(limit, clock):
    taken = 0
    for _ in range(100):
        clock.advance(0.1)
        taken += take_all(limit)
    assert taken == pytest.approx(20 * 10, abs=20)


def test_refused_call_is_told_when_there_is_room(limit, clock):
    take_all(limit)
    assert limit.is_exhausted()
    wait = limit.take(NESTED)
    assert timedelta() < wait <= timedelta(seconds=1 / 20)
    clock.advance(wait.total_seconds() + 0.001)
    assert not limit.is_exhausted()
    assert limit.take(NESTED) is None


@pytest.mark.parametrize("rank", [FIRST, NESTED])
def test_less_important_root_calls_leave_a_reserve(limit, rank):
    assert take_all(limit, LAST) == 1
    assert take_all(limit, rank) >= 10


def test_calls_sent_before_a_restarted_node_got_a_response_count(clock):
    limit = RateLimit(clock)
    sent = take_all(limit, tries=60)
    limit.update(b"20")
    for _ in range(38):
        clock.advance(0.1)
        sent += take_all(limit)
    assert sent <= max_calls(20)


def test_limit_is_withdrawn_after_responses_without_it(limit, clock):
    limit.update(None)
    assert limit.rate() == 20  # one response may lack the header
    clock.advance(1.0)
    limit.update(None)
    assert limit.rate() == 0
    assert take_all(limit) == 200


def test_calls_go_on_while_the_limit_is_named_and_withdrawn(limit, clock):
    """Takes and updates come from the tasks of different calls."""
    stop = threading.Event()

    def take_until_stopped():
        while not stop.is_set():
            limit.take(NESTED)
            limit.is_exhausted()

    with ThreadPoolExecutor(4) as executor:
        tasks = [executor.submit(take_until_stopped) for _ in range(4)]
        for _ in range(300):
            limit.update(b"20")
            clock.advance(1.0)
            limit.update(None)
        stop.set()
        assert [task.result() for task in tasks] == [None] * 4


def test_lower_limit_applies_at_once(limit):
    limit.update(b"4")
    assert take_all(limit) <= max_calls(4) - 4 * WINDOW_S


def test_limit_of_zero_leaves_calls_that_can_withdraw_it(limit, clock):
    limit.update(b"0")
    take_all(limit)
    clock.advance(WINDOW_S)
    assert 1 <= take_all(limit) <= 5


@pytest.mark.parametrize("named", [b"", b"many", b"-3", b"inf", b"nan"])
def test_invalid_limit_is_ignored(clock, named):
    limit = RateLimit(clock)
    limit.update(named)
    assert limit.rate() == 0


def test_new_incarnation_has_no_limit(limit):
    limit.reset()
    assert take_all(limit) == 200
