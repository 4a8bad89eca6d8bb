"""Test double for a target: a threaded HTTP server with scripted faults."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from cyclamenvane.mesh.heads import find_header
from cyclamenvane.mesh.message import RequestReader
from cyclamenvane.mesh.model import CallerLimits


@dataclass
class TargetStandIn:
    """Fake target on a loopback address.

    `script` replaces the handling of requests: it is called with the connection and
    the request, and returns the bytes to send, or None to close the connection.
    `delay` is in seconds. `header_lines` are added to each response, each of them with
    its line end.
    """

    instance: str = "i-1"
    host: str = "127.0.0.1"
    script: Callable | None = None
    delay: float = 0.0
    header_lines: bytes = b""
    executed: list = field(default_factory=list)
    executed_at: list[float] = field(default_factory=list)
    aborted: list = field(default_factory=list)
    active: int = 0
    peak: int = 0

    def __post_init__(self) -> None:
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._listen((self.host, 0))

    def _listen(self, address: tuple[str, int]) -> None:
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(address)
        self._listener.listen(256)
        self.address = self._listener.getsockname()
        threading.Thread(
            target=self._accept, args=(self._listener,), daemon=True
        ).start()

    def close(self) -> None:
        self._listener.close()

    def crash(self) -> bool:
        """End the target: nothing listens, and its connections are closed.

        Return False if it has ended already.
        """
        with self._lock:
            if self._listener.fileno() < 0:
                return False
            # A closed socket would stay open while `accept` waits for it.
            self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()
            connections, self._connections = self._connections, set()
        for sock in connections:
            with suppress(OSError):  # closed by the node
                sock.shutdown(socket.SHUT_RDWR)
        return True

    def start_again(self, instance: str) -> None:
        """Listen at the same address as another incarnation."""
        self.instance = instance
        self._listen(self.address)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            with self._lock:
                self._connections.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        # Nodes add headers of their own to those that callers may send.
        reader = RequestReader(CallerLimits(header_bytes=64 * 1024))
        with sock:
            while True:
                try:
                    data = sock.recv(65536)
                except OSError:
                    return
                if not data:
                    return
                reader.feed(data)
                while reader.complete_requests:
                    if not self._respond(sock, reader.complete_requests.popleft()):
                        return

    def _respond(self, sock: socket.socket, request) -> bool:
        if self.script is not None:
            response = self.script(sock, request)
        else:
            response = self.execute(sock, request)
        try:
            if response:
                sock.sendall(response)
        except OSError:
            return False
        return response is not None

    def execute(
        self, sock: socket.socket, request, body: bytes = b"whole"
    ) -> bytes | None:
        """Execute a request as a correct target does; return the response.

        Return None if the client disconnects before `delay` has passed.
        """
        expected_instance = find_header(request.headers, b"x-expected-instance")
        if expected_instance != self.instance.encode():
            return make_response(request, b"", b"421 Misdirected Request")
        with self._lock:
            self.executed.append(request)
            self.executed_at.append(time.monotonic())
            self.active += 1
            self.peak = max(self.peak, self.active)
        deadline = time.monotonic() + self.delay
        try:
            while time.monotonic() < deadline:
                if self._is_disconnected(sock):
                    self.aborted.append(request)
                    return None
                time.sleep(0.005)
        finally:
            with self._lock:
                self.active -= 1
        return make_response(request, body, header_lines=self.header_lines)

    def _is_disconnected(self, sock: socket.socket) -> bool:
        try:
            return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True


def make_response(
    request, body: bytes, status: bytes = b"200 OK", header_lines: bytes = b""
) -> bytes:
    """Return a signed response that carries the attempt header of the request."""
    attempt = find_header(request.headers, b"x-attempt-id") or b""
    return (
        b"HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nX-Upstream-Signature: s-%s\r\n"
        b"%sContent-Length: %d\r\n\r\n%s"
        % (status, attempt, attempt, header_lines, len(body), body)
    )
