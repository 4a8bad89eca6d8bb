"""Connections that go back and forth between their loop and a thread."""

from __future__ import annotations

import http.client
import os
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

import pytest

from cyclamenvane.node import channel
from cyclamenvane.node.listener import HttpListener

CONNECTIONS = 8
REQUESTS = 150


def echo(environ, start_response):
    body = environ["PATH_INFO"].encode()
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


@pytest.fixture
def listener(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(channel, "_LINGER", timedelta(milliseconds=1))
    made = HttpListener(echo, ("127.0.0.1", 0), loops=2, threads=16, connections=64)
    pool = ThreadPoolExecutor(4)
    made.start(pool)
    yield made
    made.stop()
    pool.shutdown(wait=False)


def send_many(address: tuple[str, int], number: int) -> list[bool]:
    connection = http.client.HTTPConnection(*address, timeout=20)
    matched = []
    for index in range(REQUESTS):
        path = f"/{number}/{index}"
        connection.request("GET", path)
        matched.append(connection.getresponse().read() == path.encode())
        # About as long as a thread waits, so both ways take turns and race.
        time.sleep(0.0005 * (index % 5))
    connection.close()
    return matched


def test_each_request_is_answered_once_however_it_is_served(listener) -> None:
    with ThreadPoolExecutor(CONNECTIONS) as pool:
        runs = pool.map(lambda n: send_many(listener.address, n), range(CONNECTIONS))
        assert all(all(run) for run in runs)


def test_ended_server_writes_to_no_descriptor(listener: HttpListener) -> None:
    server = listener._servers[0]
    listener.stop()
    while not server._ended:
        time.sleep(0.001)
    reader, writer = os.pipe()
    try:
        # The number that the trigger had belongs to somebody else now.
        server.trigger.trigger = writer
        server.pull_trigger()
        os.set_blocking(reader, False)
        with pytest.raises(BlockingIOError):
            os.read(reader, 1)
    finally:
        os.close(reader)
        os.close(writer)


def test_only_the_loop_closes_connections(listener, monkeypatch) -> None:
    closers: list[str] = []
    close = channel._Channel.handle_close

    def note(self) -> None:
        closers.append(threading.current_thread().name)
        close(self)

    monkeypatch.setattr(channel, "_LINGER", timedelta(seconds=5))
    monkeypatch.setattr(channel._Channel, "handle_close", note)
    for number in range(10):
        connection = http.client.HTTPConnection(*listener.address, timeout=20)
        connection.request("GET", f"/{number}")
        assert connection.getresponse().read() == f"/{number}".encode()
        connection.close()
    while len(closers) < 10:
        time.sleep(0.001)
    assert not [name for name in closers if name.startswith("http")]
