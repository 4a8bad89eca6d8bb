"""Responses of several MB: slow callers, targets that break off, callers that leave."""

from __future__ import annotations

import http.client
import socket
import time
from contextlib import suppress
from datetime import timedelta

import pytest
from mesh_harness import make_request, route, wait_until
from target_standin import make_response

from cyclamenvane.mesh import caller_session

SIZE = 6_000_000
BODY = bytes(range(256)) * (SIZE // 256)


@pytest.fixture
def video(mesh):
    """Return an entry node and the node of a target that sends large responses."""
    entry, remote = mesh.add("desk", "a"), mesh.add("stock", "a")
    mesh.configure(route(routeType="egress_download"), route("post", "/orders/"))
    mesh.wait_until_converged()
    remote.target.script = lambda sock, request: remote.target.execute(
        sock, request, BODY
    )
    return entry, remote


def read_body(sock):
    response = http.client.HTTPResponse(sock, method="GET")
    response.begin()
    return response.read()


@pytest.mark.parametrize("local", [False, True])
def test_large_response_is_delivered_unchanged(video, local):
    entry, remote = video
    response = (remote if local else entry).call()
    assert response.status == 200 and response.body == BODY


@pytest.mark.parametrize("local", [False, True])
def test_caller_that_stops_reading_blocks_only_itself(video, local):
    entry, remote = video
    member = remote if local else entry
    with member.connect() as sock:
        sock.sendall(make_request(attempt="slow"))
        wait_until(lambda: len(remote.target.executed) == 1)
        response = member.call(attempt="quick")
        assert response.status == 200 and response.body == BODY
        # The target is free again although the caller has read nothing.
        wait_until(lambda: remote.node.gate.load().in_flight == 0)
        assert read_body(sock) == BODY


@pytest.mark.parametrize("local", [False, True])
def test_target_that_breaks_off_midway_is_tried_at_another_one(mesh, local):
    entry, first = mesh.add("desk", "a"), mesh.add("stock", "a")
    second = mesh.add("stock", "a")
    mesh.configure(route(routeType="egress_download", maxAttempts=2))
    mesh.wait_until_converged()
    runs = []

    def script(member):
        def respond(sock, request):
            runs.append(member)
            data = make_response(request, BODY)
            if len(runs) == 1:
                sock.sendall(data[: SIZE // 2])
                return None
            return data

        return respond

    for member in (first, second):
        member.target.script = script(member)
    response = (first if local else entry).call()
    assert response.status == 200 and response.body == BODY
    assert len(runs) == 2 and runs[0] is not runs[1]


@pytest.mark.parametrize("local", [False, True])
def test_caller_that_leaves_midway_frees_target_and_memory(video, local):
    entry, remote = video
    member = remote if local else entry
    remote.target.delay = 0.2
    for number in range(5):
        with member.connect() as sock:
            sock.sendall(make_request(attempt=f"a{number}"))
            sock.recv(100_000)
    started = time.monotonic()
    wait_until(lambda: remote.node.gate.load().in_flight == 0)
    wait_until(lambda: member.node.caller_server.in_flight.count() == 0)
    assert time.monotonic() - started < 1.0
    assert member.call().body == BODY


def read_response(stream):
    """Return the status and the body; `stream` may hold more."""
    status = int(stream.readline().split()[1])
    length = 0
    while (line := stream.readline()) != b"\r\n":
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    return status, stream.read(length)


def test_request_sent_during_a_large_response_is_answered_after_it(video):
    """Guards against a response that is cut off when its caller sends the next request:
    the rest was missing, and the next response followed."""
    entry, _ = video
    with entry.connect() as sock, sock.makefile("rb") as stream:
        sock.sendall(make_request(attempt="first"))
        sock.recv(1, socket.MSG_PEEK)
        sock.sendall(make_request(attempt="second"))
        assert read_response(stream) == (200, BODY)
        assert read_response(stream) == (200, BODY)


def test_caller_that_reads_too_slowly_gets_no_further_response(video, monkeypatch):
    """Guards against a response that follows one that was cut off at the time-out."""
    entry, remote = video
    monkeypatch.setattr(caller_session, "_WRITE_TIMEOUT", timedelta(seconds=0.2))
    with entry.connect() as sock, sock.makefile("rb") as stream:
        sock.sendall(make_request(attempt="slow"))
        sock.recv(1, socket.MSG_PEEK)
        sock.sendall(make_request(attempt="next"))
        wait_until(lambda: entry.node.caller_server.in_flight.count() == 0)
        with suppress(ConnectionResetError):
            status, body = read_response(stream)
            assert status == 200 and len(body) < len(BODY) and BODY.startswith(body)
            assert stream.read() == b""
    assert len(remote.target.executed) == 1


def test_request_in_two_parts_is_read_after_a_large_response(video):
    """Guards against a connection that is no longer polled once a response to it has
    had to wait: the rest of the next request was never read."""
    entry, remote = video
    with entry.connect() as sock, sock.makefile("rb") as stream:
        sock.sendall(make_request(attempt="first"))
        sock.recv(1, socket.MSG_PEEK)
        assert read_response(stream) == (200, BODY)
        request = make_request("/orders/1", "POST", b"body", attempt="second")
        sock.sendall(request[:-2])
        time.sleep(0.1)  # so that the parts are seldom read together
        sock.sendall(request[-2:])
        assert read_response(stream) == (200, BODY)
    assert remote.target.executed[-1].body == b"body"
