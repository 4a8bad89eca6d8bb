"""Tests of polling idle connections, and of serving them in the polling tasks."""

from __future__ import annotations

import socket
import threading
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from functools import partial

import pytest
from mesh_harness import wait_until

from cyclamenvane.clock import SystemClock
from cyclamenvane.mesh import idle_poller
from cyclamenvane.mesh.idle_poller import Evictable, IdlePoller
from cyclamenvane.mesh.stop_event import StopEvent

_LATER = timedelta(seconds=60)


@pytest.fixture
def stop_event():
    return StopEvent()


@pytest.fixture
def poller(stop_event):
    with ThreadPoolExecutor(64) as pool:
        poller = IdlePoller(SystemClock(), pool, stop_event)
        pool.submit(poller.run)
        yield poller
        # Guards against polling tasks that go on after the node has stopped: the pool
        # waits for all its tasks here.
        stop_event.stop()


@pytest.fixture
def pairs():
    opened = [socket.socketpair() for _ in range(40)]
    yield opened
    for pair in opened:
        for sock in pair:
            sock.close()


def test_all_connections_are_served_at_once(poller, pairs):
    # Guards against polling that ends while all polling tasks serve connections.
    assert len(pairs) > 2 * idle_poller._MAX_POLLING_TASKS
    released, served = threading.Event(), []

    def resume() -> None:
        served.append(threading.get_ident())
        released.wait(10)

    now = SystemClock().monotonic()
    for ours, _ in pairs:
        poller.park(ours, now + _LATER, resume, lambda: None)
    for _, theirs in pairs:
        theirs.sendall(b"a")
    wait_until(lambda: len(set(served)) == len(pairs))
    released.set()
    wait_until(lambda: poller._polling_tasks == idle_poller._MAX_POLLING_TASKS)


def test_parked_again_connection_is_served_again(poller, pairs):
    # Guards against a connection that is polled only once.
    ours, theirs = pairs[0]
    received = []

    def resume() -> None:
        received.append(ours.recv(1))
        park()

    def park() -> None:
        until = SystemClock().monotonic() + _LATER
        poller.park(ours, until, resume, lambda: None)

    park()
    for count in range(1, 20):
        theirs.sendall(b"a")
        wait_until(lambda: len(received) == count and poller.count() == 1)


def test_expired_connection_is_not_resumed(poller, pairs):
    # Guards against closing a connection while a task serves it.
    ours, theirs = pairs[0]
    expired, resumed = threading.Event(), threading.Event()
    poller.park(ours, SystemClock().monotonic(), resumed.set, expired.set)
    assert expired.wait(10)
    theirs.sendall(b"a")
    other, its_peer = pairs[1]
    served = threading.Event()
    poller.park(other, SystemClock().monotonic() + _LATER, served.set, lambda: None)
    its_peer.sendall(b"a")
    assert served.wait(10) and not resumed.is_set()


def test_longest_parked_connection_of_the_lowest_rank_is_evicted(poller, pairs):
    """Guards against new connections that displace those in use."""
    evicted = []
    until = SystemClock().monotonic() + _LATER

    def park(number: int, owner: str, rank: int) -> None:
        close = partial(evicted.append, number)
        sock = pairs[number][0]
        poller.park(sock, until, list, list, Evictable(owner, rank, close))

    for number, (owner, rank) in enumerate([("a", 1), ("b", 0), ("a", 0), ("a", 0)]):
        park(number, owner, rank)
    assert [poller.evict("a") for _ in range(4)] == [True, True, True, False]
    assert evicted == [2, 3, 0] and poller.count() == 1
