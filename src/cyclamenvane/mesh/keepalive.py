"""TCP keepalive options that detect unresponsive peers."""

from __future__ import annotations

import socket
from datetime import timedelta

__all__ = ["enable_keepalive"]

# Two unanswered probes after one idle second detect an unresponsive peer within
# three seconds, before most callers' deadlines.
_IDLE_S = 1
_INTERVAL_S = 1
_PROBES = 2
_USER_TIMEOUT = timedelta(seconds=2)  # allows for the retransmission of one lost packet


def enable_keepalive(sock: socket.socket) -> None:
    """Make idle reads fail after about 3 s, unacknowledged writes after 2 s."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES)
    milliseconds = int(_USER_TIMEOUT.total_seconds() * 1000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
