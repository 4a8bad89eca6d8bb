"""The buckets that the local node holds, and what it grants out of them.

The figures of an account are those of the newest configuration that the holder or one
of the askers has, so a lowered rate binds as soon as one of them knows it.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Callable, Iterable
from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from .balance import Balance
from .bucket import Bucket
from .fleet import Fleet
from .model import Account
from .tokens import Grant, Status, TokenRequest

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["BucketHolder"]

# A new holder fills only after it has probed the nodes of its zone, and when a holder
# that was silent for a moment only would have answered again.
_FILL_DELAY = timedelta(milliseconds=500)
# Within which it takes the place of a node that has become silent.
_TAKEOVER_TIME = timedelta(seconds=1)
_INITIAL_SHARE = 0.25  # of the tolerance
# Of the tolerance, held beside the burst: the calls of small accounts come in bunches.
_RESERVE_SHARE = 0.5
# Of the overshoot, by which buckets refill faster than the rate: a caller that keeps to
# the rate counts its calls in other windows than the buckets. Tokens that are used late
# take half of the overshoot.
_SURPLUS_SHARE = 0.4
# Of the rate, held by an account without a burst.
_MIN_BURST = timedelta(milliseconds=100)
# Holders of up to this number hold at least the one token that a call needs.
_MAX_SMALL_HOLDERS = 8
_DEMAND_TIME = timedelta(milliseconds=500)  # over which the demand is averaged
_REFUSAL_TIME = timedelta(seconds=2)  # over which refusals are averaged
_PULL_TIME = timedelta(milliseconds=100)  # for whose demand tokens are fetched
_MAX_PULL = 64.0
_MIN_TRANSFER = 0.01  # less is not worth a message
_ROUNDING = 1e-6
_MIN_RATE = 0.01  # of the estimate when a token will be available
_MIN_WAIT = timedelta(milliseconds=20)
_MAX_WAIT = timedelta(seconds=2)
_NOT_READY = Grant(Status.NOT_READY)


class _Average:
    """A number of events that decays with time."""

    def __init__(self, period: timedelta) -> None:
        self._period_s = period.total_seconds()
        self._count = 0.0
        self._updated_at = timedelta()

    def add(self, count: float, now: timedelta) -> None:
        self._count = self.count(now) + count
        self._updated_at = now

    def count(self, now: timedelta) -> float:
        elapsed = (now - self._updated_at).total_seconds()
        return self._count * math.exp(-elapsed / self._period_s)

    def per_second(self, now: timedelta) -> float:
        return self.count(now) / self._period_s


class _HeldAccount:
    """The bucket of one account and what was asked of it."""

    def __init__(self, bucket: Bucket, figures: Account, version: int) -> None:
        self.bucket = bucket
        self.figures = figures
        self.version = version
        self.asked = _Average(_DEMAND_TIME)
        self.granted = _Average(_REFUSAL_TIME)
        self.refused = _Average(_REFUSAL_TIME)
        self.balance = Balance()
        self.promised_until = timedelta()
        # The first time at which the bucket may fill, and whether it does: not while
        # a node that goes before this one may still hold the bucket.
        self.fills_from = timedelta()
        self.fills = False


def _no_overshoot() -> float:
    return 0.0


class BucketHolder:
    """The buckets of the accounts that the local node holds for its zone.

    `find_account` returns an account of the configuration in force, `get_overshoot` by
    how much the bound exceeds rate and burst, as a ratio. Until `start` is
    called, nothing is granted.
    """

    def __init__(
        self,
        fleet: Fleet,
        find_account: Callable[[str], Account | None],
        get_version: Callable[[], int],
        get_tolerance: Callable[[], float],
        clock: Clock,
        get_overshoot: Callable[[], float] = _no_overshoot,
    ) -> None:
        self._get_overshoot = get_overshoot
        self._fleet = fleet
        self._find_account = find_account
        self._get_version = get_version
        self._get_tolerance = get_tolerance
        self._clock = clock
        self._lock = threading.Lock()
        self._held: dict[str, _HeldAccount] = {}
        self._fill_delay = _FILL_DELAY
        self._fills_from = timedelta()
        self.ready = False

    def count(self) -> int:
        """Return the number of buckets held."""
        return len(self._held)

    def start(self, fill_at_once: bool = False) -> None:
        """Grant tokens from now on.

        Buckets of the next update fill at once if no other node can have held them.
        """
        with self._lock:
            self._fill_delay = timedelta() if fill_at_once else _FILL_DELAY
            self._fills_from = self._clock.monotonic() + self._fill_delay
            self.ready = True

    def stop(self) -> None:
        """Drop all buckets and grant nothing.

        Another node has become the holder meanwhile, or will be.
        """
        with self._lock:
            self.ready = False
            self._held = {}

    def update(self, accounts: Iterable[Account]) -> None:
        """Hold a bucket for each of the accounts that the local node is to hold.

        Buckets fill from now on, not from the first request. Buckets of other
        accounts are dropped.
        """
        if not self.ready:
            return
        version = self._get_version()
        now = self._clock.monotonic()
        with self._lock:
            # Stopped meanwhile; a type checker takes the attribute to be unchanged.
            if not self._is_ready():
                return
            kept = {}
            for account in accounts:
                if account.rate and self._fleet.holds(account.name):
                    kept[account.name] = self._hold(account, version, now)
            for name, held in self._held.items():
                # Of a newer version than the local one.
                if held.version > version and self._fleet.holds(name):
                    kept.setdefault(name, held)
            self._held = kept
            self._fill_delay = _FILL_DELAY

    def grant(self, request: TokenRequest) -> Grant | None:
        """Return the answer to a request, None if the bucket is empty."""
        if not self.ready:
            return _NOT_READY
        fleet = self._fleet
        holder = fleet.find_holder(request.account)
        if holder != fleet.local_node:
            return Grant(Status.NOT_HOLDER, holder=holder)
        now = self._clock.monotonic()
        with self._lock:
            # Stopped meanwhile; a type checker takes the attribute to be unchanged.
            if not self._is_ready():
                return _NOT_READY
            figures, version = self._find_figures(request)
            if figures is None:
                self._held.pop(request.account, None)
                return Grant(Status.UNKNOWN_ACCOUNT)
            held = self._hold(figures, version, now)
            bucket = held.bucket
            if not request.transfer:
                held.asked.add(1, now)
            if request.transfer:
                given = bucket.take_share(request.amount, now, request.level_share)
                return Grant(Status.GRANTED, given) if given > _MIN_TRANSFER else None
            bucket.refill(now)
            # Tokens that expire unused are lost: a batch is given only out of plenty.
            plenty = bucket.level >= bucket.capacity / 2
            tokens = bucket.take(int(request.amount) if plenty else 1, now)
            if not tokens:
                return None
            held.granted.add(tokens, now)
            return Grant(Status.GRANTED, tokens, excess=_measure_excess(held, now))

    def refuse(self, request: TokenRequest) -> Grant:
        """Return the answer to a request for which there is no token."""
        now = self._clock.monotonic()
        with self._lock:
            held = self._held.get(request.account)
            if held is None:
                return Grant(Status.EMPTY, wait=_MIN_WAIT)
            if request.transfer:
                wait = held.bucket.wait_time(held.bucket.rate)
                return Grant(Status.EMPTY, wait=max(_MIN_WAIT, wait))
            held.refused.add(1, now)
            # Tokens that come in at any zone that can be reached are passed on.
            rate = max(_MIN_RATE, held.figures.rate * self._fleet.usable_share())
            wait = held.bucket.wait_time(rate)
            # Each refused call is told the time of a token of its own.
            token_time = timedelta(seconds=1 / rate)
            promised = max(held.promised_until + token_time, now + wait)
            held.promised_until = min(promised, now + _MAX_WAIT)
            wait = max(_MIN_WAIT, held.promised_until - now)
            excess = _measure_excess(held, now)
            return Grant(Status.EMPTY, wait=wait, excess=excess)

    def pull_request(self, request: TokenRequest) -> TokenRequest:
        """Return the request to the holder of another zone."""
        now = self._clock.monotonic()
        with self._lock:
            held = self._held.get(request.account)
            demand = held.asked.per_second(now) if held else 0.0
            figures = held.figures if held else None
            version = held.version if held else request.version
            level = held.bucket.level if held else 0.0
        missing = max(0.0, 1.0 - level) + _ROUNDING
        amount = min(_MAX_PULL, missing + demand * _PULL_TIME.total_seconds())
        return TokenRequest(
            self._fleet.local_node,
            0,
            request.account,
            amount,
            figures.rate if figures else request.rate,
            figures.burst if figures else request.burst,
            version,
            transfer=True,
        )

    def start_balance(self, account: str) -> bool:
        """Return whether to fetch tokens that buckets of other zones would lose."""
        now = self._clock.monotonic()
        with self._lock:
            held = self._held.get(account)
            if held is None or not held.fills:
                return False
            if not held.balance.is_due(held.bucket, now):
                return False
            granted = held.granted.count(now)
            return held.balance.start(held.bucket, granted, _REFUSAL_TIME, now)

    def balance_request(self, request: TokenRequest) -> TokenRequest:
        """Return the request that levels the local bucket with one of another zone."""
        pull = self.pull_request(request)
        with self._lock:
            held = self._held.get(request.account)
            if held is None:
                return replace(pull, amount=0)
            bucket = held.bucket
            amount = int(max(0.0, bucket.capacity - bucket.level) / 2)
            return replace(pull, amount=amount, level_share=bucket.level_share())

    def finish_balance(self, account: str, tokens: float) -> None:
        """Record how many tokens other zones have given in all."""
        with self._lock:
            held = self._held.get(account)
            if held is not None:
                held.balance.finish(tokens, self._clock.monotonic())

    def credit(self, account: str, tokens: float) -> None:
        """Add tokens that the holder of another zone has granted."""
        with self._lock:
            held = self._held.get(account)
            if held is not None:
                held.bucket.add(tokens)

    def _is_ready(self) -> bool:
        return self.ready

    def _find_figures(self, request: TokenRequest) -> tuple[Account | None, int]:
        version = self._get_version()
        held = self._held.get(request.account)
        newest = max(version, request.version, held.version if held else 0)
        if newest == version:
            return self._find_account(request.account), version
        if held is not None and held.version == newest:
            return held.figures, newest
        return Account(request.account, 0, request.rate, request.burst), newest

    def _hold(self, figures: Account, version: int, now: timedelta) -> _HeldAccount:
        held = self._held.get(figures.name)
        share, tolerance = self._fleet.share(), self._get_tolerance()
        silent_since = self._fleet.silent_since(figures.name)
        may_fill = silent_since != timedelta.max
        if held is None or (held.fills and not may_fill):
            initial = share * tolerance * _INITIAL_SHARE
            bucket = Bucket(timedelta.max, initial)
            held = self._held[figures.name] = _HeldAccount(bucket, figures, version)
            held.fills_from = now + self._fill_delay
        if may_fill and not held.fills:
            held.fills = True
            held.bucket.start(self._find_start(held, silent_since, now))
        if version >= held.version:
            held.figures, held.version = figures, version
        rate = held.figures.rate
        burst = held.figures.burst or rate * _MIN_BURST.total_seconds()
        capacity = max(
            share * (burst + tolerance * _RESERVE_SHARE),
            min(1.0, share * _MAX_SMALL_HOLDERS),
        )
        surplus = 1 + self._get_overshoot() * _SURPLUS_SHARE
        held.bucket.configure(share * rate * surplus, capacity, now)
        return held

    def _find_start(
        self, held: _HeldAccount, silent_since: timedelta | None, now: timedelta
    ) -> timedelta:
        """Return when the bucket of a holder that is the only one starts to fill."""
        if silent_since is not None and now - silent_since < _TAKEOVER_TIME:
            return max(now, silent_since + _FILL_DELAY, self._fills_from)
        return max(now, held.fills_from)


def _measure_excess(held: _HeldAccount, now: timedelta) -> float:
    granted, refused = held.granted.count(now), held.refused.count(now)
    return min(1.0, refused / max(1.0, granted))
