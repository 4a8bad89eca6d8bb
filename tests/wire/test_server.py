"""A stream server that is closed while it accepts a stream."""

from __future__ import annotations

import socket
import threading
from concurrent.futures import ThreadPoolExecutor

from cyclamenvane.clock import SystemClock
from cyclamenvane.wire.handshake import open_handshake
from cyclamenvane.wire.server import StreamServer

KEY = b"k" * 32


def test_stream_whose_handshake_ends_after_close_is_closed():
    """Its reading task would keep the process from exiting."""
    in_handshake, closed = threading.Event(), threading.Event()

    def find_key(kind, name):
        in_handshake.set()
        assert closed.wait(5)
        return KEY

    pool = ThreadPoolExecutor(4)
    server = StreamServer(
        ("127.0.0.1", 0), "s", find_key, None, None, SystemClock(), pool
    )
    server.start()
    with socket.create_connection(server.address, timeout=5) as sock:
        opening = pool.submit(open_handshake, sock, "node", "n", KEY)
        assert in_handshake.wait(5)
        server.close()
        closed.set()
        opening.exception(5)
        try:
            assert sock.recv(1) == b""
        except ConnectionResetError:
            pass  # closed with unread data
    pool.shutdown(wait=True)
