"""What a node does for account rates apart from calls: rounds of four a second, and of
ten while it starts.

A round reads the known nodes again, drops and starts buckets, and names the nodes to
probe. A node that could not run its rounds for a while drops its buckets: another node
has become their holder, and would serve the same tokens again.

A node that has just started waits until it knows the other nodes, and until a holder
from before has noticed it. If all nodes of its zone have just started, there is no such
holder, and they start together.
"""

from __future__ import annotations

from collections.abc import Collection
from datetime import timedelta
from typing import TYPE_CHECKING

import eliot

from .fleet import Fleet
from .grants import BucketHolder
from .model import Account
from .silence import Check

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["Upkeep"]

_ROUND_INTERVAL = timedelta(milliseconds=250)
# All calls of accounts are refused until the node or another one has started.
_START_INTERVAL = timedelta(milliseconds=100)
_NEW_TIME = timedelta(seconds=5)
# After its configuration, a node needs about as long to know the other nodes.
_START_DELAY = timedelta(seconds=1)
_MAX_ROUND_GAP = timedelta(seconds=1)
# After a suspension, until the nodes of the zone have answered.
_RESTART_DELAY = timedelta(milliseconds=500)


class Upkeep:
    """Keeps the list of usable nodes and the local buckets up to date."""

    def __init__(self, fleet: Fleet, holder: BucketHolder, clock: Clock) -> None:
        self._fleet = fleet
        self._holder = holder
        self._clock = clock
        self._created_at = self._last_round = clock.monotonic()
        self._start_at: timedelta | None = None
        self._closed = False

    def round_interval(self) -> timedelta:
        """Return the time until the next round."""
        if self._holder.ready or self._closed:
            return _ROUND_INTERVAL
        # Without a rate nothing is to be started, but a new process soon has one.
        is_new = self._clock.monotonic() - self._created_at < _NEW_TIME
        return _START_INTERVAL if is_new or self._start_at else _ROUND_INTERVAL

    def close(self) -> None:
        """Grant nothing any more: the node is stopping, and others take over."""
        self._closed = True
        self._holder.stop()

    def run_round(self, accounts: Collection[Account]) -> list[str]:
        """Run one round; return the nodes to probe."""
        now = self._clock.monotonic()
        gap, self._last_round = now - self._last_round, now
        if not any(account.rate for account in accounts):
            if self._holder.count():
                self._holder.update(())
            return []
        self._fleet.refresh()
        if self._start_at is None:
            self._start_at = now + _START_DELAY
            return self._fleet.other_nodes()
        if gap > _MAX_ROUND_GAP:
            self._log_dropped(gap)
            self._holder.stop()
            self._start_at = now + _RESTART_DELAY
            # The answers say which nodes are usable, and that this one is back.
            return self._fleet.other_nodes()
        if not self._holder.ready and not self._closed:
            if now >= self._start_at:
                self._fleet.reset()
                self._holder.start()
            elif self._fleet.is_zone_starting():
                self._fleet.start_jointly()
                self._holder.start(fill_at_once=True)
            else:
                return self._fleet.other_nodes()
        self._holder.update(accounts)
        return self._fleet.select_probes()

    def select_checks(self, accounts: Collection[Account]) -> list[Check]:
        """Return the checks of silent nodes that are due after a round."""
        return self._fleet.select_checks(accounts) if self._holder.ready else []

    def _log_dropped(self, gap: timedelta) -> None:
        eliot.log_message(
            "account:buckets_dropped",
            suspended_ms=round(gap.total_seconds() * 1000),
            buckets=self._holder.count(),
        )
