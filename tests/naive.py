"""A baseline without overload control: no limits or deadlines, three retries a hop."""

from __future__ import annotations

import random

from harness import Reply, fetch

RETRIES = 3


class NaiveRouter:
    """Sends a request to random targets, up to four times while the status is 5xx."""

    def __init__(self, targets: list[str]) -> None:
        self._targets = targets

    def call(self, method: str, path: str, body: bytes | None = None) -> Reply:
        for _ in range(1 + RETRIES):
            host, port = random.choice(self._targets).split(":")
            reply = fetch((host, int(port)), method, path, body)
            if reply.status < 500:
                break
        return reply
