"""Responses of targets that are not HTTP/1."""

from __future__ import annotations

from datetime import timedelta

import pytest
from invalid_heads import make_invalid_responses

from cyclamenvane.clock import SystemClock
from cyclamenvane.mesh.memory import MemoryBudget
from cyclamenvane.mesh.upstream import ExchangeOutcome, Upstream
from cyclamenvane.mesh.watch import watch_no_caller
from cyclamenvane.platform.headers import HEADERS

FIELDS = b"X-Attempt-Id: a1\r\nX-Upstream-Signature: s-a1\r\n"
INVALID = make_invalid_responses(FIELDS)


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
