"""Platform client over HTTP; each request and response is one msgpack document.

`POST /table/get`, `/table/scan`, `/table/commit`, `/objects/get`,
`/objects/put` and `/objects/names` take the arguments as an array. The status
is 200 with the result, or 409 for a conflict. A refused connection has no
effect. After any other status, a broken connection or a timeout, the effect of a
write is unknown. This module is the only client of the protocol.
"""

from __future__ import annotations

import http.client
import threading
from collections.abc import Sequence
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import msgpack
from expression import Error, Ok, Result

from ..http_client import HTTPConnection
from ..kernel import hookimpl
from ..settings import split_address
from .interface import Failure, PlatformError, Row, Write

if TYPE_CHECKING:
    from ..clock import Clock
    from ..settings import PlatformSettings

__all__ = ["HttpPlatform"]

_FAILURE_BY_STATUS = {409: Failure.CONFLICT}
_MAX_CONCURRENT_CALLS = 16


class _HttpClient:
    """Sends a bounded number of concurrent requests, each on its own connection."""

    def __init__(self, address: tuple[str, int], timeout: timedelta) -> None:
        self._address = address
        self._timeout = timeout.total_seconds()
        self._slots = threading.BoundedSemaphore(_MAX_CONCURRENT_CALLS)

    def post(self, path: str, arguments: Any) -> Result[Any, PlatformError]:
        """Send one request; the slots bound the requests pending at a slow platform."""
        if not self._slots.acquire(timeout=self._timeout):
            return Error(PlatformError(Failure.UNAVAILABLE, "too many calls wait"))
        try:
            return self._exchange(path, msgpack.packb(arguments))
        finally:
            self._slots.release()

    def _exchange(self, path: str, body: bytes) -> Result[Any, PlatformError]:
        connection = HTTPConnection(*self._address, timeout=self._timeout)
        try:
            connection.connect()
        except OSError as error:
            return Error(PlatformError(Failure.UNAVAILABLE, str(error)))
        try:
            connection.request("POST", path, body)
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException) as error:
            return Error(PlatformError(Failure.UNKNOWN, str(error)))
        finally:
            connection.close()
        if response.status == 200:
            return _decode(data)
        failure = _FAILURE_BY_STATUS.get(response.status, Failure.UNKNOWN)
        return Error(PlatformError(failure, data[:200].decode(errors="replace")))


class _HttpTable:
    def __init__(self, client: _HttpClient) -> None:
        self._client = client

    def get(self, key: str) -> Result[Row | None, PlatformError]:
        """Return a row, or None when there is none."""
        result = self._client.post("/table/get", [key])
        return result.map(lambda row: Row(*row) if row else None)

    def scan(self, prefix: str, limit: int) -> Result[tuple[Row, ...], PlatformError]:
        """Return the first rows, by key, whose key starts with `prefix`."""
        result = self._client.post("/table/scan", [prefix, limit])
        return result.map(lambda rows: tuple(Row(*row) for row in rows))

    def commit(self, writes: Sequence[Write]) -> Result[None, PlatformError]:
        """Apply all writes, or none when any expected version differs."""
        return self._client.post("/table/commit", [_pack_write(w) for w in writes])


class _HttpObjects:
    def __init__(self, client: _HttpClient) -> None:
        self._client = client

    def get(self, name: str) -> Result[bytes | None, PlatformError]:
        """Return an object, or None when there is none."""
        return self._client.post("/objects/get", [name])

    def put(self, name: str, data: bytes) -> Result[None, PlatformError]:
        """Store an object atomically, replacing any of the same name."""
        return self._client.post("/objects/put", [name, data])

    def names(self, prefix: str) -> Result[tuple[str, ...], PlatformError]:
        """Return the names that start with `prefix`, sorted."""
        return self._client.post("/objects/names", [prefix]).map(tuple)


class HttpPlatform:
    """Table and object store of a platform that is reached over HTTP."""

    def __init__(self, address: tuple[str, int], timeout: timedelta) -> None:
        client = _HttpClient(address, timeout)
        self.table = _HttpTable(client)
        self.objects = _HttpObjects(client)


def _decode(data: bytes) -> Result[Any, PlatformError]:
    try:
        return Ok(msgpack.unpackb(data))
    except (msgpack.UnpackException, ValueError) as error:
        return Error(PlatformError(Failure.UNKNOWN, repr(error)))


def _pack_write(write: Write) -> tuple[str, bytes | None, int, int | None]:
    lifetime = write.lifetime
    seconds = None if lifetime is None else int(lifetime.total_seconds())
    return write.key, write.value, write.expected, seconds


@hookimpl
def cyclamenvane_open_platform(
    settings: PlatformSettings, clock: Clock
) -> HttpPlatform | None:
    """Return a platform over HTTP for the kind `http`, else None."""
    if settings.kind != "http":
        return None
    timeout = timedelta(milliseconds=settings.timeout_ms)
    return HttpPlatform(split_address(settings.address), timeout)
