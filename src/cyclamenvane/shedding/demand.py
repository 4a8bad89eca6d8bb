"""The rate of root calls by rank, over some seconds and whether admitted or not.

A node sees only a few root calls a second, so ranks are counted in ranges. Within a
range they are a hash, and thus even.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from datetime import timedelta

from ..calls import RANKS
from .profile import MAX_ROUTES, RouteKey

__all__ = ["RootDemand", "find_last_rank", "find_limit"]

_MEMORY = timedelta(seconds=4)  # in which the weight of a call falls to 1/e
_RANGES = 16
_RANKS_PER_RANGE = RANKS // _RANGES
_MIN_RATE = 0.01  # calls a second; less is what is left of earlier calls
# The weights of new calls grow instead of the earlier ones decaying. They are scaled
# back before they exceed the range of a float.
_MAX_EXPONENT = 200.0


class RootDemand:
    """Counts the root calls of each route by range of ranks."""

    def __init__(self, now: timedelta) -> None:
        self._counts: dict[RouteKey, list[float]] = {}
        self._started_at = now
        self._origin = now

    def add(self, key: RouteKey, rank: int, now: timedelta) -> None:
        """Count a root call that arrived."""
        exponent = (now - self._origin) / _MEMORY
        if exponent > _MAX_EXPONENT:
            self._rescale(exponent)
            self._origin, exponent = now, 0.0
        counts = self._counts.get(key)
        if counts is None:
            if len(self._counts) >= MAX_ROUTES:
                self._counts = {}
            counts = self._counts[key] = [0.0] * _RANGES
        if not 0 <= rank < RANKS:
            rank = min(max(rank, 0), RANKS - 1)
        counts[rank // _RANKS_PER_RANGE] += math.exp(exponent)

    def rates(
        self, weights: Iterable[tuple[RouteKey, float]], now: timedelta
    ) -> list[float]:
        """Return the calls a second by range of ranks, each route times its weight."""
        age = max(now - self._started_at, _MEMORY / 8) / _MEMORY
        scale = math.exp(-((now - self._origin) / _MEMORY)) / (
            _MEMORY.total_seconds() * -math.expm1(-age)
        )
        rates = [0.0] * _RANGES
        for key, weight in weights:
            counts = self._counts.get(key)
            if counts is not None:
                for index, count in enumerate(counts):
                    rates[index] += count * weight * scale
        return rates

    def _rescale(self, exponent: float) -> None:
        scale = math.exp(-exponent)
        for counts in self._counts.values():
            for index, count in enumerate(counts):
                counts[index] = count * scale


def find_limit(rates: Sequence[float], share: float) -> int:
    """Return the rank below which `share` of the rates lies, at least 1."""
    left = sum(rates) * share
    for index, rate in enumerate(rates):
        if rate > left:
            return max(1, int((index + left / rate) * _RANKS_PER_RANGE))
        left -= rate
    return RANKS


def find_last_rank(rates: Sequence[float]) -> int:
    """Return the rank after the last range with calls."""
    for index in range(len(rates) - 1, -1, -1):
        if rates[index] > _MIN_RATE:
            return (index + 1) * _RANKS_PER_RANGE
    return 0
