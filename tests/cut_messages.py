"""Responses of a peer that ends the connection in the middle of one."""

from __future__ import annotations

import socket
import struct
import threading
from collections.abc import Callable

_RESET = struct.pack("ii", 1, 0)  # a value of SO_LINGER
ENDS = ("close", "reset")

INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n"


def make_framings(head: bytes, whole: bytes) -> dict[str, bytes]:
    """Return a response with a body of `whole` in each framing that has an end.

    `head` is the status line and the headers, each with its line end.
    """
    size = len(whole)
    chunks = b"".join(b"1\r\n%c\r\n" % each for each in whole) + b"0\r\n"
    length = b"Content-Length: %d\r\n\r\n%s" % (size, whole)
    return {
        "length": head + length,
        "interim": INTERIM + head + length,
        "chunks": head + _CHUNKED + b"\r\n" + chunks + b"\r\n",
        "trailers": head
        + _CHUNKED
        + b"\r\n"
        + chunks
        + b"X-Sum: 1\r\nX-Mark: 2\r\n\r\n",
        "empty": head + b"Content-Length: 0\r\n\r\n",
    }


def end_connection(sock: socket.socket, end: str) -> None:
    """End a connection by a close or a reset."""
    if end == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    sock.close()


class CuttingServer:
    """Answers the first request of each connection with `data`, and ends it."""

    def __init__(self) -> None:
        self.data, self.end = b"", "close"
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            data = b""
            while b"\r\n\r\n" not in data and (piece := sock.recv(65536)):
                data += piece
            if data:
                sock.sendall(self.data)
            end_connection(sock, self.end)


def list_whole(
    server: CuttingServer, message: bytes, is_whole: Callable[[], bool]
) -> list[bytes]:
    """Return the cuts of a message that `is_whole` takes for a whole one."""
    taken = []
    for size in range(len(message)):
        server.data = message[:size]
        if is_whole():
            taken.append(message[:size])
    return taken
