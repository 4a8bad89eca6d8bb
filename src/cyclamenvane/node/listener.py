"""The HTTP listener of a node: waitress, with several loops on one socket.

One waitress loop looks at every open connection on each turn, so its delay grows
with the connections. Here some loops share one listening socket and one pool of
threads, and each looks after its own part of the connections.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from waitress.adjustments import Adjustments

from ..calls import CHUNK_BYTES
from .channel import LingerBudget, PoolDispatcher, UploadServer

if TYPE_CHECKING:
    from concurrent.futures import Executor

__all__ = ["HttpListener"]

_BACKLOG = 1024
_POLL = timedelta(seconds=1)
_MAINTENANCE = timedelta(seconds=5)
_IDLE_CONNECTION = timedelta(seconds=120)
_MOST_HEADER_BYTES = 64 * 1024
_NEVER_TO_DISK = 1 << 40
_OUTPUT_WATERMARK = 4 * CHUNK_BYTES


class HttpListener:
    """Serves a WSGI application on one address."""

    def __init__(
        self,
        application: Callable[..., Any],
        address: tuple[str, int],
        loops: int,
        threads: int,
        connections: int,
    ) -> None:
        self._socket = socket.create_server(address, backlog=_BACKLOG)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.address = self._socket.getsockname()[:2]
        self._pool = ThreadPoolExecutor(threads, thread_name_prefix="http")
        self._dispatcher = PoolDispatcher(self._pool)
        self._linger = LingerBudget(max(1, threads // 2))
        self._stopped = False
        adjustments = _adjust(max(1, connections // loops))
        self._servers = [
            self._make_server(application, adjustments) for _ in range(loops)
        ]

    def start(self, executor: Executor) -> None:
        """Start each loop in a task of its own."""
        for server in self._servers:
            executor.submit(self._loop, server)

    def stop(self) -> None:
        """Stop the loops and close every connection."""
        if self._stopped:
            return
        self._stopped = True
        for server in self._servers:
            server.pull_trigger()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _make_server(
        self, application: Callable[..., Any], adjustments: Adjustments
    ) -> UploadServer:
        sock = self._socket.dup()
        info = (sock.family, sock.type, sock.proto, sock.getsockname())
        server = UploadServer(
            application,
            {},
            True,
            sock,
            dispatcher=self._dispatcher,
            adj=adjustments,
            bind_socket=False,
            sockinfo=info,
            linger=self._linger,
        )
        return server

    def _loop(self, server: UploadServer) -> None:
        asyncore = server.asyncore
        while not self._stopped:
            asyncore.poll2(_POLL.total_seconds(), server._map)
        self._socket.close()
        server.end()


def _adjust(connections: int) -> Adjustments:
    return Adjustments(
        ident=None,
        asyncore_use_poll=True,
        connection_limit=connections,
        channel_request_lookahead=1,
        channel_timeout=int(_IDLE_CONNECTION.total_seconds()),
        cleanup_interval=int(_MAINTENANCE.total_seconds()),
        recv_bytes=CHUNK_BYTES,
        max_request_header_size=_MOST_HEADER_BYTES,
        max_request_body_size=_NEVER_TO_DISK,
        inbuf_overflow=_NEVER_TO_DISK,
        outbuf_overflow=_NEVER_TO_DISK,
        outbuf_high_watermark=_OUTPUT_WATERMARK,
        clear_untrusted_proxy_headers=True,
        expose_tracebacks=False,
    )
