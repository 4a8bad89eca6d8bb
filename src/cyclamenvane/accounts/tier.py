"""The tiers of a configuration's accounts, one for each priority that they have."""

from __future__ import annotations

from collections.abc import Iterable

from ..calls import MAX_TIERS, ONLY_TIER, Tier
from .model import Account

__all__ = ["Tiers", "make_tiers"]


class Tiers:
    """The tier of each account, and that of calls without an account.

    Calls without an account are in the last tier: they do not go before those of any
    account.
    """

    def __init__(self, by_priority: dict[int, Tier]) -> None:
        self._by_priority = by_priority
        self._last = max(by_priority.values(), default=ONLY_TIER)

    def find(self, account: Account | None) -> Tier:
        """Return the tier of the calls of an account, or of those without one."""
        if account is None:
            return self._last
        return self._by_priority.get(account.priority, self._last)


def make_tiers(accounts: Iterable[Account]) -> Tiers:
    """Return the tiers of some accounts, the most important first.

    Accounts of the least important priorities share the last tier if there are too
    many priorities.
    """
    priorities = sorted({account.priority for account in accounts})
    count = min(len(priorities), MAX_TIERS)
    return Tiers(
        {
            priority: Tier(min(position, count - 1), count)
            for position, priority in enumerate(priorities)
        }
    )
