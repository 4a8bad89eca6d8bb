"""Client of the platform's row store, over HTTP with JSON bodies.

A `RowsClient` is used by one task. Each call has a connection of its own: a response
names no request, so on a kept connection one that is written twice would count as that
to the next call. A call whose connection fails after the request was sent has an
unknown outcome: the store may still apply it later, so writes carry the version that
the row is expected to have.
"""

from __future__ import annotations

import base64
import http.client
import socket
import threading
from collections.abc import Sequence
from contextlib import suppress
from datetime import timedelta
from typing import Any
from urllib.parse import urlencode

import eliot
import orjson
from expression import Error, Ok, Result

from ..http_client import HTTPConnection
from ..mesh.keepalive import enable_keepalive
from ..mesh.model import Address
from ..mesh.rows import (
    RowChange,
    RowsError,
    RowsFailure,
    RowsPage,
    RowWrite,
    StoredRow,
    StoreVersion,
)

__all__ = ["RowsClient"]

_PAGE_ROWS = 500  # the store returns at most this many rows per response
_EPOCH_HEADER = "Store-Era"
_MAX_RESPONSE_BYTES = 16 * 1024 * 1024  # a page of rows has about 1 MB
_FAILURE_BY_STATUS = {
    410: RowsFailure.HISTORY_GONE,
    412: RowsFailure.CONFLICT,
    429: RowsFailure.UNAVAILABLE,
    503: RowsFailure.UNAVAILABLE,
}
_CONNECTION_ERRORS = (OSError, http.client.HTTPException)


