"""HTTP client for a node's control listener."""

from __future__ import annotations

import http.client
import json
import urllib.parse
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result

from ..http_client import HTTPConnection
from ..settings import split_address

__all__ = ["ControlClient", "ControlError"]

_TIMEOUT_S = 15.0


@dataclass(frozen=True, slots=True)
class ControlError:
    """A request that the node rejected, or that got no valid response (status 0)."""

    status: int
    text: str
    value: dict[str, Any]


class ControlClient:
    """Sends requests to one node's control address, with the operators' key."""

    def __init__(self, address: str, key: str) -> None:
        self.address = address
        self._key = key

    def get(self, path: str, **query: str) -> Result[dict[str, Any], ControlError]:
        """Send a GET request to a control path and return the decoded response."""
        query_string = f"?{urllib.parse.urlencode(query)}" if query else ""
        return self._exchange("GET", path + query_string, None)

    def post(self, path: str, value: Any) -> Result[dict[str, Any], ControlError]:
        """Send a value to a control path and return the decoded response."""
        return self._exchange("POST", path, json.dumps(value).encode())

    def _exchange(
        self, method: str, path: str, body: bytes | None
    ) -> Result[dict[str, Any], ControlError]:
        try:
            status, value = self._send(method, path, body)
        except (OSError, ValueError, http.client.HTTPException) as error:
            text = f"request to {self.address} failed: {error}"
            return Error(ControlError(0, text, {}))
        if status >= 400:
            return Error(ControlError(status, value.get("error", ""), value))
        return Ok(value)

    def _send(
        self, method: str, path: str, body: bytes | None
    ) -> tuple[int, dict[str, Any]]:
        host, port = split_address(self.address)
        connection = HTTPConnection(host, port, timeout=_TIMEOUT_S)
        try:
            headers = {"Authorization": f"Bearer {self._key}"}
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            return response.status, json.loads(response.read())
        finally:
            connection.close()
