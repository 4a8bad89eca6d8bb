"""Requests on kept connections around the planned stop of their node."""

from __future__ import annotations

import http.client
from dataclasses import dataclass

import pytest
from mesh_harness import make_request, wait_until


@dataclass(frozen=True)
class WholeResponse:
    """A response that a caller has received completely."""

    status: int
    closes: bool


def read_responses(sock) -> list[WholeResponse]:
    """Read a connection to its end; return its whole responses."""
    stream, responses = sock.makefile("rb"), []
    try:
        while line := stream.readline():
            headers = http.client.parse_headers(stream)
            length = int(headers["Content-Length"])
            if len(stream.read(length)) < length:
                break
            closes = headers["Connection"] == "close"
            responses.append(WholeResponse(int(line.split()[1]), closes))
            if closes:
                break
    except OSError:
        pass  # reset by the node: what came before it counts
    return responses


@pytest.mark.parametrize("garbage", [b"", b"\x00 no request\r\n\r\n"])
def test_pipelined_requests_are_answered_by_a_stopping_node(pair, garbage):
    """Guards against a response that closes the connection of running calls."""
    entry, remote = pair
    remote.target.delay = 0.6
    with entry.connect() as sock:
        for number in range(5):
            sock.sendall(make_request(f"/items/{number}", attempt=f"a{number}"))
        wait_until(lambda: len(remote.target.executed) == 5)
        stopping = entry.node.executor.submit(entry.node.stop)
        sock.sendall(garbage)
        wait_until(lambda: not entry.is_ready())
        responses = read_responses(sock)
    assert [each.status for each in responses] == [200] * 5
    assert [each.closes for each in responses] == [False] * 4 + [True]
    assert stopping.result(5)


def test_pipelined_requests_before_malformed_bytes_are_answered(pair):
    """Guards against bytes that end the connection of calls that are running."""
    entry, remote = pair
    remote.target.delay = 0.3
    with entry.connect() as sock:
        for number in range(3):
            sock.sendall(make_request(f"/items/{number}", attempt=f"a{number}"))
        wait_until(lambda: len(remote.target.executed) == 3)
        sock.sendall(b"\x00 no request\r\n\r\n")
        responses = read_responses(sock)
    assert [each.status for each in responses] == [200] * 3


def test_requests_sent_to_a_draining_connection_do_not_keep_it_open(pair):
    """Guards against a caller that pipelines without an end and delays the stop."""
    entry, remote = pair
    remote.target.delay = 0.2
    with entry.connect() as sock:
        sock.sendall(make_request(attempt="a0") + make_request(attempt="a1"))
        wait_until(lambda: len(remote.target.executed) == 2)
        stopping = entry.node.executor.submit(entry.node.stop)
        wait_until(lambda: entry.node.caller_server.draining)
        for number in range(2, 20):
            sock.sendall(make_request(attempt=f"a{number}"))
        responses = read_responses(sock)
    assert responses[-1].closes and stopping.result(5)
    assert len(responses) == len(remote.target.executed)
