"""Connections are accepted while others are served, up to a bound."""

from __future__ import annotations

import socket
import threading
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

import pytest
from mesh_harness import await_true, free_port

from cyclamenvane.clock import SystemClock
from cyclamenvane.mesh.acceptor import Acceptor
from cyclamenvane.mesh.parking import Parking
from cyclamenvane.mesh.pause import Lifetime


class HeldSession:
    """Sends one byte at once, and another when it is released."""

    released = threading.Event()

    def __init__(self, sock):
        self.sock = sock

    def run(self) -> timedelta | None:
        self.sock.sendall(b"a")
        self.released.wait(10)
        self.sock.sendall(b"b")
        return None

    def close(self) -> None:
        """Nothing is held."""


@pytest.fixture
def listening():
    address = ("127.0.0.1", free_port("127.0.0.1"))
    HeldSession.released.clear()
    pool = ThreadPoolExecutor(64)
    parking = Parking(SystemClock(), Lifetime())
    made = Acceptor(address, HeldSession, pool, parking, most=30)
    made.start()
    yield made, address
    HeldSession.released.set()
    made.close()
    pool.shutdown()


def connect(address) -> socket.socket:
    sock = socket.create_connection(address)
    sock.settimeout(5)
    return sock


def test_connections_are_served_while_others_wait(listening):
    acceptor, address = listening
    socks = [connect(address) for _ in range(25)]
    assert [sock.recv(1) for sock in socks] == [b"a"] * 25
    HeldSession.released.set()
    assert [sock.recv(1) for sock in socks] == [b"b"] * 25
    assert [sock.recv(1) for sock in socks] == [b""] * 25
    await_true(lambda: acceptor.count() == 0)


def test_clumps_are_served_one_after_another(listening):
    acceptor, address = listening
    HeldSession.released.set()
    for _ in range(20):
        socks = [connect(address) for _ in range(20)]
        for sock in socks:
            received = b""
            while data := sock.recv(10):
                received += data
            assert received == b"ab"
            sock.close()
    assert acceptor.accepted == 400 and not acceptor.turned_away


def test_connections_beyond_the_bound_are_closed_unread(listening):
    acceptor, address = listening
    socks = [connect(address) for _ in range(30)]
    assert [sock.recv(1) for sock in socks] == [b"a"] * 30
    assert connect(address).recv(1) == b""
    assert acceptor.turned_away == 1