class RowsClient:
    """Reads, watches and writes rows."""

    def __init__(self, address: Address, timeout: timedelta) -> None:
        self._address = address
        self._timeout = timeout.total_seconds()
        self._connection: HTTPConnection | None = None  # of the call in progress
        self._used = self._interrupted = False
        self._lock = threading.Lock()
        self._epoch = 0  # of the last response

    def read(self, table: str, part: str) -> Result[RowsPage, RowsError]:
        """Return all rows of a part, at the returned version or a newer one."""
        rows: list[StoredRow] = []
        start, version = "", None
        while True:
            query = {"table": table, "part": part, "limit": _PAGE_ROWS}
            if start:
                query["rangeStart"] = start
            result = self._call("GET", "/api/rows-get", query)
            if result.is_error():
                return Error(result.error)
            page = self._decode_page(result.ok)
            if page.is_error():
                return Error(page.error)
            rows += [change.row for change in page.ok.changes if change.row]
            # Watching from the first page's version misses no change to later pages.
            version = version or page.ok.version
            if page.ok.version.epoch != version.epoch:
                detail = "restored between two pages"
                return Error(RowsError(RowsFailure.HISTORY_GONE, detail, self._epoch))
            if not result.ok.get("hasMore") or not page.ok.changes:
                break
            start = page.ok.changes[-1].key + "\0"
        changes = tuple(RowChange(row.part, row.key, row, row.version) for row in rows)
        return Ok(RowsPage(changes, version))

    def watch(
        self, table: str, after: StoreVersion, wait: timedelta
    ) -> Result[RowsPage, RowsError]:
        """Wait up to `wait` for changes to a table newer than version `after`."""
        milliseconds = int(wait.total_seconds() * 1000)
        query = {"table": table, "after": after.number, "waitMs": milliseconds}
        result = self._call("GET", "/api/rows-feed", query, wait)
        if result.is_ok() and self._epoch != after.epoch:
            # The changes are those since another version of the same number.
            detail = f"in epoch {self._epoch}, asked in {after.epoch}"
            return Error(RowsError(RowsFailure.HISTORY_GONE, detail, self._epoch))
        return result.bind(self._decode_page)

    def write(self, writes: Sequence[RowWrite]) -> Result[StoreVersion, RowsError]:
        """Apply all writes to one part, or none; return the new version."""
        entries = {"precondition": [], "puts": [], "deletes": []}
        for write in writes:
            row_id = {"table": write.table, "part": write.part, "key": write.key}
            if write.expected is not None:
                entries["precondition"].append(row_id | {"rowVersion": write.expected})
            if write.value is None:
                entries["deletes"].append(row_id)
            else:
                text = base64.b64encode(write.value).decode()
                entries["puts"].append(row_id | {"value": text})
        result = self._call("POST", "/api/rows-tx", {}, body=orjson.dumps(entries))
        return result.map(
            lambda document: StoreVersion(
                self._epoch, int(document.get("rowVersion", 0))
            )
        )

    def interrupt(self) -> None:
        """Let the call in progress fail, or else the next; for use by other tasks.

        Do nothing before the first call.
        """
        with self._lock:
            self._interrupted = self._used
            sock = self._connection.sock if self._connection is not None else None
            if sock is not None:
                with suppress(OSError):  # the connection has ended already
                    sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection of a call that has ended."""
        with self._lock:
            if self._connection is not None:
                self._connection.close()
                self._connection = None

    def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        wait: timedelta = timedelta(),
        body: bytes | None = None,
    ) -> Result[dict[str, Any], RowsError]:
        url = f"{path}?{urlencode(query)}" if query else path
        headers = {"Content-Type": "application/json"} if body else {}
        sent = False
        try:
            connection = self._connect(self._timeout + wait.total_seconds())
            sent = True
            connection.request(method, url, body, headers)
            response = connection.getresponse()
            data = response.read(_MAX_RESPONSE_BYTES + 1)
        except _CONNECTION_ERRORS as error:
            self._interrupted = False
            failure = RowsFailure.UNKNOWN if sent else RowsFailure.UNAVAILABLE
            return Error(RowsError(failure, repr(error)))
        finally:
            self.close()
        self._epoch = _parse_epoch(response.getheader(_EPOCH_HEADER))
        if len(data) > _MAX_RESPONSE_BYTES:
            return Error(RowsError(RowsFailure.UNKNOWN, "response too large"))
        if response.status != 200:
            failure = _FAILURE_BY_STATUS.get(response.status, RowsFailure.REJECTED)
            detail = data[:200].decode(errors="replace")
            detail = f"{response.status} {detail}"
            return Error(RowsError(failure, detail, self._epoch))
        try:
            document = orjson.loads(data)
        except orjson.JSONDecodeError as error:
            return Error(RowsError(RowsFailure.UNKNOWN, repr(error)))
        if not isinstance(document, dict):
            detail = f"no object: {type(document).__name__}"
            return Error(RowsError(RowsFailure.UNKNOWN, detail, self._epoch))
        return Ok(document)

    def _decode_page(self, document: dict[str, Any]) -> Result[RowsPage, RowsError]:
        try:
            changes = tuple(_decode_row(each, self._epoch) for each in document["rows"])
            version = StoreVersion(self._epoch, int(document["rowVersion"]))
        except (KeyError, TypeError, ValueError) as error:
            return Error(RowsError(RowsFailure.REJECTED, repr(error)))
        return Ok(RowsPage(changes, version))

    def _connect(self, timeout: float) -> HTTPConnection:
        self._used = True
        connection = HTTPConnection(*self._address, timeout=self._timeout)
        connection.connect()
        enable_keepalive(connection.sock)
        connection.sock.settimeout(timeout)
        with self._lock:
            if self._interrupted:
                connection.close()
                raise InterruptedError("interrupted before the call")
            self._connection = connection
        return connection


def _parse_epoch(text: str | None) -> int:
    return int(text) if text is not None and text.strip().isdigit() else 0


def _decode_row(document: dict[str, Any], epoch: int) -> RowChange:
    part, key = document.get("part", ""), document["key"]
    if document.get("deleted"):
        number = int(document.get("rowVersion", 0))
        deleted_at = StoreVersion(epoch, number) if number else None
        return RowChange(part, key, None, deleted_at)
    version = StoreVersion(epoch, int(document["rowVersion"]))
    row = StoredRow(part, key, _decode_value(key, document["value"]), version)
    return RowChange(part, key, row, version)


def _decode_value(key: str, value: Any) -> bytes:
    """Return the value of a row; one that is no base64 is empty.

    As an error it would hide all other rows of its page.
    """
    try:
        return base64.b64decode(value)
    except (TypeError, ValueError) as error:
        eliot.log_message("store:value_invalid", key=key, error=repr(error))
        return b""
