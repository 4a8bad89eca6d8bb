"""Requests on kept connections around the planned stop of their node."""

from __future__ import annotations

import http.client
import time
from dataclasses import dataclass

import pytest
from mesh_harness import POST, make_request, route, wait_until
from target_standin import make_response


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


class LateCalls:
    """The target of a stopping node; its run makes a call late in the grace period."""

    def __init__(self, entry, remote, method: str, call_at: float, deadline_ms: int):
        self.entry, self.remote, self.method = entry, remote, method
        self.call_at, self.deadline_ms = call_at, deadline_ms
        self.started_at, self.responses, self.cut = 0.0, [], []
        entry.target.script = self.run

    def run(self, sock, request):
        wait_until(lambda: time.monotonic() > self.started_at + self.call_at, 20)
        try:
            response = self.entry.call(
                "/orders/" if self.method == "POST" else "/items/2",
                self.method,
                b"x" if self.method == "POST" else b"",
                attempt="a1.01",
                deadline_ms=self.deadline_ms,
            )
            self.responses.append(response)
        except (OSError, http.client.HTTPException) as error:
            self.cut.append(error)
        return make_response(request, b"whole")

    def stop(self) -> bool:
        """Stop the node while its target runs a root call; return the result."""
        entry = self.entry
        routes = route(), route("post", "/orders/", **POST)
        entry.mesh.configure(*routes, route("desk", "/desk/", service="desk"))
        wait_until(lambda: entry.node.configuration.version() == 10)
        with entry.connect() as sock:
            self.started_at = time.monotonic() + 100
            sock.sendall(make_request("/desk/"))
            wait_until(lambda: entry.node.target_proxy.load().in_flight)
            self.started_at = time.monotonic()
            ended = entry.node.executor.submit(entry.node.stop)
            clean = ended.result(8)
            entry.node.kill()  # the process ends
            wait_until(lambda: self.responses or self.cut)
        return clean


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_nested_call_that_could_outlast_the_process_is_refused(pair, method):
    """Guards against late calls that are passed on and cut at the process's end."""
    entry, remote = pair
    remote.target.delay = 3.0
    calls = LateCalls(entry, remote, method, call_at=2.8, deadline_ms=5000)
    calls.stop()
    assert [each.status for each in calls.responses] == [503]
    assert not calls.cut and not remote.target.executed


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_nested_call_that_ends_before_the_process_is_served(pair, method):
    """Guards against refusing late calls that have the time that they need."""
    entry, remote = pair
    calls = LateCalls(entry, remote, method, call_at=2.3, deadline_ms=500)
    assert calls.stop()
    assert [each.status for each in calls.responses] == [200]


def test_a_nested_call_at_the_start_of_the_drain_gets_an_answer(pair):
    """Guards against a call that waits or runs beyond the end of its process."""
    entry, remote = pair
    remote.target.delay = 6.0
    calls = LateCalls(entry, remote, "POST", call_at=1.9, deadline_ms=9000)
    calls.stop()
    assert [each.status for each in calls.responses] == [504]
    assert not calls.cut


@pytest.mark.parametrize("stops", [True, False])
def test_a_large_response_is_whole_although_requests_stay_unread(pair, stops):
    """Guards against a reset by the kernel, which drops what it has not sent yet."""
    entry, remote = pair
    size = 12_000_000
    executed = []

    def script(sock, request):
        executed.append(request)
        time.sleep(0.4)
        return make_response(request, b"y" * size)

    remote.target.script = script
    with entry.connect() as sock:
        sock.sendall(make_request(attempt="a0"))
        wait_until(lambda: executed)
        if stops:
            entry.node.executor.submit(entry.node.stop)
            wait_until(lambda: entry.node.caller_server.draining)
            sock.sendall(make_request(attempt="a1"))
        else:
            sock.sendall(b"\x00 no request\r\n\r\n" + make_request(attempt="a1"))
        received = 0
        while data := sock.recv(65536):
            received += len(data)
            time.sleep(0.002)  # a slow reader: the kernel holds the end of the response
        assert received > size


def test_a_refused_upload_gets_its_response(pair):
    """Guards against a reset that drops the refusal of a body that is still sent."""
    entry, _ = pair
    head = make_request("/orders/", "POST", attempt="u0")[:-2]
    head += b"Content-Length: 50000000\r\n\r\n"
    for _ in range(20):
        with entry.connect() as sock:
            sock.sendall(head + b"x" * 300_000)
            time.sleep(0.02)
            sock.sendall(b"x" * 300_000)
            assert [each.status for each in read_responses(sock)] == [413]
