"""Nodes that have no descriptors left."""

from __future__ import annotations

import errno
import os
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from mesh_harness import make_request, wait_until


@pytest.fixture
def no_descriptors(monkeypatch):
    """Return a function after which no signal can be opened."""

    def fail(*arguments):
        raise OSError(errno.EMFILE, "no descriptors")

    return lambda: monkeypatch.setattr(os, "eventfd", fail)


@pytest.mark.parametrize("local", [True, False])
def test_call_that_cannot_be_queued_is_refused(pair, no_descriptors, local):
    """Guards against a connection that ends without an answer, as if it had failed."""
    entry, remote = pair
    remote.send_heartbeat(slots=1)
    remote.target.delay = 0.5
    member = remote if local else entry
    no_descriptors()
    with ThreadPoolExecutor(6) as executor:
        calls = [
            executor.submit(member.call, "/orders/", "POST", attempt=f"q{number}")
            for number in range(6)
        ]
        statuses = [each.result().status for each in calls]
    assert set(statuses) == {200, 503}
    assert len(remote.target.executed) == statuses.count(200)
    # No slot is lost.
    assert member.call("/orders/", "POST", attempt="q9").status == 200


def test_pipelined_requests_are_answered_in_turn(pair, no_descriptors):
    """Guards against requests that are read and left without an answer."""
    entry, remote = pair
    remote.target.delay = 0.1
    no_descriptors()
    with entry.connect() as sock:
        for number in range(5):
            sock.sendall(make_request(attempt=f"p{number}"))
            time.sleep(0.03)
        received = b""
        while received.count(b"whole") < 5:
            data = sock.recv(65536)
            assert data, received
            received += data
        positions = [received.index(b"s-p%d" % number) for number in range(5)]
    assert positions == sorted(positions)


@pytest.mark.parametrize("local", [True, False])
def test_error_during_a_call_is_answered(pair, monkeypatch, local):
    """Guards against an error of the node that is taken for the caller's connection."""
    entry, remote = pair
    member = remote if local else entry

    def fail():
        raise OSError(errno.ENOBUFS, "no buffers")

    with monkeypatch.context() as patch:
        patch.setattr(remote.node.registration, "serving_incarnation", fail)
        assert member.call("/orders/", "POST").status == 502
    wait_until(lambda: member.call("/orders/", "POST", attempt="a2").status == 200)


def test_other_nodes_are_used_once_there_are_descriptors_again(pair, monkeypatch):
    """Guards against nodes that count as unreachable for a want of this one's."""
    entry, remote = pair
    open_socket = socket.socket

    def fail(*arguments, **options):
        in_node = threading.current_thread().name == "task"
        if in_node and "fileno" not in options:  # not one that is accepted
            raise OSError(errno.EMFILE, "no descriptors")
        return open_socket(*arguments, **options)

    with monkeypatch.context() as patch:
        patch.setattr(socket, "socket", fail)
        entry.node._peers.close_idle(remote.settings.peer_listener)
        for number in range(5):
            status = entry.call("/orders/", "POST", attempt=f"e{number}").status
            assert status == 503
    assert entry.call("/orders/", "POST", attempt="e9").status == 200
