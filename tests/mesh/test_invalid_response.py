"""Responses of targets that are not HTTP/1, or that a reset cuts short."""

from __future__ import annotations

import socket
import threading
import time
from datetime import timedelta

import pytest
from cut_messages import end_connection
from invalid_heads import make_invalid_responses
from mesh_harness import POST, route

from cyclamenvane.clock import SystemClock
from cyclamenvane.mesh.memory import MemoryBudget
from cyclamenvane.mesh.upstream import ExchangeOutcome, Upstream
from cyclamenvane.mesh.watch import watch_no_caller
from cyclamenvane.platform.headers import HEADERS

FIELDS = b"X-Attempt-Id: a1\r\nX-Upstream-Signature: s-a1\r\n"
PART = b"HTTP/1.1 200 OK\r\n" + FIELDS + b"\r\npart of a body"
INVALID = make_invalid_responses(FIELDS)
UPLOAD = b"u" * 8_000_000


class EarlyServer:
    """Answers an upload with `data` after its head, and ends the connection."""

    def __init__(self, data: bytes, end: str, delay: float = 0.0) -> None:
        self._data, self._end, self._delay = data, end, delay
        self._listener = socket.socket()
        # The upload does not fit into the buffers, so it is still being written.
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(16)
        self.address = self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            received = b""
            while b"\r\n\r\n" not in received and (piece := sock.recv(1024)):
                received += piece
            if received:
                sock.sendall(self._data)
            time.sleep(self._delay)
            if self._end == "clean":
                sock.shutdown(socket.SHUT_WR)
                time.sleep(0.5)
            end_connection(sock, "reset")


@pytest.fixture
def early_server():
    opened = []

    def open_server(*arguments) -> EarlyServer:
        opened.append(EarlyServer(*arguments))
        return opened[-1]

    yield open_server
    for each in opened:
        each.close()


def exchange(address, body: bytes = b""):
    """Send one call to a target; return its result."""
    clock = SystemClock()
    upstream = Upstream(
        address, HEADERS, 1_000_000, MemoryBudget(10_000_000, clock), clock
    )
    head = b"POST /items/ HTTP/1.1\r\nX-Attempt-Id: a1\r\nContent-Length: %d\r\n\r\n"
    until = clock.monotonic() + timedelta(seconds=5)
    watch = watch_no_caller(clock)
    return upstream.exchange(head % len(body), body, b"a1", False, watch, until)


@pytest.mark.parametrize("delay", [0.0, 0.05])
def test_part_of_a_body_before_a_reset_is_not_whole(early_server, delay):
    """Guards against an upload whose reset is noticed by sending, and then forgotten:
    the part of the body was passed on as a whole response."""
    for _ in range(5):
        server = early_server(PART, "reset", delay)
        result = exchange(server.address, UPLOAD)
        assert result.outcome is ExchangeOutcome.BROKEN, result.body


def test_body_that_ends_cleanly_during_an_upload_is_whole(early_server):
    """Guards against answers that are dropped since they came early."""
    result = exchange(early_server(PART, "clean").address, UPLOAD)
    assert result.outcome is ExchangeOutcome.ANSWERED
    assert result.body == b"part of a body"


@pytest.mark.parametrize("local", [True, False])
def test_caller_gets_no_success_for_a_reset_during_its_upload(
    pair, early_server, local
):
    """Guards against a part of a body that looks whole to a caller."""
    entry, remote = pair
    member = remote if local else entry
    remote.mesh.configure(
        route(), route("post", "/orders/", **POST), maxBodyBytes=len(UPLOAD)
    )
    remote.mesh.wait_until_converged()
    remote.node._upstream.set_address(early_server(PART, "reset", 0.05).address)
    assert member.call("/orders/", "POST", UPLOAD).status == 502


@pytest.mark.parametrize("name", INVALID)
def test_invalid_response_is_broken(cutting_server, name):
    """Guards against bytes that are passed on as an answer."""
    cutting_server.data = INVALID[name]
    assert exchange(cutting_server.address).outcome is ExchangeOutcome.BROKEN


@pytest.mark.parametrize("name", ["status 000", "version 2.0", "blank in a name"])
def test_caller_gets_a_failure_for_an_invalid_response(pair, name):
    entry, remote = pair

    def respond(sock, request):
        remote.target.executed.append(request)
        sock.sendall(INVALID[name])
        return b""

    remote.target.script = respond
    response = entry.call("/orders/", "POST", b"x", deadline_ms=1500)
    assert response.status in (502, 504), "it may have run"
    assert "x-mark" not in response.headers and not response.body
    assert len(remote.target.executed) == 1


def test_valid_odd_response_is_answered(cutting_server):
    """Guards against a check that refuses what the standards allow."""
    fields = FIELDS + b"X-Odd!#$%&'*+-.^_`|~: \t\xe9 ,;\t\r\nX-Empty:\r\n"
    cutting_server.data = (
        b"\r\nHTTP/1.1 200\r\n" + fields + b"Content-Length: 5\r\n\r\nwhole"
    )
    result = exchange(cutting_server.address)
    assert result.outcome is ExchangeOutcome.ANSWERED and result.body == b"whole"
