"""Connections to the target, which may have died unnoticed."""

from __future__ import annotations

import socket
from datetime import timedelta

import pytest
from manual_clock import ManualClock

from cyclamenvane.node.connection import ConnectionPool

TIMEOUT = timedelta(seconds=20)


@pytest.fixture
def listening():
    made = socket.create_server(("127.0.0.1", 0))
    yield made
    made.close()


@pytest.fixture
def pool(listening, clock: ManualClock):
    made = ConnectionPool(listening.getsockname(), clock)
    yield made
    made.close()


def test_connection_used_a_moment_ago_is_used_again(pool) -> None:
    connection = pool.take(False, TIMEOUT)
    pool.give_back(connection)
    assert pool.take(False, TIMEOUT) is connection


def test_idle_connection_is_no_good_for_what_may_not_be_repeated(pool, clock) -> None:
    for repeatable in (True, False):
        connection = pool.take(repeatable, TIMEOUT)
        pool.give_back(connection)
        clock.advance(2)
        assert (pool.take(repeatable, TIMEOUT) is connection) is repeatable


def test_connection_that_the_target_closed_is_dropped(pool, listening) -> None:
    connection = pool.take(True, TIMEOUT)
    accepted, _ = listening.accept()
    pool.give_back(connection)
    accepted.shutdown(socket.SHUT_RDWR)
    accepted.close()
    while not connection.sock.recv(1, socket.MSG_PEEK | socket.MSG_WAITALL) == b"":
        pass
    assert pool.take(True, TIMEOUT) is not connection
