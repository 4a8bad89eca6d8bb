"""Accepts connections and serves each in a task while it is active.

The task that accepted a connection also serves it, so a connection with a single
request costs one wake-up. Before serving, it ensures that another task accepts.
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

from .connection import open_listener, shut_down
from .descriptors import DescriptorShare
from .idle_poller import Evictable, IdlePoller
from .model import Address

__all__ = ["Acceptor", "Session"]

_ACCEPT_RETRY_DELAY = timedelta(milliseconds=50)
# Maximum number of tasks that wait in accept(), to absorb bursts of connections;
# further tasks are started on demand.
_MAX_ACCEPTING_TASKS = 8


class Session(Protocol):
    """Handler of one connection.

    `run` serves requests as long as they arrive. It returns the monotonic time
    until which the connection may stay idle, or None if it is to be closed.
    """

    sock: socket.socket
    served: bool  # whether a request has been served on it

    def run(self) -> timedelta | None:
        """Serve requests as they arrive."""

    def expire(self) -> None:
        """Handle the end of the time that `run` has returned."""

    def close(self) -> None:
        """Release the resources of the session."""


class Acceptor:
    """Listener on one address.

    `descriptors` limits the open connections. If there are too many, one that is parked
    is closed for a new one, first of all one on which no request was ever served.
    Without one that is parked, the new one is closed without reading from it, so that
    callers can safely resend elsewhere.
    """

    def __init__(
        self,
        address: Address,
        open_session: Callable[[socket.socket], Session],
        executor: Executor,
        idle_poller: IdlePoller,
        descriptors: DescriptorShare,
        on_eviction: Callable[[], None] | None = None,
        limits_buffers: bool = False,
    ) -> None:
        self._listener = open_listener(address, limits_buffers)
        self._open_session = open_session
        self._executor = executor
        self._idle_poller = idle_poller
        self._descriptors = descriptors
        self._on_eviction = on_eviction
        self._open: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._closed = False
        self._accepting_tasks = 0
        self.accepted = 0
        self.rejected = 0

    def start(self) -> None:
        """Start accepting and serving connections in tasks until `close`."""
        self._accepting_tasks = 1
        self._executor.submit(self._run)

    def _run(self) -> None:
        while not self._closed:
            sock = self._accept()
            if sock is None:
                continue
            if self._unregister_accepting():
                self._executor.submit(self._run)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._serve(self._open_session(sock))
            if not self._register_accepting():
                return

    def _accept(self) -> socket.socket | None:
        try:
            sock, _ = self._listener.accept()
        except OSError as error:
            if not self._closed:
                eliot.log_message("mesh:accept_failed", error=str(error))
                # Descriptors become free as connections close.
                time.sleep(_ACCEPT_RETRY_DELAY.total_seconds())
            return None
        if self._descriptors.take(1) or self._evict_parked():
            with self._lock:
                self.accepted += 1
                self._open.add(sock)
            return sock
        with self._lock:
            self.rejected += 1
        sock.close()
        return None

    def _evict_parked(self) -> bool:
        """Take the descriptor of a parked connection; return False if there is none."""
        while self._idle_poller.evict(self):
            if self._on_eviction is not None:
                self._on_eviction()
            if self._descriptors.take(1):
                return True
        return False

    def _unregister_accepting(self) -> bool:
        """Stop counting this task as accepting, unless it is the last one.

        Return whether a replacement has to be started, which inherits the count.
        """
        with self._lock:
            if self._accepting_tasks > 1:
                self._accepting_tasks -= 1
                return False
        return True

    def _register_accepting(self) -> bool:
        """Count this task as accepting again; return False if enough others accept."""
        with self._lock:
            if self._accepting_tasks >= _MAX_ACCEPTING_TASKS:
                return False
            self._accepting_tasks += 1
            return True

    def close(self) -> None:
        """Stop accepting and shut down the open connections."""
        self._closed = True
        with self._lock:
            for sock in (self._listener, *self._open):
                shut_down(sock)
        self._listener.close()

    def count(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def _serve(self, session: Session) -> None:
        idle_until = None
        try:
            idle_until = session.run()
        finally:
            if idle_until is None:
                self._close_session(session)
            else:
                self._park(session, idle_until)

    def _park(self, session: Session, until: timedelta) -> None:
        def expire() -> None:
            # It may send a response, which the poller does not wait for.
            self._executor.submit(self._expire, session)

        def close() -> None:
            self._close_session(session)

        self._idle_poller.park(
            session.sock,
            until,
            lambda: self._serve(session),
            expire,
            Evictable(self, int(session.served), close),
        )

    def _expire(self, session: Session) -> None:
        try:
            session.expire()
        finally:
            self._close_session(session)

    def _close_session(self, session: Session) -> None:
        session.close()
        with self._lock:
            self._open.discard(session.sock)
        self._idle_poller.remove(session.sock)
        session.sock.close()
        self._descriptors.give_back(1)
