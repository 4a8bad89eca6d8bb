"""Tests of accepting connections while others are served, up to a limit."""

from __future__ import annotations

import socket
import threading
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

import pytest
from mesh_harness import free_port, wait_until

from cyclamenvane.clock import SystemClock
from cyclamenvane.mesh.acceptor import Acceptor
from cyclamenvane.mesh.descriptors import DescriptorShare
from cyclamenvane.mesh.idle_poller import IdlePoller
from cyclamenvane.mesh.stop_event import StopEvent


class BlockingSession:
    """Sends one byte immediately and another once `released` is set."""

    released = threading.Event()
    served = False

    def __init__(self, sock):
        self.sock = sock

    def run(self) -> timedelta | None:
        self.sock.sendall(b"a")
        self.released.wait(10)
        self.sock.sendall(b"b")
        return None

    def expire(self) -> None:
        """Do nothing; the session is never parked."""

    def close(self) -> None:
        """Do nothing; the session holds no resources."""


@pytest.fixture
def running_acceptor():
    address = ("127.0.0.1", free_port("127.0.0.1"))
    BlockingSession.released.clear()
    pool = ThreadPoolExecutor(64)
    idle_poller = IdlePoller(SystemClock(), pool, StopEvent())
    acceptor = Acceptor(
        address, BlockingSession, pool, idle_poller, DescriptorShare(30)
    )
    acceptor.start()
    yield acceptor, address
    BlockingSession.released.set()
    acceptor.close()
    pool.shutdown()


def connect(address) -> socket.socket:
    sock = socket.create_connection(address)
    sock.settimeout(5)
    return sock


def test_connections_are_served_concurrently(running_acceptor):
    acceptor, address = running_acceptor
    socks = [connect(address) for _ in range(25)]
    assert [sock.recv(1) for sock in socks] == [b"a"] * 25
    BlockingSession.released.set()
    assert [sock.recv(1) for sock in socks] == [b"b"] * 25
    assert [sock.recv(1) for sock in socks] == [b""] * 25
    wait_until(lambda: acceptor.count() == 0)


def test_bursts_of_connections_are_served(running_acceptor):
    acceptor, address = running_acceptor
    BlockingSession.released.set()
    for _ in range(20):
        socks = [connect(address) for _ in range(20)]
        for sock in socks:
            received = b""
            while data := sock.recv(10):
                received += data
            assert received == b"ab"
            sock.close()
    assert acceptor.accepted == 400 and not acceptor.rejected


def test_connections_beyond_the_limit_are_closed_unread(running_acceptor):
    acceptor, address = running_acceptor
    socks = [connect(address) for _ in range(30)]
    assert [sock.recv(1) for sock in socks] == [b"a"] * 30
    assert connect(address).recv(1) == b""
    assert acceptor.rejected == 1
