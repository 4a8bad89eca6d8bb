"""Stream sockets with bounded waits: opening, sending and receiving.

A receive or send takes the `Watch` of the caller it is made for, and returns
how the wait ended. Broken connections raise `OSError` to the module that owns
the connection, which turns it into an outcome.
"""

from __future__ import annotations

import errno
import select
import socket
import struct
from datetime import timedelta
from typing import TYPE_CHECKING

from .keepalive import enable_keepalive
from .watch import Waited, Watch

if TYPE_CHECKING:
    from .model import Address

__all__ = [
    "FIRST_BYTES",
    "RECEIVE_BYTES",
    "is_quiet",
    "limit_receive",
    "open_connection",
    "open_listener",
    "send_all",
]

RECEIVE_BYTES = 64 * 1024
FIRST_BYTES = 16 * 1024  # held by each task that waits for a request
# Combined once: the operator of flags costs as much as a short send.
_SEND_FLAGS = int(socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL)
_PEEK_FLAGS = int(socket.MSG_PEEK | socket.MSG_DONTWAIT)
_BACKLOG = 1024  # openings that arrive while one task is held up


def open_connection(address: Address, timeout: timedelta) -> socket.socket:
    """Connect within `timeout`; raises OSError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        enable_keepalive(sock)
        sock.setblocking(False)
        failed = sock.connect_ex(address)
        if failed == errno.EINPROGRESS:
            failed = _await_connection(sock, timeout)
        if failed:
            raise OSError(failed, errno.errorcode.get(failed, "connect"))
    except OSError:
        sock.close()
        raise
    return sock


def _await_connection(sock: socket.socket, timeout: timedelta) -> int:
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLOUT)
    if not poll.poll(int(timeout.total_seconds() * 1000) + 1):
        return errno.ETIMEDOUT
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def open_listener(address: Address) -> socket.socket:
    """Listen on an address; raises OSError."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(_BACKLOG)
    return listener


def limit_receive(sock: socket.socket, longest: timedelta) -> None:
    """Have a plain `recv` raise BlockingIOError after some time."""
    microseconds = longest // timedelta(microseconds=1)
    value = struct.pack("ll", *divmod(microseconds, 1_000_000))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, value)


def is_quiet(sock: socket.socket) -> bool:
    """Return whether an idle connection is open and nothing has arrived on it."""
    try:
        sock.recv(1, _PEEK_FLAGS)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def send_all(
    sock: socket.socket, data: bytes, watch: Watch, until: timedelta
) -> tuple[Waited, int]:
    """Send bytes; return how it ended and how many were sent.

    A connection on which something arrives while it takes no more bytes ends
    the sending early: the other side has answered before reading all.
    """
    view = memoryview(data)
    sent = 0
    while sent < len(data):
        try:
            sent += sock.send(view[sent:], _SEND_FLAGS)
        except BlockingIOError:
            waited = watch.wait(sock.fileno(), until, write=True)
            if waited is not Waited.READY:
                return waited, sent
            if not is_quiet(sock):
                return Waited.READY, sent
    return Waited.READY, sent
