"""The mean size of the response bodies of each route, as seen by one node."""

from __future__ import annotations

from ..shedding.profile import MAX_ROUTES

__all__ = ["ResponseSizes"]

_SMOOTHING = 0.05  # weight of one response in the mean


class ResponseSizes:
    """Mean response sizes by route, for the cost of a call to another zone."""

    def __init__(self) -> None:
        self._mean_bytes: dict[str, float] = {}

    def update(self, route: str, size: int) -> None:
        """Add the size of a complete response, in bytes."""
        mean = self._mean_bytes.get(route)
        if mean is None:
            if len(self._mean_bytes) >= MAX_ROUTES:
                self._mean_bytes = {}
            self._mean_bytes[route] = float(size)
        else:
            self._mean_bytes[route] = mean + (size - mean) * _SMOOTHING

    def mean(self, route: str) -> int:
        """Return the mean size in bytes, 0 before the first response."""
        return int(self._mean_bytes.get(route, 0.0))
