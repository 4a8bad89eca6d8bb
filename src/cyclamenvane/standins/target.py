"""Target that serves HTTP with a given number of slots and a given delay.

It counts the requests it runs, so that tests and benchmarks can check which took
effect. Requests beyond `slots` wait; those beyond `connections` are rejected with
status 503. `delay_s` may be changed while it runs. `/echo/...` returns its own path
and the request body, `/bytes/N` returns N bytes, any other path a short text. If
`call_next` is set, each request makes a nested call by passing its headers to it.
"""

from __future__ import annotations

import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from ..calls import CONTEXT_HEADER, decode_unverified

__all__ = ["ROOT_HEADER", "Served", "TargetStandIn"]

_CHUNK = 64 * 1024
ROOT_HEADER = "x-root"
Served = tuple[int, bytes]
Headers = dict[str, str]


class TargetStandIn:
    """A target that listens on the loopback interface by default."""

    def __init__(
        self,
        slots: int = 16,
        delay_s: float = 0.0,
        call_next: Callable[[Headers], Served] | None = None,
        connections: int = 1000,
        host: str = "127.0.0.1",
    ) -> None:
        self.slots = slots
        self.connections = connections
        self.delay_s = delay_s
        self.call_next = call_next
        self.runs: Counter[str] = Counter()
        self.busy_s = 0.0
        self.busy_by_root: Counter[str] = Counter()
        self.runs_by_root: Counter[str] = Counter()
        self.received = 0
        self.rejected = 0
        self._open_requests = 0
        self._slots = threading.BoundedSemaphore(slots)
        self._lock = threading.Lock()
        self._server = _Server((host, 0), _make_handler(self))
        self.address = f"{host}:{self._server.server_address[1]}"
        self._thread = threading.Thread(target=self._server.serve_forever, daemon=True)

    def start(self) -> TargetStandIn:
        """Start serving."""
        self._thread.start()
        return self

    def stop(self) -> None:
        """Stop serving and close the listening socket."""
        self._server.shutdown()
        self._server.server_close()

    def serve(self, path: str, body: Iterable[bytes], headers: Headers) -> Served:
        """Run one request and return its status and body."""
        if not self._admit():
            return 503, b"no connection left\n"
        self._slots.acquire()
        started = time.monotonic()
        try:
            return self._run(path, body, headers)
        finally:
            self._slots.release()
            self._finish(headers, time.monotonic() - started)

    def _admit(self) -> bool:
        with self._lock:
            if self._open_requests >= self.connections:
                self.rejected += 1
                return False
            self._open_requests += 1
            return True

    def _finish(self, headers: Headers, duration_s: float) -> None:
        context = decode_unverified(headers.get(CONTEXT_HEADER.lower(), ""))
        root = context.root if context else headers.get(ROOT_HEADER, "")
        with self._lock:
            self._open_requests -= 1
            self.busy_s += duration_s
            if root:
                self.busy_by_root[root] += duration_s
                self.runs_by_root[root] += 1

    def _run(self, path: str, body: Iterable[bytes], headers: Headers) -> Served:
        request_body = b"".join(self._drop_large_chunks(body))
        with self._lock:
            self.runs[path] += 1
        if self.delay_s:
            time.sleep(self.delay_s)
        if self.call_next is not None:
            status, response_body = self.call_next(headers)
            if status >= 400:
                return 502, response_body
        if path.startswith("/echo/"):
            return 200, path.encode() + b"\n" + request_body
        if path.startswith("/bytes/"):
            return 200, b"x" * int(path.rpartition("/")[2])
        return 200, b"ok\n"

    def _drop_large_chunks(self, body: Iterable[bytes]) -> Iterable[bytes]:
        for chunk in body:
            self.received += len(chunk)
            if len(chunk) < _CHUNK:
                yield chunk


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512


def _make_handler(target: TargetStandIn) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        wbufsize = _CHUNK

        def setup(self) -> None:
            super().setup()
            self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

        def do_GET(self) -> None:
            self._serve()

        def do_POST(self) -> None:
            self._serve()

        def do_PUT(self) -> None:
            self._serve()

        def log_message(self, format: str, *arguments: Any) -> None:
            pass

        def _serve(self) -> None:
            headers = {name.lower(): value for name, value in self.headers.items()}
            status, response_body = target.serve(self.path, self._read_body(), headers)
            self.send_response(status)
            self.send_header("Content-Length", str(len(response_body)))
            self.end_headers()
            self.wfile.write(response_body)
            self.wfile.flush()

        def _read_body(self) -> Iterable[bytes]:
            remaining = int(self.headers.get("Content-Length", "0"))
            while remaining:
                chunk = self.rfile.read(min(remaining, _CHUNK))
                if not chunk:
                    return
                remaining -= len(chunk)
                yield chunk

    return Handler
