"""Accepts connections and serves each in a task of its own."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from concurrent.futures import Executor

import eliot

from .connection import open_listener
from .model import Address

__all__ = ["Acceptor"]


class Acceptor:
    """The listener of one address.

    `most` bounds the connections served at once. Those beyond it are closed
    unread, so that their callers may send again elsewhere.
    """

    def __init__(
        self,
        address: Address,
        serve: Callable[[socket.socket], None],
        executor: Executor,
        most: int,
    ) -> None:
        self._listener = open_listener(address)
        self._serve = serve
        self._executor = executor
        self._most = most
        self._open: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._ended = False
        self.accepted = 0
        self.turned_away = 0

    def run(self) -> None:
        """Accept until the process ends."""
        while not self._ended:
            try:
                sock, _ = self._listener.accept()
            except OSError as error:
                if self._ended:
                    return
                eliot.log_message("mesh:accept_failed", error=str(error))
                continue
            if len(self._open) >= self._most:
                self.turned_away += 1
                sock.close()
                continue
            self.accepted += 1
            with self._lock:
                self._open.add(sock)
            self._executor.submit(self._serve_one, sock)

    def close(self) -> None:
        """Stop accepting, and break the open connections."""
        self._ended = True
        with self._lock:
            for sock in (self._listener, *self._open):
                _break(sock)
        self._listener.close()

    def count(self) -> int:
        """Return how many connections are open."""
        return len(self._open)

    def _serve_one(self, sock: socket.socket) -> None:
        try:
            self._serve(sock)
        finally:
            with self._lock:
                self._open.discard(sock)
            sock.close()


def _break(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The other side was quicker.
        return
