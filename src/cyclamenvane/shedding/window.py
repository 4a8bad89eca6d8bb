"""The calls and retries of one service over the last windows of the retry budget.

In any window, retries are bounded by a ratio of the calls. The calls that count are
the largest of those of the window, of the one before and of the one half a window
before. Counting them exactly allows more retries than a token bucket, which
earns while it spends: the tokens earned and those saved would have to share the bound.
"""

from __future__ import annotations

from datetime import timedelta

__all__ = ["SendWindow"]

_SLOTS = 20  # of one window
_RING = 2 * _SLOTS + 1


class SendWindow:
    """Counts calls and retries in slots of a twentieth of the window."""

    def __init__(self, window: timedelta, now: timedelta) -> None:
        self._width = window / _SLOTS
        self._calls = [0.0] * _RING
        self._retries = [0.0] * _RING
        self._slot = now // self._width
        self._slot_end = (self._slot + 1) * self._width
        self._started_at = now

    def add_calls(self, calls: float, now: timedelta) -> None:
        """Count calls that are sent for the first time."""
        self._calls[self._advance(now) % _RING] += calls

    def add_retries(self, retries: float, now: timedelta) -> None:
        """Count sends beyond the first of a call."""
        self._retries[self._advance(now) % _RING] += retries

    def take_back(self, retries: float, added_at: timedelta) -> None:
        """Take back retries from the slot in which they were counted.

        In a later slot they would stay negative after their own has left the window.
        """
        slot = added_at // self._width
        if slot > self._slot - _RING:
            index = slot % _RING
            self._retries[index] = max(0.0, self._retries[index] - retries)

    def calls(self, now: timedelta) -> float:
        """Return the number of calls that bounds the retries of the last window."""
        self._advance(now)
        half = _SLOTS // 2
        return max(
            self._sum(self._calls, age, age + _SLOTS) for age in (0, half, _SLOTS)
        )

    def calls_extrapolated(self, now: timedelta) -> float:
        """Return `calls` as if the count had begun a whole window ago."""
        age = max(now - self._started_at, 2 * self._width)
        return self.calls(now) * max(1.0, _SLOTS * self._width / age)

    def retries(self, now: timedelta) -> float:
        """Return the retries of the last window."""
        self._advance(now)
        return self._sum(self._retries, 0, _SLOTS + 1)

    def retries_expiring(self, now: timedelta, within: timedelta) -> float:
        """Return the retries that leave the last window within a time."""
        self._advance(now)
        slots = min(_SLOTS, max(0, within // self._width))
        return self._sum(self._retries, _SLOTS + 1 - slots, _SLOTS + 1)

    def _sum(self, counts: list[float], first: int, end: int) -> float:
        slot = self._slot
        return sum(counts[(slot - age) % _RING] for age in range(first, end))

    def _advance(self, now: timedelta) -> int:
        if now < self._slot_end:
            return self._slot
        slot = now // self._width
        if slot > self._slot:
            for stale in range(max(self._slot + 1, slot - _RING + 1), slot + 1):
                self._calls[stale % _RING] = self._retries[stale % _RING] = 0.0
            self._slot = slot
            self._slot_end = (slot + 1) * self._width
        return self._slot
