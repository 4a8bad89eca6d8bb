"""HTTP listener of a node: several waitress loops on one socket.

A waitress loop checks each of its open connections on every iteration, so its
latency grows with their number. Here several loops share one listening socket
and one thread pool, and each loop handles a part of the connections.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from waitress.adjustments import Adjustments

from ..calls import CHUNK_BYTES
from .channel import KeepAliveSlots, PoolDispatcher, UploadServer

if TYPE_CHECKING:
    from concurrent.futures import Executor

__all__ = ["HttpListener"]

_BACKLOG = 1024
_POLL_TIMEOUT = timedelta(seconds=1)
_MAINTENANCE_INTERVAL = timedelta(seconds=5)
_IDLE_TIMEOUT = timedelta(seconds=120)
_MAX_HEADER_BYTES = 64 * 1024
# waitress writes larger bodies to temporary files, and the VMs have no disk.
_NO_DISK_BUFFER_BYTES = 1 << 40
_OUTPUT_WATERMARK_BYTES = 4 * CHUNK_BYTES


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
        self._keep_alive_slots = KeepAliveSlots(max(1, threads // 2))
        self._stopped = False
        adjustments = _make_adjustments(max(1, connections // loops))
        self._servers = [
            self._make_server(application, adjustments) for _ in range(loops)
        ]

    def start(self, executor: Executor) -> None:
        """Start each loop in a separate task."""
        for server in self._servers:
            executor.submit(self._run_loop, server)

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
            keep_alive_slots=self._keep_alive_slots,
        )
        return server

    def _run_loop(self, server: UploadServer) -> None:
        asyncore = server.asyncore
        while not self._stopped:
            asyncore.poll2(_POLL_TIMEOUT.total_seconds(), server._map)
        self._socket.close()
        server.end()


def _make_adjustments(connections: int) -> Adjustments:
    return Adjustments(
        ident=None,
        asyncore_use_poll=True,
        connection_limit=connections,
        channel_request_lookahead=1,
        channel_timeout=int(_IDLE_TIMEOUT.total_seconds()),
        cleanup_interval=int(_MAINTENANCE_INTERVAL.total_seconds()),
        recv_bytes=CHUNK_BYTES,
        max_request_header_size=_MAX_HEADER_BYTES,
        max_request_body_size=_NO_DISK_BUFFER_BYTES,
        inbuf_overflow=_NO_DISK_BUFFER_BYTES,
        outbuf_overflow=_NO_DISK_BUFFER_BYTES,
        outbuf_high_watermark=_OUTPUT_WATERMARK_BYTES,
        clear_untrusted_proxy_headers=True,
        expose_tracebacks=False,
    )
