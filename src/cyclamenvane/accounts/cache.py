"""The tokens that a node has at hand, and the refusals that it may repeat.

A node asks for a token for each call, or for as many as it expects to need within a
tenth of a second. Unused tokens expire, so that tokens of the past are not used in a
later window.
"""

from __future__ import annotations

import math
import threading
from collections import deque
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from .model import Account

__all__ = ["TokenCache"]

_USE_TIME = timedelta(milliseconds=500)  # over which the use is averaged
_BATCH_TIME = timedelta(milliseconds=100)
_MAX_BATCH = 16
# For which a refusal of the holder is repeated without asking it again.
_MAX_HOLD_OFF = timedelta(milliseconds=50)
_EXCESS_TTL = timedelta(seconds=2)
_MAX_WAIT = timedelta(seconds=2)
_MIN_RATE = 0.01  # of the estimate when a token will be available


class _Entry:
    def __init__(self, figures: tuple[float, float]) -> None:
        self.figures = figures
        self.expiries: deque[timedelta] = deque()
        # Of the tokens taken, until they expire.
        self.taken: deque[timedelta] = deque()
        self.uses = 0.0
        self.used_at = timedelta()
        self.refused_until = timedelta()
        self.promised_until = timedelta()
        self.excess = 0.0
        self.excess_at = timedelta()
        self.no_holder = False


class TokenCache:
    """Tokens by account; `get_lifetime` returns how long they last."""

    def __init__(self, get_lifetime: Callable[[], timedelta], clock: Clock) -> None:
        self._get_lifetime = get_lifetime
        self._clock = clock
        self._lock = threading.Lock()
        self._entries: dict[str, _Entry] = {}

    def take(self, account: Account) -> bool:
        """Take a token; return whether there was one."""
        now = self._clock.monotonic()
        with self._lock:
            entry = self._find(account)
            elapsed = (now - entry.used_at) / _USE_TIME
            entry.uses = entry.uses * math.exp(-elapsed) + 1
            entry.used_at = now
            while entry.expiries:
                expiry = entry.expiries.popleft()
                if expiry > now:
                    self._keep_taken(entry, expiry, now)
                    return True
        return False

    def batch(self, account: Account) -> int:
        """Return how many tokens to ask for."""
        with self._lock:
            expected = self._find(account).uses * (_BATCH_TIME / _USE_TIME)
        return min(_MAX_BATCH, 1 + int(max(0.0, expected - 1)))

    def add(self, account: Account, tokens: int, excess: float) -> None:
        """Keep the tokens that a holder has granted beyond the one asked for."""
        now = self._clock.monotonic()
        with self._lock:
            entry = self._find(account)
            expiry = now + self._get_lifetime()
            entry.expiries.extend([expiry] * tokens)
            self._keep_taken(entry, expiry, now)
            entry.refused_until = timedelta()
            entry.excess, entry.excess_at = excess, now

    def give_back(self, account: Account) -> None:
        """Keep the token of a call that was not run, for what is left of its time.

        It gets the expiry of the token that was taken first. So tokens that are taken
        and given back again and again do not outlive their time.
        """
        now = self._clock.monotonic()
        with self._lock:
            entry = self._entries.get(account.name)
            if entry is None or entry.figures != (account.rate, account.burst):
                return
            while entry.taken:
                expiry = entry.taken.popleft()
                if expiry > now:
                    # The first to expire is used first.
                    entry.expiries.appendleft(expiry)
                    return

    def _keep_taken(self, entry: _Entry, expiry: timedelta, now: timedelta) -> None:
        taken = entry.taken
        while taken and taken[0] <= now:
            taken.popleft()
        taken.append(expiry)

    def refuse(
        self,
        account: Account,
        wait: timedelta,
        excess: float,
        no_holder: bool = False,
    ) -> None:
        """Keep a refusal of the holder, which says when a token will be available.

        With `no_holder`, no node has answered as the holder.
        """
        now = self._clock.monotonic()
        with self._lock:
            entry = self._find(account)
            entry.refused_until = now + min(wait, _MAX_HOLD_OFF)
            entry.promised_until = now + wait
            entry.excess, entry.excess_at = excess, now
            entry.no_holder = no_holder

    def lacks_holder(self, account: Account) -> bool:
        """Return whether the last refusal was due to a missing holder."""
        with self._lock:
            return self._find(account).no_holder

    def find_refusal(self, account: Account) -> timedelta | None:
        """Return the wait of a refusal that still holds, None if there is none."""
        now = self._clock.monotonic()
        with self._lock:
            entry = self._find(account)
            if now >= entry.refused_until:
                return None
            # The next token is promised to the call that was refused before.
            token_time = timedelta(seconds=1 / max(account.rate, _MIN_RATE))
            entry.promised_until = min(
                entry.promised_until + token_time, now + _MAX_WAIT
            )
            return entry.promised_until - now

    def excess(self, name: str) -> float:
        """Return how far the use of an account is above its rate, from 0 to 1."""
        entry = self._entries.get(name)
        if entry is None or not entry.excess:
            return 0.0
        age = self._clock.monotonic() - entry.excess_at
        return entry.excess if age <= _EXCESS_TTL else 0.0

    def retain(self, accounts: dict[str, Account]) -> None:
        """Drop the entries of accounts that are no longer configured."""
        with self._lock:
            for name in self._entries.keys() - accounts.keys():
                del self._entries[name]

    def _find(self, account: Account) -> _Entry:
        entry = self._entries.get(account.name)
        figures = account.rate, account.burst
        if entry is None or entry.figures != figures:
            # Tokens of another rate must not be used once a lowered one is in force.
            entry = self._entries[account.name] = _Entry(figures)
        return entry
