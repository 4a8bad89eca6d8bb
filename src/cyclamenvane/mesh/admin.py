"""The small HTTP services of a node: readiness, heartbeats and metrics.

They are WSGI applications, served by waitress. What the paths are and how a
heartbeat is written is up to the adapter, which passes a `AdminDialect`.
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

if TYPE_CHECKING:
    from .metric import Metrics
    from .model import Address, Heartbeat
    from .registration import Registration

__all__ = ["AdminApplication", "AdminDialect", "AdminServer"]

_THREADS = 2  # a heartbeat and a question for readiness at the same time
_LARGEST_HEARTBEAT = 64 * 1024
_LOOP_S = 1.0  # how late the end is noticed while nothing arrives


@dataclass(frozen=True, slots=True)
class AdminDialect:
    """How a platform writes what it sends to a node's small services."""

    readiness_path: str
    heartbeat_prefix: str
    metrics_path: str
    metrics_port: int
    decode_heartbeat: Callable[[str, bytes], Result[Heartbeat, str]]


class AdminApplication:
    """The WSGI application."""

    def __init__(
        self,
        dialect: AdminDialect,
        registration: Registration,
        is_ready: Callable[[], bool],
        metrics: Metrics,
        refresh: Callable[[], None],
    ) -> None:
        self._dialect = dialect
        self._registration = registration
        self._is_ready = is_ready
        self._metrics = metrics
        self._refresh = refresh

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        """Answer one request."""
        status, body = self._answer(environ)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start_response(status, headers)
        return [body]

    def _answer(self, environ: dict[str, Any]) -> tuple[str, bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        dialect = self._dialect
        if path == dialect.readiness_path:
            ready = self._is_ready()
            return ("200 OK" if ready else "503 Service Unavailable"), b"{}"
        if path == dialect.metrics_path:
            self._refresh()
            return "200 OK", generate_latest(self._metrics.registry)
        if path.startswith(dialect.heartbeat_prefix):
            instance = path[len(dialect.heartbeat_prefix) :]
            if method == "PUT":
                return self._take_heartbeat(instance, environ)
            if method == "DELETE":
                known = self._registration.note_end(instance)
                eliot.log_message("target:ended", instance=instance, known=known)
                return "200 OK", b"{}"
        return "404 Not Found", b"{}"

    def _take_heartbeat(
        self, instance: str, environ: dict[str, Any]
    ) -> tuple[str, bytes]:
        body = environ["wsgi.input"].read(_LARGEST_HEARTBEAT)
        decoded = self._dialect.decode_heartbeat(instance, body)
        if decoded.is_error():
            eliot.log_message(
                "target:heartbeat_invalid", instance=instance, error=decoded.error
            )
            return "400 Bad Request", b"{}"
        verdict = self._registration.note_heartbeat(decoded.ok)
        if not verdict.taken:
            eliot.log_message(
                "target:heartbeat_ignored", instance=instance, reason=verdict.detail
            )
        return "200 OK", b"{}"


class AdminServer:
    """Serves the application; raises OSError when an address is taken."""

    def __init__(
        self, application: AdminApplication, addresses: Iterable[Address]
    ) -> None:
        listen = " ".join(f"{host}:{port}" for host, port in addresses)
        self._sockets: dict[int, Any] = {}
        self._server = waitress.create_server(
            application, map=self._sockets, listen=listen, threads=_THREADS, ident=None
        )
        self._ended = threading.Event()

    def run(self) -> None:
        """Serve until `close`."""
        while not self._ended.is_set():
            wasyncore.loop(_LOOP_S, use_poll=True, map=self._sockets, count=1)
        self._server.task_dispatcher.shutdown()
        wasyncore.close_all(self._sockets)

    def close(self) -> None:
        """End the serving task."""
        self._ended.set()
