"""HTTP connections that are handed over between their loop and a thread."""

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
    monkeypatch.setattr(channel, "_KEEP_ALIVE_WAIT", timedelta(milliseconds=1))
    started = HttpListener(echo, ("127.0.0.1", 0), loops=2, threads=16, connections=64)
    pool = ThreadPoolExecutor(4)
    started.start(pool)
    yield started
    started.stop()
    pool.shutdown(wait=False)


def send_many(address: tuple[str, int], number: int) -> list[bool]:
    connection = http.client.HTTPConnection(*address, timeout=20)
    matches = []
    for index in range(REQUESTS):
        path = f"/{number}/{index}"
        connection.request("GET", path)
        matches.append(connection.getresponse().read() == path.encode())
        # Close to the keep-alive wait, so that loop and thread race for requests.
        time.sleep(0.0005 * (index % 5))
    connection.close()
    return matches


def test_each_request_is_answered_once_by_loop_or_thread(listener) -> None:
    with ThreadPoolExecutor(CONNECTIONS) as pool:
        runs = pool.map(lambda n: send_many(listener.address, n), range(CONNECTIONS))
        assert all(all(run) for run in runs)


def test_stopped_server_never_writes_to_reused_descriptor(
    listener: HttpListener,
) -> None:
    server = listener._servers[0]
    listener.stop()
    while not server._ended:
        time.sleep(0.001)
    reader, writer = os.pipe()
    try:
        # The descriptor number of the closed trigger is in use again.
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
    handle_close = channel._Channel.handle_close

    def record_closer(self) -> None:
        closers.append(threading.current_thread().name)
        handle_close(self)

    monkeypatch.setattr(channel, "_KEEP_ALIVE_WAIT", timedelta(seconds=5))
    monkeypatch.setattr(channel._Channel, "handle_close", record_closer)
    for number in range(10):
        connection = http.client.HTTPConnection(*listener.address, timeout=20)
        connection.request("GET", f"/{number}")
        assert connection.getresponse().read() == f"/{number}".encode()
        connection.close()
    while len(closers) < 10:
        time.sleep(0.001)
    assert not [name for name in closers if name.startswith("http")]
