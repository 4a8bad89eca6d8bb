"""Callers that read large responses slowly, or hardly at all."""

from __future__ import annotations

import time
from datetime import timedelta

from mesh_harness import make_request, wait_until
from target_standin import make_response

from cyclamenvane.mesh import caller_session

BODY = b"s" * 3_000_000


def respond(sock, request):
    return make_response(request, BODY)


def test_slow_reader_gets_the_whole_response(pair, monkeypatch):
    """Guards against a time-out of the whole response, with small kernel buffers."""
    entry, remote = pair
    remote.target.script = respond
    monkeypatch.setattr(caller_session, "_WRITE_TIMEOUT", timedelta(seconds=0.5))
    received = 0
    with entry.connect() as sock:
        sock.sendall(make_request())
        while received < len(BODY):
            data = sock.recv(65536)
            assert data, received
            received += len(data)
            time.sleep(len(data) / 1_500_000)


def test_reader_that_takes_little_in_time_is_cut_off(pair, monkeypatch):
    """Guards against callers that keep a task by reading now and then."""
    entry, remote = pair
    remote.target.script = respond
    monkeypatch.setattr(caller_session, "_WRITE_TIMEOUT", timedelta(seconds=0.5))
    monkeypatch.setattr(caller_session, "_MIN_READ_BYTES_PER_S", 4_000_000)
    with entry.connect() as sock:
        sock.sendall(make_request())
        sock.recv(1)
        started = time.monotonic()
        while entry.node.caller_server.in_flight.count():
            sock.recv(30_000)
            time.sleep(0.1)
            assert time.monotonic() - started < 5
    wait_until(lambda: not entry.node.memory.reserved())
