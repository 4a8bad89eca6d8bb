"""Connections that go back and forth between their loop and a thread."""

from __future__ import annotations

import http.client
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
