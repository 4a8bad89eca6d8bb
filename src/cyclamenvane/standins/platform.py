"""In-memory platform served over HTTP, which can inject a real platform's faults.

`down` fails every call with status 500, `delay_s` delays every response by that many
seconds, and the next `lose_responses` writes are applied but respond with status 500.
"""

from __future__ import annotations

import time
from collections.abc import Iterable
from datetime import timedelta
from http import HTTPStatus
from typing import Any

import msgpack
from waitress.server import create_server

from ..clock import SystemClock
from ..store import Failure, MemoryPlatform, PlatformError, Row, Write

__all__ = ["PlatformStandIn"]

_THREADS = 16


class PlatformStandIn:
    """A platform that listens on the loopback interface by default."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self.platform = MemoryPlatform(SystemClock())
        self.down = False
        self.delay_s = 0.0
        self.lose_responses = 0
        self._server = create_server(
            self._serve,
            host=host,
            port=port,
            threads=_THREADS,
            ident=None,
            asyncore_use_poll=True,
        )
        self.address = f"{host}:{self._server.effective_port}"

    def run(self) -> None:
        """Serve until `stop` is called from another thread."""
        try:
            self._server.run()
        except OSError:
            return

    def stop(self) -> None:
        """Stop serving."""
        self._server.close()

    def _serve(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        if self.delay_s:
            time.sleep(self.delay_s)
        if self.down:
            return _reply(start_response, 500, b"down")
        arguments = msgpack.unpackb(environ["wsgi.input"].read())
        result = self._apply(environ["PATH_INFO"], arguments)
        if self.lose_responses and environ["PATH_INFO"] == "/table/commit":
            self.lose_responses -= 1
            return _reply(start_response, 500, b"lost")
        if result.is_ok():
            return _reply(start_response, 200, msgpack.packb(_pack(result.ok)))
        error: PlatformError = result.error
        status = 409 if error.failure is Failure.CONFLICT else 500
        return _reply(start_response, status, error.detail.encode())

    def _apply(self, path: str, arguments: list[Any]) -> Any:
        table, objects = self.platform.table, self.platform.objects
        if path == "/table/commit":
            return table.commit([_unpack_write(fields) for fields in arguments])
        operations = {
            "/table/get": table.get,
            "/table/scan": table.scan,
            "/objects/get": objects.get,
            "/objects/put": objects.put,
            "/objects/names": objects.names,
        }
        return operations[path](*arguments)


def _pack(value: Any) -> Any:
    if isinstance(value, Row):
        return (value.key, value.value, value.version)
    if isinstance(value, tuple):
        return [_pack(each) for each in value]
    return value


def _unpack_write(fields: list[Any]) -> Write:
    key, value, expected, seconds = fields
    lifetime = None if seconds is None else timedelta(seconds=seconds)
    return Write(key, value, expected, lifetime)


def _reply(start_response: Any, status: int, body: bytes) -> Iterable[bytes]:
    headers = [("Content-Length", str(len(body)))]
    start_response(f"{status} {HTTPStatus(status).phrase}", headers)
    return [body]
