"""Responses of targets, and results of nodes, that end in the middle."""

from __future__ import annotations

from datetime import timedelta

import msgpack
import pytest
from builders import make_forward_request
from cut_messages import ENDS, end_connection, list_whole, make_framings

from cyclamenvane.clock import SystemClock
from cyclamenvane.mesh.forward import ForwardResult, Verdict
from cyclamenvane.mesh.memory import MemoryBudget
from cyclamenvane.mesh.peer_pool import PeerPool
from cyclamenvane.mesh.upstream import ExchangeOutcome, Upstream
from cyclamenvane.mesh.watch import watch_no_caller
from cyclamenvane.platform.headers import HEADERS

WHOLE = b"whole"
HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Upstream-Signature: s\r\n"
LATE = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a0\r\nContent-Length: 4\r\n\r\nlate"
FRAMINGS = make_framings(HEAD, WHOLE)
FRAMINGS["late response first"] = LATE + FRAMINGS["length"]
FRAMINGS["rejection"] = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: a1\r\n"
    b"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
FRAMINGS["two encodings"] = HEAD + (
    b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nwhole\r\n0\r\n\r\n"
)
FRAMINGS["no content"] = (
    b"HTTP/1.1 204 No Content\r\nX-Attempt-Id: a1\r\nX-Upstream-Signature: s\r\n\r\n"
)


def exchange(address, method: bytes = b"GET"):
    """Send one call to a target; return its result."""
    clock = SystemClock()
    memory = MemoryBudget(1_000_000, SystemClock())
    upstream = Upstream(address, HEADERS, 1_000_000, memory, clock)
    head = method + b" /items/ HTTP/1.1\r\nX-Attempt-Id: a1\r\n\r\n"
    until = clock.monotonic() + timedelta(seconds=5)
    return upstream.exchange(head, b"", b"a1", False, watch_no_caller(clock), until)


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("framing", FRAMINGS)
def test_response_cut_at_any_byte_is_not_taken_for_whole(cutting_server, framing, end):
    """Guards against a success with an empty or short body, framed as whole."""
    cutting_server.end = end

    def is_whole() -> bool:
        result = exchange(cutting_server.address)
        return result.outcome is not ExchangeOutcome.BROKEN

    assert not list_whole(cutting_server, FRAMINGS[framing], is_whole)


@pytest.mark.parametrize("end", ENDS)
def test_head_of_a_response_without_a_body_cut_at_any_byte_is_not_whole(
    cutting_server, end
):
    """Guards against an answer to HEAD that lacks headers."""
    cutting_server.end = end

    def is_whole() -> bool:
        result = exchange(cutting_server.address, b"HEAD")
        return result.outcome is not ExchangeOutcome.BROKEN

    message = HEAD + b"Content-Length: 5\r\n\r\n"
    assert not list_whole(cutting_server, message, is_whole)


def test_response_that_ends_with_its_connection_is_not_whole_after_a_cut_head(
    cutting_server,
):
    """Guards against an empty body whose framing headers were cut off."""

    def is_whole() -> bool:
        result = exchange(cutting_server.address)
        return result.outcome is not ExchangeOutcome.BROKEN

    assert not list_whole(cutting_server, HEAD + b"\r\n", is_whole)


@pytest.mark.parametrize("framing", ["length", "chunks", "interim"])
def test_caller_gets_no_success_for_a_cut_response(pair, framing):
    """Guards against a cut response that looks whole to a caller at another node."""
    entry, remote = pair
    statuses, sent = set(), []
    message = FRAMINGS[framing]
    for size in range(0, len(message), 5):

        def respond(sock, request, size=size):
            sent.append(size)
            sock.sendall(message[:size])
            end_connection(sock, "close")

        remote.target.script = respond
        statuses.add(entry.call("/orders/", "POST", b"x").status)
    assert sent == list(range(0, len(message), 5))
    assert statuses == {502}


@pytest.mark.parametrize("end", ENDS)
def test_result_of_a_node_cut_at_any_byte_leaves_the_outcome_unknown(
    cutting_server, end
):
    """Guards against a short body, or a wrong verdict, from a frame that is cut."""
    cutting_server.end = end
    result = ForwardResult(Verdict.ANSWERED, status=200, head=HEAD, body=WHOLE)
    clock = SystemClock()
    # The server answers the end of a head.
    request = make_forward_request(body=b"\r\n\r\n")

    def is_whole() -> bool:
        pool, watch = PeerPool(clock), watch_no_caller(clock)
        result = pool.forward(cutting_server.address, request, watch)
        return result.verdict is not Verdict.UNKNOWN

    frame = msgpack.packb(result.pack(True))
    assert not list_whole(cutting_server, frame, is_whole)
