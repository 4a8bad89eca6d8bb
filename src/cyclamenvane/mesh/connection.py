"""TCP sockets with bounded waits: connecting, listening, sending and receiving.

Sending takes the `Watch` of the caller on whose behalf the data is sent, and returns
how the wait ended. Connection errors raise `OSError`; the module that owns the
connection maps it to an outcome.
"""

from __future__ import annotations

import errno
import select
import socket
import struct
from datetime import timedelta
from typing import TYPE_CHECKING

from .keepalive import enable_keepalive
from .watch import WaitResult, Watch

if TYPE_CHECKING:
    from ..clock import Clock
    from .memory import Reservation
    from .model import Address

__all__ = [
    "DONT_WAIT",
    "INITIAL_RECEIVE_BYTES",
    "RECEIVE_BYTES",
    "UNREAD_BYTES",
    "discard_available",
    "discard_until_end",
    "has_data",
    "is_idle",
    "open_connection",
    "open_listener",
    "send_all",
    "send_rest",
    "send_to_caller",
    "set_receive_timeout",
    "shut_down",
]

RECEIVE_BYTES = 64 * 1024
INITIAL_RECEIVE_BYTES = 16 * 1024  # allocated by each task that waits for a request
# Combined once: combining enum flags costs as much as a short send.
_SEND_FLAGS = int(socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL)
_PEEK_FLAGS = int(socket.MSG_PEEK | socket.MSG_DONTWAIT)
DONT_WAIT = int(socket.MSG_DONTWAIT)
_MILLISECOND = timedelta(milliseconds=1)
# Of the kernel, for what a caller has sent and is not read, and for a response that it
# does not read. With less than a segment of 64 KB, sending waits for each one.
_KERNEL_RECEIVE_BYTES, _KERNEL_SEND_BYTES = 32 * 1024, 96 * 1024
# The kernel takes twice as much, and a segment beyond it.
UNREAD_BYTES = 4 * _KERNEL_RECEIVE_BYTES
_BACKLOG = 1024  # connections that may arrive while no task accepts


def open_connection(address: Address, timeout: timedelta) -> socket.socket:
    """Connect within `timeout`; raise OSError on failure."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        enable_keepalive(sock)
        sock.setblocking(False)
        error_code = sock.connect_ex(address)
        if error_code == errno.EINPROGRESS:
            error_code = _wait_connected(sock, timeout)
        if error_code:
            raise OSError(error_code, errno.errorcode.get(error_code, "connect"))
    except OSError:
        sock.close()
        raise
    return sock


def _wait_connected(sock: socket.socket, timeout: timedelta) -> int:
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLOUT)
    if not poll.poll(int(timeout.total_seconds() * 1000) + 1):
        return errno.ETIMEDOUT
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def open_listener(address: Address, limits_buffers: bool = False) -> socket.socket:
    """Return a socket listening on an address; raise OSError on failure.

    With `limits_buffers`, the kernel holds little for each connection.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if limits_buffers:
        _limit_buffers(listener)
    listener.bind(address)
    listener.listen(_BACKLOG)
    return listener


def _limit_buffers(listener: socket.socket) -> None:
    # Connections inherit them. By themselves they grow as far as the machine allows.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _KERNEL_RECEIVE_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _KERNEL_SEND_BYTES)


def set_receive_timeout(sock: socket.socket, timeout: timedelta) -> None:
    """Make blocking receives raise BlockingIOError after `timeout`."""
    microseconds = timeout // timedelta(microseconds=1)
    value = struct.pack("ll", *divmod(microseconds, 1_000_000))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, value)


def is_idle(sock: socket.socket) -> bool:
    """Return whether a connection is open and has no data to read."""
    try:
        sock.recv(1, _PEEK_FLAGS)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def has_data(sock: socket.socket) -> bool:
    """Return whether there is data to read, or the end of the connection.

    Raise OSError if the connection has failed, as an error is reported only once.
    """
    try:
        sock.recv(1, _PEEK_FLAGS)
    except BlockingIOError:
        return False
    return True


def send_all(
    sock: socket.socket, data: bytes, watch: Watch, until: timedelta
) -> tuple[WaitResult, int]:
    """Send data; return how sending ended and the number of bytes sent.

    Sending stops early with READY if data arrives while the send buffer is full:
    the peer has responded before reading all of it.
    """
    sent = 0
    while sent < len(data):
        try:
            sent += send_rest(sock, data, sent)
        except BlockingIOError:
            wait_result = watch.wait(sock.fileno(), until, write=True)
            if wait_result is not WaitResult.READY:
                return wait_result, sent
            if not is_idle(sock):
                return WaitResult.READY, sent
    return WaitResult.READY, sent


def send_to_caller(
    sock: socket.socket,
    data: bytes,
    watch: Watch,
    until: timedelta,
    max_stall: timedelta,
    reservation: Reservation | None = None,
) -> None:
    """Send a response whole; raise OSError if the connection fails or time runs out.

    The caller may read nothing for `max_stall`. Requests that it sends meanwhile stay
    unread.
    """
    sent = 0
    while sent < len(data):
        try:
            sent += send_rest(sock, data, sent)
            if reservation is not None:
                reservation.record_progress(sent)
        except BlockingIOError:
            if not watch.wait_caller_writable(until, max_stall):
                # What follows would be read as the rest of this response.
                raise TimeoutError("the caller reads too slowly") from None


def discard_until_end(sock: socket.socket, clock: Clock, until: timedelta) -> None:
    """End sending, and discard what the peer sends until it closes the connection.

    If a connection is closed with unread data, the kernel resets it and drops what it
    has not sent yet. Return at `until` at the latest, in monotonic time.
    """
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    try:
        sock.shutdown(socket.SHUT_WR)
        while (left := until - clock.monotonic()) > timedelta():
            if poll.poll(left // _MILLISECOND + 1):
                if not sock.recv(RECEIVE_BYTES, DONT_WAIT):
                    return
    except OSError:
        # The peer has reset the connection, so nothing more can be delivered.
        return


def discard_available(sock: socket.socket) -> bool:
    """Discard what has arrived; return False at the end of the connection."""
    try:
        while sock.recv(RECEIVE_BYTES, DONT_WAIT):
            pass
        return False
    except BlockingIOError:
        return True


def shut_down(sock: socket.socket, how: int = socket.SHUT_RDWR) -> None:
    """Shut down a connection, which wakes the task that waits for it."""
    try:
        sock.shutdown(how)
    except OSError:
        # The connection has been closed.
        return


def send_rest(sock: socket.socket, data: bytes, sent: int) -> int:
    """Send what the socket takes of the data after the first `sent` bytes.

    Return how many bytes it took; raise BlockingIOError if it takes none.
    """
    # A view costs about as much as copying a small frame, and nearly all data is sent
    # at once.
    return sock.send(memoryview(data)[sent:] if sent else data, _SEND_FLAGS)
