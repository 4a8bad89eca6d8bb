"""A target that serves HTTP with a given number of slots and a given delay.

It counts what it runs, so a test or bench can tell what took effect. Requests
beyond its slots wait, those beyond its connections are shed with status 503.
`delay_s` may be changed while it runs. A path `/echo/...` answers its own path
and body, `/bytes/N` answers N bytes, anything else a short text. With `call_next`
each request makes a further call, for which it is given the request's headers.
"""

from __future__ import annotations

import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from ..calls import CONTEXT_HEADER, read_context

__all__ = ["ROOT_HEADER", "Served", "TargetStandIn"]

_CHUNK = 64 * 1024
ROOT_HEADER = "x-root"
Served = tuple[int, bytes]
Headers = dict[str, str]


class TargetStandIn:
    """A running target on loopback."""

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
        self.shed = 0
        self._inside = 0
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
        if not self._enter():
            return 503, b"no connection left\n"
        self._slots.acquire()
        began = time.monotonic()
        try:
            return self._run(path, body, headers)
        finally:
            self._slots.release()
            self._leave(headers, time.monotonic() - began)

    def _enter(self) -> bool:
        with self._lock:
            if self._inside >= self.connections:
                self.shed += 1
                return False
            self._inside += 1
            return True

    def _leave(self, headers: Headers, took: float) -> None:
        context = read_context(headers.get(CONTEXT_HEADER.lower(), ""))
        root = context.root if context else headers.get(ROOT_HEADER, "")
        with self._lock:
            self._inside -= 1
            self.busy_s += took
            if root:
                self.busy_by_root[root] += took
                self.runs_by_root[root] += 1

    def _run(self, path: str, body: Iterable[bytes], headers: Headers) -> Served:
        sent = b"".join(self._keep_small(body))
        with self._lock:
            self.runs[path] += 1
        if self.delay_s:
            time.sleep(self.delay_s)
        if self.call_next is not None:
            status, answer = self.call_next(headers)
            if status >= 400:
                return 502, answer
        if path.startswith("/echo/"):
            return 200, path.encode() + b"\n" + sent
        if path.startswith("/bytes/"):
            return 200, b"x" * int(path.rpartition("/")[2])
        return 200, b"ok\n"

    def _keep_small(self, body: Iterable[bytes]) -> Iterable[bytes]:
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
            status, answer = target.serve(self.path, self._body(), headers)
            self.send_response(status)
            self.send_header("Content-Length", str(len(answer)))
            self.end_headers()
            self.wfile.write(answer)
            self.wfile.flush()

        def _body(self) -> Iterable[bytes]:
            missing = int(self.headers.get("Content-Length", "0"))
            while missing:
                chunk = self.rfile.read(min(missing, _CHUNK))
                if not chunk:
                    return
                missing -= len(chunk)
                yield chunk

    return Handler
