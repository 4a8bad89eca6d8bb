"""Targets that send a second copy of a response, or a stray one, late."""

from __future__ import annotations

import threading
import time
from datetime import timedelta

import pytest
from target_standin import TargetStandIn, make_response

from cyclamenvane.clock import SystemClock
from cyclamenvane.mesh.heads import find_header
from cyclamenvane.mesh.memory import MemoryBudget
from cyclamenvane.mesh.upstream import Upstream
from cyclamenvane.mesh.watch import watch_no_caller
from cyclamenvane.platform.headers import HEADERS

NOT_RUN = b"X-Not-Executed: 1\r\n"
UNAVAILABLE = b"503 Service Unavailable"
CALLS = 5


class DuplicatingTarget:
    """Rejects the first sends of each attempt, and sends each rejection twice.

    The second copy comes right before the response to the next request on the
    connection.
    """

    def __init__(self, target, rejections: int) -> None:
        self.target, self.rejections = target, rejections
        self.sends: dict[bytes | None, int] = {}
        self.copies: dict = {}
        self._lock = threading.Lock()

    def respond(self, sock, request):
        attempt = find_header(request.headers, b"x-attempt-id")
        with self._lock:
            copy = self.copies.pop(sock, b"")
            self.sends[attempt] = sends = self.sends.get(attempt, 0) + 1
        if sends <= self.rejections:
            response = make_response(request, b"", UNAVAILABLE, NOT_RUN)
            self.copies[sock] = response
        else:
            response = self.target.execute(sock, request)
        return copy + response


@pytest.mark.parametrize("rejections", [1, 3])
def test_duplicate_of_a_rejection_is_no_response_to_the_next_send(pair, rejections):
    """Guards against a call that runs twice after it was rejected and sent again."""
    entry, remote = pair
    target = DuplicatingTarget(remote.target, rejections)
    remote.target.script = target.respond
    answered = []
    for number in range(CALLS):
        response = entry.call("/orders/", "POST", b"x", attempt=f"a{number}")
        # The others are refused once the node takes the target for overloaded.
        assert response.status in (200, 503)
        if response.status == 200:
            answered.append(f"a{number}".encode())
    assert answered
    assert list_executed(remote) == answered


def test_connection_remembers_a_rejection_while_it_carries_other_calls():
    """Guards against a duplicate that comes after the response to another call."""
    target = TargetStandIn()
    upstream = make_upstream(target)
    rejected_on = []

    def respond(sock, request):
        if find_header(request.headers, b"x-attempt-id") != b"c1":
            return make_response(request, b"other")
        rejection = make_response(request, b"", UNAVAILABLE, NOT_RUN)
        if not rejected_on:
            rejected_on.append(sock)
            return rejection
        duplicate = rejection if sock in rejected_on else b""
        return duplicate + make_response(request, b"whole")

    target.script = respond
    assert exchange(upstream, b"c1").status == 503
    for number in range(5):
        assert exchange(upstream, b"d%d" % number).body == b"other"
    assert upstream.opened == 1
    assert exchange(upstream, b"c1").body == b"whole"
    assert upstream.opened == 2
    target.close()


def test_connection_with_many_rejections_is_closed():
    """Guards against a memory of rejections that grows with the connection's age."""
    target = TargetStandIn()
    upstream = make_upstream(target)
    target.script = lambda sock, request: make_response(
        request, b"", UNAVAILABLE, NOT_RUN
    )
    for number in range(200):
        exchange(upstream, b"e%d" % number)
    assert 3 <= upstream.opened <= 4
    target.close()


@pytest.mark.parametrize(
    "stray",
    [
        b"HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
    ],
)
def test_response_without_an_attempt_is_none_to_a_call_that_may_run_once(pair, stray):
    """Guards against a call that a stray response makes run twice, or look refused."""
    entry, remote = pair

    def respond(sock, request):
        sock.sendall(stray)
        time.sleep(0.05)
        return remote.target.execute(sock, request)

    remote.target.script = respond
    for number in range(CALLS):
        response = entry.call("/orders/", "POST", b"x", attempt=f"s{number}")
        assert response.status == 200
    assert len(list_executed(remote)) == CALLS


def make_upstream(target) -> Upstream:
    memory = MemoryBudget(1_000_000, SystemClock())
    return Upstream(target.address, HEADERS, 1_000_000, memory, SystemClock())


def exchange(upstream, attempt):
    """Send one call that is not idempotent; return its result."""
    clock = SystemClock()
    head = b"POST /orders/ HTTP/1.1\r\nX-Attempt-Id: %s\r\n\r\n" % attempt
    until = clock.monotonic() + timedelta(seconds=5)
    return upstream.exchange(head, b"", attempt, False, watch_no_caller(clock), until)


def list_executed(member) -> list[bytes]:
    """Return the attempts that a target has executed."""
    return [
        find_header(each.headers, b"x-attempt-id") for each in member.target.executed
    ]
