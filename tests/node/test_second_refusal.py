"""Targets of the first daemon that write a refusal once more on a connection."""

from __future__ import annotations

import socket
import threading
from datetime import timedelta

from cyclamenvane.calls import CallContext, CallScope, Importance, Request
from cyclamenvane.clock import SystemClock
from cyclamenvane.node.connection import ConnectionPool, exchange

TIMEOUT = timedelta(seconds=5)
REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
SUCCESS = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"


def serve(listener: socket.socket, refused: list) -> None:
    """Refuse the first request, and write the refusal again before the next response.

    The second copy is written once the next request has arrived.
    """
    while True:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        copy = b""
        with sock:
            while sock.recv(65536):
                if refused:
                    sock.sendall(copy + SUCCESS)
                else:
                    refused.append(sock)
                    sock.sendall(REFUSAL)
                    copy = REFUSAL


def test_refusal_that_is_written_again_is_none_of_the_next_request():
    """Guards against a request that is refused though its target runs it."""
    listener = socket.create_server(("127.0.0.1", 0))
    threading.Thread(target=serve, args=(listener, []), daemon=True).start()
    clock = SystemClock()
    pool = ConnectionPool(listener.getsockname(), clock)
    deadline = clock.monotonic() + TIMEOUT
    context = CallContext("root", "foreman", Importance.NORMAL, 0, 0)
    request = Request("stock", "GET", "/items/", (), b"", context, deadline)
    statuses = []
    for _ in range(3):
        scope = CallScope(context, deadline)
        response = exchange(
            pool, request, (), scope, TIMEOUT, lambda status: None, lambda: None
        )
        statuses.append(response.status)
    assert statuses == [503, 200, 200]
    listener.close()
