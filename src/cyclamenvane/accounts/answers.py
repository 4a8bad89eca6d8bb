"""The answers that requests have got, so that one that comes twice is served once."""

from __future__ import annotations

import threading
from collections.abc import Callable
from datetime import timedelta

from .tokens import Grant, Status, TokenRequest

__all__ = ["RecentAnswers"]

_MAX_REMEMBERED = 2048
_EMPTY = Grant(Status.EMPTY, wait=timedelta(milliseconds=20))


class RecentAnswers:
    """The last answers by sender, process of the sender and number of the request."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # An event while the request is being served.
        self._answers: dict[tuple[str, int, int], Grant | threading.Event] = {}

    def find_or_make(
        self, request: TokenRequest, make: Callable[[], Grant], limit: timedelta
    ) -> Grant:
        """Return the answer that a request has got, or make it.

        If the same request is being served, its answer is waited for, at most as long
        as `limit`; without one the request gets no token.
        """
        key = request.sender, request.session, request.number
        served = threading.Event()
        with self._lock:
            known = self._answers.get(key)
            if known is None:
                while len(self._answers) >= _MAX_REMEMBERED:
                    del self._answers[next(iter(self._answers))]
                self._answers[key] = served
        if known is None:
            return self._make(key, make, served)
        if isinstance(known, Grant):
            return known
        known.wait(limit.total_seconds())
        made = self._answers.get(key)
        return made if isinstance(made, Grant) else _EMPTY

    def _make(
        self,
        key: tuple[str, int, int],
        make: Callable[[], Grant],
        served: threading.Event,
    ) -> Grant:
        grant = _EMPTY
        try:
            grant = make()
        finally:
            with self._lock:
                self._answers[key] = grant
            served.set()
        return grant
