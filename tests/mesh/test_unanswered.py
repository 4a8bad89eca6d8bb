"""Requests whose connection ends without a response, and why."""

from __future__ import annotations

import socket
import struct
from concurrent.futures import ThreadPoolExecutor

from mesh_harness import make_request, wait_until

RESET = struct.pack("ii", 1, 0)  # a value of SO_LINGER
NAME = "cyclamenvane_unanswered_requests_total"


def count_unanswered(member, cause: str) -> float:
    registry = member.node.metrics.registry
    return registry.get_sample_value(NAME, {"cause": cause}) or 0.0


def test_caller_that_leaves_is_told_from_a_connection_that_fails(pair, log_messages):
    """Guards against lost requests whose cause no metric or log line tells."""
    entry, remote = pair
    remote.target.delay = 0.3
    with entry.connect() as sock:
        sock.sendall(make_request(attempt="a1") + make_request(attempt="a2"))
        wait_until(lambda: len(remote.target.executed) == 2)
    wait_until(lambda: count_unanswered(entry, "caller gone") == 2)
    remote.target.delay = 0.0
    remote.target.script = lambda sock, request: remote.target.execute(
        sock, request, b"x" * 12_000_000
    )
    with entry.connect() as sock:
        sock.sendall(make_request(attempt="a3"))
        sock.recv(1000)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    wait_until(lambda: count_unanswered(entry, "connection failed") == 1)

    def list_lines():
        kind = "caller:unanswered"
        return [each for each in log_messages if each.get("message_type") == kind]

    wait_until(list_lines)  # a line is logged after it is counted
    (line,) = list_lines()
    assert line["requests"] == 1 and line["error"]


def test_answered_requests_are_not_counted(pair):
    """Guards against a count of requests that have their responses."""
    entry, _ = pair
    with entry.connect() as sock:
        sock.sendall(make_request(attempt="a1") + make_request(attempt="a2"))
        received = b""
        while received.count(b"whole") < 2:
            received += sock.recv(65536)
    entry.call()
    assert not count_unanswered(entry, "caller gone")
    assert not count_unanswered(entry, "connection failed")


def test_pipelined_requests_are_answered_when_no_task_is_free(pair):
    """Guards against sessions that wait for ever for requests without a task."""
    entry, remote = pair
    remote.target.delay = 0.2
    executor = entry.node.executor
    executor._max_threads = executor.count() + 4

    def call_twice(number: int) -> int:
        with entry.connect() as sock:
            for part in "ab":
                sock.sendall(make_request(attempt=f"{part}{number}"))
            received = b""
            while received.count(b"whole") < 2 and (data := sock.recv(65536)):
                received += data
            return received.count(b"whole")

    with ThreadPoolExecutor(24) as callers:
        assert list(callers.map(call_twice, range(24))) == [2] * 24
