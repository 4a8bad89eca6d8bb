"""Accepts connections, and serves each in a task while it is in use.

The task that has accepted a connection serves it itself, so a connection of one
request costs one wake-up. Before it does, it makes sure that another task accepts.
"""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import Executor
from datetime import timedelta
from typing import Protocol

import eliot

from .connection import open_listener
from .model import Address
from .parking import Parking

__all__ = ["Acceptor", "Session"]

_PAUSE = timedelta(milliseconds=50)
# Tasks that wait for connections at the same time: a clump of callers finds one
# each, and those beyond are started on demand.
_MOST_ACCEPTING = 8


class Session(Protocol):
    """What is done on one connection.

    `run` serves requests for as long as they come; it returns the time until
    which the connection may stay idle, or None when it is to be closed.
    """

    sock: socket.socket

    def run(self) -> timedelta | None:
        """Serve the requests that come."""

    def close(self) -> None:
        """Give up what the session holds."""


class Acceptor:
    """The listener of one address.

    `most` bounds the open connections. Those beyond it are closed unread, so
    that their callers may send again elsewhere.
    """

    def __init__(
        self,
        address: Address,
        open_session: Callable[[socket.socket], Session],
        executor: Executor,
        parking: Parking,
        most: int,
    ) -> None:
        self._listener = open_listener(address)
        self._open_session = open_session
        self._executor = executor
        self._parking = parking
        self._most = most
        self._open: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._ended = False
        self._accepting = 0
        self.accepted = 0
        self.turned_away = 0

    def start(self) -> None:
        """Accept and serve connections in tasks, until `close`."""
        self._accepting = 1
        self._executor.submit(self._run)

    def _run(self) -> None:
        while not self._ended:
            sock = self._accept()
            if sock is None:
                continue
            if self._leave_accepting():
                self._executor.submit(self._run)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._serve(self._open_session(sock))
            if not self._join_accepting():
                return

    def _accept(self) -> socket.socket | None:
        try:
            sock, _ = self._listener.accept()
        except OSError as error:
            if not self._ended:
                eliot.log_message("mesh:accept_failed", error=str(error))
                # Descriptors come back as connections end.
                time.sleep(_PAUSE.total_seconds())
            return None
        with self._lock:
            if len(self._open) < self._most:
                self.accepted += 1
                self._open.add(sock)
                return sock
            self.turned_away += 1
        sock.close()
        return None

    def _leave_accepting(self) -> bool:
        """Stop counting this task; return whether another has to take its place."""
        with self._lock:
            if self._accepting > 1:
                self._accepting -= 1
                return False
        return True

    def _join_accepting(self) -> bool:
        """Count this task again, unless enough others accept already."""
        with self._lock:
            if self._accepting >= _MOST_ACCEPTING:
                return False
            self._accepting += 1
            return True

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

    def _serve(self, session: Session) -> None:
        idle_until = None
        try:
            idle_until = session.run()
        finally:
            if idle_until is None:
                self._end(session)
            else:
                self._park(session, idle_until)

    def _park(self, session: Session, until: timedelta) -> None:
        self._parking.park(
            session.sock,
            until,
            lambda: self._resume(session),
            lambda: self._end(session),
        )

    def _resume(self, session: Session) -> None:
        self._executor.submit(self._serve, session)

    def _end(self, session: Session) -> None:
        session.close()
        with self._lock:
            self._open.discard(session.sock)
        self._parking.forget(session.sock)
        session.sock.close()


def _break(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The other side was quicker.
        return
