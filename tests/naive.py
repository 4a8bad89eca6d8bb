"""A baseline without overload control: no limits or deadlines, three retries a hop."""

from __future__ import annotations

import random

from harness import Response, fetch

RETRIES = 3


class NaiveRouter:
    """Sends a request to random targets, up to four times while the status is 5xx."""

    def __init__(self, targets: list[str]) -> None:
        self._targets = targets

    def call(self, method: str, path: str, body: bytes | None = None) -> Response:
        for _ in range(1 + RETRIES):
            host, port = random.choice(self._targets).split(":")
            response = fetch((host, int(port)), method, path, body)
            if response.status < 500:
                break
        return response
