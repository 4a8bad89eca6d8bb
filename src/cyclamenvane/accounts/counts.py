"""Outcomes of calls by account, with few names however many accounts there are."""

from __future__ import annotations

import heapq
import threading
from collections.abc import Mapping

__all__ = ["OTHER_ACCOUNTS", "RefusalCounts"]

OTHER_ACCOUNTS = ""
_MAX_NAMED = 10
_MAX_KEPT = 4096  # accounts that are counted one by one


class RefusalCounts:
    """Refusals by account since the start, and since the last log line."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._total: dict[str, int] = {}
        self._recent: dict[str, int] = {}

    def add(self, account: str) -> None:
        """Count a refusal."""
        with self._lock:
            if account not in self._total and len(self._total) >= _MAX_KEPT:
                account = OTHER_ACCOUNTS
            self._total[account] = self._total.get(account, 0) + 1
            self._recent[account] = self._recent.get(account, 0) + 1

    def totals(self) -> dict[str, int]:
        """Return the ten accounts with most refusals, the rest as OTHER_ACCOUNTS."""
        with self._lock:
            return _summarise(self._total)

    def take_recent(self) -> dict[str, int]:
        """Return the refusals since the last call, as `totals` does."""
        with self._lock:
            recent, self._recent = self._recent, {}
        return _summarise(recent)


def _summarise(counts: Mapping[str, int]) -> dict[str, int]:
    named = heapq.nlargest(
        _MAX_NAMED,
        (item for item in counts.items() if item[0] != OTHER_ACCOUNTS),
        key=lambda item: item[1],
    )
    summary = dict(named)
    rest = sum(counts.values()) - sum(summary.values())
    if rest:
        summary[OTHER_ACCOUNTS] = rest
    return summary
