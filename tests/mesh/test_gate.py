"""Admission to one target: its slots, the order of waiting, and the level."""

from __future__ import annotations

import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

import pytest
from builders import make_watch

from cyclamenvane.calls import RANKS
from cyclamenvane.clock import SystemClock
from cyclamenvane.mesh.gate import Gate
from cyclamenvane.mesh.levels import RouteLevels
from cyclamenvane.mesh.rank import Rank, Runs, rank_root
from cyclamenvane.mesh.watch import Watch, watch_socket

CLOCK = SystemClock()
LATE = timedelta(seconds=2)


@pytest.fixture
def caller():
    ours, theirs = socket.socketpair()
    yield ours, theirs
    ours.close()
    theirs.close()


@pytest.fixture
def watch(caller) -> Watch:
    return watch_socket(CLOCK, caller[0])


@pytest.fixture
def gate():
    made = Gate(CLOCK)
    made.resize(4)
    return made


def enter(gate, watch, rank=Rank(0, 0), wait=LATE):
    return gate.enter(rank, CLOCK.monotonic() + wait, watch)


def test_a_few_slots_are_left_free(gate, watch):
    gate.resize(32)
    admitted = [
        enter(gate, watch, wait=timedelta(microseconds=1)).admitted for _ in range(32)
    ]
    assert sum(admitted) == 30


def test_a_call_waits_for_a_slot(gate, watch):
    for _ in range(3):
        assert enter(gate, watch).admitted
    threading.Timer(0.1, gate.leave, (timedelta(milliseconds=100),)).start()
    entry = enter(gate, watch)
    assert entry.admitted and entry.waited > timedelta(milliseconds=50)


def test_a_call_that_would_wait_too_long_is_refused_at_once(gate, watch):
    for _ in range(3):
        enter(gate, watch)
    began = time.monotonic()
    entry = enter(gate, watch, wait=timedelta(milliseconds=1))
    assert not entry.admitted and time.monotonic() - began < 0.05


def test_a_call_whose_caller_leaves_gives_up_its_place(gate, watch, caller):
    for _ in range(3):
        enter(gate, watch)
    threading.Timer(0.05, caller[1].close).start()
    entry = enter(gate, watch)
    assert not entry.admitted and entry.caller_gone
    assert gate.load().waiting == 0


def test_the_most_important_root_goes_first_then_the_deepest_call(gate):
    for _ in range(3):
        gate.enter(Rank(0, 0), CLOCK.monotonic() + LATE, make_watch())
    order = []

    def wait(rank):
        entry = gate.enter(rank, CLOCK.monotonic() + LATE, make_watch())
        order.append(rank)
        assert entry.admitted
        gate.leave(timedelta(milliseconds=1))

    ranks = [Rank(300, 2), Rank(200, 0), Rank(200, 2), Rank(10, 1)]
    with ThreadPoolExecutor(4) as pool:
        for rank in ranks:
            pool.submit(wait, rank)
            time.sleep(0.05)
        gate.leave(timedelta(milliseconds=1))
    assert order == [Rank(10, 1), Rank(200, 2), Rank(200, 0), Rank(300, 2)]


def test_the_level_falls_under_a_lasting_overload_and_returns(clock, watch):
    gate = Gate(clock)
    gate.resize(16)
    for window in range(10):
        clock.advance(0.25)
        gate.level()
        while gate.load().in_flight:
            gate.leave(timedelta(milliseconds=100))
        for number in range(64):
            rank = Rank(number * (RANKS // 64), 0)
            gate.enter(rank, clock.monotonic(), watch)
    assert gate.level() < RANKS // 2
    while gate.load().in_flight:
        gate.leave(timedelta(milliseconds=100))
    for window in range(60):
        clock.advance(0.25)
        gate.level()
    assert gate.level() == RANKS


def test_ranks_follow_priority_and_are_the_same_everywhere():
    assert rank_root(0, b"x") < rank_root(1, b"y") < rank_root(2, b"z")
    assert rank_root(1, b"x") == rank_root(1, b"x")
    assert 0 <= rank_root(99, b"x") < RANKS


def test_a_run_tells_the_lowest_level_of_the_services_it_called():
    runs = Runs()
    run = runs.begin(b"a", Rank(5, 0))
    assert run.level() == RANKS
    run.note_call("stock", 100, timedelta())
    run.note_call("stock", 200, timedelta())
    run.note_call("desk", 400, timedelta())
    assert run.level() == 150
    assert runs.find(b"a") is run
    runs.end(b"a")
    assert runs.find(b"a") is None


def test_the_level_of_a_route_is_smoothed_and_fades(clock):
    levels = RouteLevels(clock)
    assert levels.level("r") == RANKS
    for _ in range(30):
        levels.note("r", 100)
    assert levels.level("r") < 110
    assert levels.level("other") == RANKS
    clock.advance(2)
    assert levels.level("r") == RANKS
