"""The HTTP endpoints of a node for readiness, heartbeats and metrics.

They are one WSGI application, served by waitress. The adapter defines the paths
and the format of a heartbeat in an `AdminProtocol`.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import eliot
import waitress
from expression import Result
from prometheus_client import generate_latest
from waitress import wasyncore

from .acknowledgement import MAX_WAITING

if TYPE_CHECKING:
    from .acknowledgement import TargetAcknowledger
    from .metric import Metrics
    from .model import Address, Heartbeat

__all__ = ["AdminApplication", "AdminProtocol", "AdminServer"]

# A heartbeat and a readiness probe at the same time, beside requests that wait.
_THREADS = 2 + MAX_WAITING
_ACKNOWLEDGED = "200 OK"
_UNACKNOWLEDGED = "503 Service Unavailable"
_MAX_HEAD_BYTES = 16 * 1024
_MAX_HEARTBEAT_BYTES = 64 * 1024
_POLL_INTERVAL_S = 1.0  # `run` returns at most this long after `close`


@dataclass(frozen=True, slots=True)
class AdminProtocol:
    """The paths and the heartbeat format of a platform's admin requests."""

    readiness_path: str
    heartbeat_prefix: str
    metrics_path: str
    metrics_port: int
    decode_heartbeat: Callable[[str, bytes], Result[Heartbeat, str]]


class AdminApplication:
    """The WSGI application of a node."""

    def __init__(
        self,
        protocol: AdminProtocol,
        acknowledger: TargetAcknowledger,
        is_ready: Callable[[], bool],
        metrics: Metrics,
        refresh_metrics: Callable[[], None],
    ) -> None:
        self._protocol = protocol
        self._acknowledger = acknowledger
        self._is_ready = is_ready
        self._metrics = metrics
        self._refresh_metrics = refresh_metrics

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        """Respond to one request."""
        status, body = self._handle_request(environ)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start_response(status, headers)
        return [body]

    def _handle_request(self, environ: dict[str, Any]) -> tuple[str, bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        protocol = self._protocol
        if path == protocol.readiness_path:
            ready = self._is_ready()
            return ("200 OK" if ready else "503 Service Unavailable"), b"{}"
        if path == protocol.metrics_path:
            self._refresh_metrics()
            return "200 OK", generate_latest(self._metrics.registry)
        if path.startswith(protocol.heartbeat_prefix):
            instance = path[len(protocol.heartbeat_prefix) :]
            if method == "PUT":
                return self._handle_heartbeat(instance, environ)
            if method == "DELETE":
                acknowledged = self._acknowledger.handle_deregistration(instance)
                return (_ACKNOWLEDGED if acknowledged else _UNACKNOWLEDGED), b"{}"
        return "404 Not Found", b"{}"

    def _handle_heartbeat(
        self, instance: str, environ: dict[str, Any]
    ) -> tuple[str, bytes]:
        body = environ["wsgi.input"].read(_MAX_HEARTBEAT_BYTES)
        decoded = self._protocol.decode_heartbeat(instance, body)
        if decoded.is_error():
            eliot.log_message(
                "target:heartbeat_invalid", instance=instance, error=decoded.error
            )
            return "400 Bad Request", b"{}"
        acknowledged = self._acknowledger.handle_heartbeat(decoded.ok)
        return (_ACKNOWLEDGED if acknowledged else _UNACKNOWLEDGED), b"{}"


class AdminServer:
    """Serves the application; raises OSError when an address is in use."""

    def __init__(
        self, application: AdminApplication, addresses: Iterable[Address]
    ) -> None:
        listen = " ".join(f"{host}:{port}" for host, port in addresses)
        self._sockets: dict[int, Any] = {}
        self._server = waitress.create_server(
            application,
            map=self._sockets,
            listen=listen,
            threads=_THREADS,
            ident=None,
            max_request_header_size=_MAX_HEAD_BYTES,
            max_request_body_size=_MAX_HEARTBEAT_BYTES,
        )
        self._closed = threading.Event()

    def run(self) -> None:
        """Serve until `close`."""
        while not self._closed.is_set():
            wasyncore.loop(_POLL_INTERVAL_S, use_poll=True, map=self._sockets, count=1)
        self._server.task_dispatcher.shutdown()
        wasyncore.close_all(self._sockets)

    def close(self) -> None:
        """Stop serving."""
        self._closed.set()
