"""Admission of root calls by what their call trees need at services that reject calls.

A call to a service that rejects a share `r` of its sends needs `r / (1 - r)` retries.
If the retry budget allows fewer for all root calls that arrive, only a part of them is
admitted: the most important ones, up to the rank at which their demand has used up the
budget. A root call whose tree makes no calls to such a service is not affected.

Each node plans for the root calls that arrive at it. Every call belongs to the tree
of one root, so the plans of all nodes together stay within the budget.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Callable, Collection, Iterable, Mapping
from datetime import timedelta
from typing import TYPE_CHECKING

import eliot

from ..calls import RANKS, RANKS_PER_IMPORTANCE
from .demand import RootDemand, find_last_rank, find_limit
from .profile import RouteKey, RouteProfiles
from .share import RejectionShares
from .shortage import Shortage, make_shortage
from .window import SendWindow

if TYPE_CHECKING:
    from ..clock import Clock
    from ..mesh.forward import ServiceUsage

__all__ = ["LoadShedder"]

# Part of the bound on retries that root calls are planned with. The nodes that send
# the retries use up to 0.85 of it, and less for roots of higher rank.
_PLANNED_SHARE = 0.75
# Part of the window in which the budget may be used up. Rejections seldom last
# longer, and what is not used by their end is of no use.
_HORIZON_SHARE = 0.8
_MIN_HORIZON_SHARE = 0.2
# Of the budget, available when the rejections begin. The roots in progress then were
# admitted without a limit, and most of them fail whatever is spent on them.
_ONSET_SHARE = 0.25
_RANK_RESERVE = 0.25  # of what is available, left by the least important roots
# A call tree that completes at least this often without any retry is not limited, as
# long as there are less important trees that do not: it uses the least budget for each
# caller that is served.
_MIN_LONE_SUCCESS = 0.3
# Of the retries that the budget allows, left for the trees that are limited.
_MIN_LIMITED_SHARE = 0.5
_MIN_ADMITTED_SHARE = 0.05  # so that there are samples of the rejections
_PROBE_INTERVAL = timedelta(milliseconds=1500)  # without any other sample
_MIN_CALLS = 0.03  # a call tree with fewer calls at a service is not affected
_UPDATE_INTERVAL = timedelta(milliseconds=50)
_FALL_TIME = timedelta(milliseconds=200)  # of the admitted share, to 1/e of the way
_RISE_TIME = timedelta(milliseconds=700)
_FULL_SHARE = 0.9
_FORGET_TIME = timedelta(seconds=2)  # rejections after a longer pause are new ones
_MAX_ACCOUNT_OFFSET = 0.5  # of the ranks of an importance


class _Limit:
    """The rank limit of one service."""

    def __init__(self, now: timedelta) -> None:
        self.rank = RANKS
        self.shallow_rank = 0
        self.admitted_share = 1.0
        self.rejection_share = 0.0
        self.since = now
        self.updated_at = now - _FORGET_TIME
        self.probed_at = now
        self.logged = False

    def approach(self, share: float, elapsed: timedelta) -> None:
        """Move the admitted share towards another within the time since the last move.

        Targets that reject what exceeds their capacity reject nothing soon after roots
        are shed. A share that followed at once would oscillate.
        """
        time = _FALL_TIME if share < self.admitted_share else _RISE_TIME
        self.admitted_share += (share - self.admitted_share) * (
            1 - math.exp(-(elapsed / time))
        )
        if self.admitted_share > _FULL_SHARE and share == 1:
            self.admitted_share = 1.0


class LoadShedder:
    """Learns what call trees use, and limits root calls where targets reject calls."""

    def __init__(
        self, ratio: float, slack: float, window: timedelta, clock: Clock
    ) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._profiles = RouteProfiles()
        self._shares = RejectionShares()
        self._demand = RootDemand(clock.monotonic())
        self._limits: dict[str, _Limit] = {}
        self._window = window
        self._windows: dict[str, SendWindow] = {}
        self.reconfigure(ratio, slack, window)
        # The use that an account makes of its rate beyond others of its priority, from
        # 0 to 1. Set by the component that counts the calls of accounts.
        self.account_excess: Callable[[str], float] = _no_excess

    def reconfigure(self, ratio: float, slack: float, window: timedelta) -> None:
        """Set the bounds of the retry budget, which apply to all nodes together."""
        self._ratio = ratio
        self._slack = slack
        if window != self._window:
            self._window = window
            self._windows = {}

    def offset_rank(self, account: str, rank: int, tiers: int = 1) -> int:
        """Return the rank of a root call of an account, within the same importance.

        `tiers` is the number of tiers of accounts, which share the ranks.
        """
        excess = min(max(self.account_excess(account), 0.0), 1.0)
        if not excess:
            return rank
        width = RANKS_PER_IMPORTANCE // tiers
        last = rank - rank % width + width - 1
        return min(rank + round(excess * width * _MAX_ACCOUNT_OFFSET), last)

    def check(self, route: str, service: str, rank: int, nodes: int) -> Shortage | None:
        """Count a root call that arrived; return why it is not admitted, if it is not.

        `service` is the one that the root call itself goes to.
        """
        now = self._clock.monotonic()
        key = (route, service)
        with self._lock:
            self._demand.add(key, rank, now)
            services = self._shares.services()
            if self._limits:
                self._end_limits(services)
            if not services:
                return None
            profile = self._profiles.find(key)
            if profile is None:
                return None
            for limited in services:
                calls = profile.get(limited, 0.0) + (limited == service)
                if calls >= _MIN_CALLS:
                    limit = self._update_limit(limited, nodes, now)
                    if rank < limit.shallow_rank and _completes_alone(
                        calls, limit.rejection_share
                    ):
                        continue
                    if rank >= limit.rank and not self._is_probe(limited, limit, now):
                        return make_shortage(
                            limited,
                            limit.rank,
                            limit.rejection_share,
                            limit.admitted_share,
                        )
        return None

    def add_result(
        self,
        route: str,
        service: str,
        root: bool,
        accepted: int,
        rejected: int,
        usage: Collection[ServiceUsage],
        measured: bool,
        complete: bool,
    ) -> None:
        """Add the outcome of a call that this node sent, and the usage of its tree.

        `accepted` and `rejected` count its own sends. `measured` is whether the usage
        is that of one whole execution, `complete` whether it ended without an error.
        """
        now = self._clock.monotonic()
        with self._lock:
            if measured:
                self._profiles.update((route, service), usage, complete)
            shares = self._shares
            # Without rejections there is nothing to add to.
            if rejected or shares.has_any():
                shares.add(service, accepted, rejected, now)
            # A tree that fails ends at a call that no target accepted.
            failed_at = "" if complete else _most_rejected(usage)
            for each in usage:
                if each.rejections or shares.has_any():
                    passed = max(0, each.calls - (each.service == failed_at))
                    shares.add(each.service, passed, each.rejections, now)
                if root:
                    self._count(each.service, each.calls, each.rejections, now)
            if root:
                self._count(service, 1, rejected, now)

    def retry_usage(self, route: str, service: str) -> Mapping[str, float] | None:
        """Return the mean nested calls of a call, or None if they are not known."""
        return self._profiles.find((route, service))

    def count_rejecting(self) -> int:
        """Return how many services reject calls."""
        if not self._shares.has_any():
            return 0
        with self._lock:
            return self._count_rejecting(self._clock.monotonic())

    def reserve(self, service: str, rank: int) -> float:
        """Return the part of the retry budget that a root leaves for others.

        The budget is spread over the time for which roots are planned. Of what is
        available, less important roots leave a part for more important ones.
        """
        age = self._shares.age(service, self._clock.monotonic())
        passed = min(1.0, age / (self._window * _HORIZON_SHARE))
        available = _ONSET_SHARE + (1 - _ONSET_SHARE) * passed
        return 1 - available * (1 - _RANK_RESERVE * (rank / RANKS) ** 2)

    def _count_rejecting(self, now: timedelta) -> int:
        services = self._shares.services()
        return sum(self._shares.share(each, now) > 0 for each in services)

    def measure(self) -> dict[str, float]:
        """Return the lowest limit and the largest rejection share, as gauges."""
        now = self._clock.monotonic()
        with self._lock:
            shares = [self._shares.share(each, now) for each in self._shares.services()]
            ranks = [each.rank for each in self._limits.values()] if any(shares) else []
        return {
            "root_limit": min(ranks, default=RANKS),
            "rejection_share": max(shares, default=0.0),
        }

    def _count(self, service: str, calls: int, retries: int, now: timedelta) -> None:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = SendWindow(self._window, now)
        window.add_calls(calls, now)
        if retries:
            window.add_retries(retries, now)

    def _update_limit(self, service: str, nodes: int, now: timedelta) -> _Limit:
        limit = self._limits.get(service)
        if limit is None:
            limit = self._limits[service] = _Limit(now)
        if now - limit.updated_at < _UPDATE_INTERVAL:
            return limit
        if now - limit.updated_at > _FORGET_TIME:
            limit.since = now
        elapsed = min(now - limit.updated_at, _FORGET_TIME)
        limit.updated_at = now
        limit.rejection_share = share = self._shares.share(service, now)
        retries = share / (1 - share)  # for each call
        users = list(self._users(service))
        limited = [each for each in users if not _completes_alone(each[1], share)]
        others = [each for each in users if _completes_alone(each[1], share)]
        rates = self._demand.rates(limited, now)
        needed = sum(rates) * retries
        allowed = self._allowed_rate(service, limit, nodes, now)
        limit.shallow_rank = find_last_rank(rates)
        shallow = self._demand.rates(others, now)
        unlimited = sum(shallow[: limit.shallow_rank * len(shallow) // RANKS]) * retries
        allowed = max(allowed - unlimited, allowed * _MIN_LIMITED_SHARE)
        part = 1.0
        if needed > allowed:
            part = max(_MIN_ADMITTED_SHARE, allowed / needed)
        limit.approach(part, elapsed)
        if limit.admitted_share >= 1:
            limit.rank = RANKS
            if not share:
                limit.since = now
                self._log_end(service, limit)
        else:
            limit.rank = find_limit(rates, limit.admitted_share)
            if not limit.logged:
                limit.logged = True
                eliot.log_message(
                    "shedding:began",
                    service=service,
                    rejection_share=round(share, 3),
                    admitted_share=round(limit.admitted_share, 3),
                    limit=limit.rank,
                )
        return limit

    def _end_limits(self, rejecting: Collection[str]) -> None:
        for service in [each for each in self._limits if each not in rejecting]:
            self._log_end(service, self._limits.pop(service))

    def _log_end(self, service: str, limit: _Limit) -> None:
        if limit.logged:
            limit.logged = False
            eliot.log_message("shedding:ended", service=service)

    def _users(self, service: str) -> Iterable[tuple[RouteKey, float]]:
        for key in self._profiles.keys():
            profile = self._profiles.find(key)
            calls = float(key[1] == service)
            if profile is not None:
                calls += profile.get(service, 0.0)
            if calls >= _MIN_CALLS:
                yield key, calls

    def _allowed_rate(
        self, service: str, limit: _Limit, nodes: int, now: timedelta
    ) -> float:
        """Return the retries a second that the budget allows for this node's roots.

        The rate spreads what is left of the budget evenly over the planned time.
        """
        window = self._windows.get(service)
        if window is None:
            return 0.0
        bound = _PLANNED_SHARE * (
            self._slack / max(1, nodes) + self._ratio * window.calls_extrapolated(now)
        )
        bound /= max(1, self._count_rejecting(now))
        horizon = max(
            self._window * _MIN_HORIZON_SHARE,
            self._window * _HORIZON_SHARE - (now - limit.since),
        )
        left = bound - window.retries(now) + window.retries_expiring(now, horizon)
        return max(0.0, left) / horizon.total_seconds()

    def _is_probe(self, service: str, limit: _Limit, now: timedelta) -> bool:
        last = max(limit.probed_at, self._shares.last_sample(service))
        if now - last < _PROBE_INTERVAL:
            return False
        limit.probed_at = now
        return True


def _completes_alone(calls: float, rejection_share: float) -> bool:
    return (1 - rejection_share) ** calls >= _MIN_LONE_SUCCESS


def _no_excess(account: str) -> float:
    return 0.0


def _most_rejected(usage: Iterable[ServiceUsage]) -> str:
    most, service = 0, ""
    for each in usage:
        if each.rejections > most:
            most, service = each.rejections, each.service
    return service
