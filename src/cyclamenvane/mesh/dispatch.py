"""The way of one call from the node where it begins to its outcome.

A call that begins work may be refused here, before anything is spent on it. It
is then offered to targets one after another: again after a certain "not run",
after an unknown end only when it may be repeated, and within the budget that
all nodes share.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus
from typing import TYPE_CHECKING

from .directory import Directory, Peer
from .model import Route
from .order import NO_LOAD, Delivery, Order, Reason, Verdict
from .placement import choose_peer, choose_service
from .rank import Rank, Run

if TYPE_CHECKING:
    from ..clock import Clock
    from .budget import RetryBudget
    from .levels import RouteLevels
    from .metric import Metrics
    from .model import Address, NodeRecord
    from .watch import Watch

__all__ = ["Call", "Dispatcher", "Reply"]

_REFUSALS_FREE = 4  # nodes asked again after "not run"; the target saw nothing
# Waiting longer than this share of the objective helps nobody: another target,
# or the caller's own return, is quicker.
_WAIT_SHARE = 0.5
_INNER_WAIT_SHARE = 0.8  # work has been done for a call that a target makes
_LEAST_RETRY = timedelta(milliseconds=100)
_MOST_RETRY = timedelta(seconds=2)
# A level that fell needs a few seconds to return; a caller that comes back sooner
# meets the same refusal. Callers cut this to a third of the time they have.
_OVERLOAD_RETRY = timedelta(milliseconds=1500)
_NO_TARGET_RETRY = timedelta(milliseconds=500)  # a heartbeat or two


@dataclass(frozen=True)
class Call:
    """A call of a caller or of the target beside the node.

    `deadline` is the earlier of the caller's deadline and the route's timeout.
    `parent` is the run of the target beside the node that the call is made for.
    """

    attempt: bytes | None
    route: Route
    head: bytes
    body: bytes
    rank: Rank
    parent: Run | None
    arrived: timedelta
    deadline: timedelta


@dataclass(frozen=True)
class Reply:
    """The outcome of a call: the target's answer, or a status of the node's own."""

    status: int
    head: bytes = b""
    body: bytes = b""
    retry_after: timedelta | None = None
    reason: Reason = Reason.NONE
    detail: str = ""
    service: str = ""
    node: str = ""
    sends: int = 0

    @property
    def from_target(self) -> bool:
        """Whether a target made the answer."""
        return bool(self.head)


class Dispatcher:
    """Finds the outcome of calls."""

    def __init__(
        self,
        own: Callable[[], NodeRecord],
        directory: Directory,
        deliver_locally: Callable[[Order, Watch], Delivery],
        deliver_remotely: Callable[[Address, Order, Watch], Delivery],
        budget: RetryBudget,
        levels: RouteLevels,
        clock: Clock,
        metrics: Metrics,
        version: Callable[[], int],
        on_newer_version: Callable[[int, Address], None],
        on_unreachable: Callable[[NodeRecord], None],
    ) -> None:
        self._own = own
        self._directory = directory
        self._deliver_locally = deliver_locally
        self._deliver_remotely = deliver_remotely
        self._budget = budget
        self._levels = levels
        self._clock = clock
        self._metrics = metrics
        self._version = version
        self._on_newer_version = on_newer_version
        self._on_unreachable = on_unreachable
        self._local = Peer(own(), clock)

    def serve(self, call: Call, watch: Watch) -> Reply:
        """Return the outcome of a call; blocks until it is known."""
        service = choose_service(call.route, random.random())
        if not call.rank.depth:
            refused = self._refuse_early(call, service)
            if refused is not None:
                return refused
        return self._try_targets(call, service, watch)

    def _refuse_early(self, call: Call, service: str) -> Reply | None:
        level = self._levels.level(call.route.name)
        if call.rank.root < level:
            return None
        after = _OVERLOAD_RETRY * random.uniform(0.5, 1.5)
        detail = f"rank {call.rank.root} of a tree, level {level}"
        return _refuse(Reason.NO_ROOM, after, detail, service, 0)

    def _try_targets(self, call: Call, service: str, watch: Watch) -> Reply:
        tried: set[str] = set()
        sends = 0
        last = Delivery(Verdict.NOT_RUN, Reason.NO_TARGET)
        unknown: Delivery | None = None
        self._budget.note_call(service, self._node_count())
        while len(tried) <= _REFUSALS_FREE:
            now = self._clock.monotonic()
            if now >= call.deadline:
                break
            peer = self._choose(call, service, tried, now)
            if peer is None:
                break
            if sends and not self._budget.spend(service, self._node_count()):
                break
            tried.add(peer.record.node)
            last = self._offer(call, service, peer, watch, now)
            if last.verdict is Verdict.ANSWERED:
                return Reply(
                    last.status,
                    last.head,
                    last.body,
                    service=service,
                    node=peer.record.node,
                    sends=sends + 1,
                )
            if _reached_target(last):
                sends += 1
            if last.verdict is Verdict.UNKNOWN:
                unknown = last
            if not self._may_try_again(call, last, sends):
                break
        return self._conclude(call, service, unknown or last, sends)

    def _choose(
        self, call: Call, service: str, tried: set[str], now: timedelta
    ) -> Peer | None:
        own = self._own()
        peers = self._directory.peers_of(service)
        if own.service == service:
            self._local.record = own
            peers = [self._local, *peers]
        return choose_peer(peers, own.zone, tried, now, len(call.body))

    def _offer(
        self, call: Call, service: str, peer: Peer, watch: Watch, now: timedelta
    ) -> Delivery:
        remaining = call.deadline - now
        route = call.route
        order = Order(
            service,
            call.head,
            call.body,
            call.attempt,
            route.repeatable,
            remaining,
            self._wait_left(call, remaining, now),
            call.rank,
            self._version(),
        )
        peer.note_sent()
        try:
            if peer is self._local:
                delivery = self._deliver_locally(order, watch)
            else:
                delivery = self._deliver_remotely(peer.record.address, order, watch)
        finally:
            peer.note_done()
        self._learn(call, peer, service, delivery, self._clock.monotonic() - now)
        return delivery

    def _wait_left(self, call: Call, remaining: timedelta, now: timedelta) -> timedelta:
        """Return how long a call may still wait, at all targets together."""
        if call.rank.depth:
            return remaining * _INNER_WAIT_SHARE
        left = call.route.objective * _WAIT_SHARE - (now - call.arrived)
        return max(timedelta(), min(remaining, left))

    def _learn(
        self,
        call: Call,
        peer: Peer,
        service: str,
        delivery: Delivery,
        took: timedelta,
    ) -> None:
        self._metrics.note_delivery(delivery)
        if delivery.load == NO_LOAD:
            # A node that lives judges each order, at its deadline at the latest.
            if delivery.reason in (Reason.UNREACHABLE, Reason.TIMED_OUT):
                if peer.note_unreachable():
                    self._on_unreachable(peer.record)
            return
        peer.note_load(delivery.load)
        if call.parent is not None:
            call.parent.note_call(service, delivery.load.level, took)
        if not call.rank.depth:
            self._levels.note(call.route.name, delivery.load.level)
        if delivery.verdict is Verdict.ANSWERED and delivery.status < 500:
            peer.note_success()
        elif delivery.reason in (Reason.BROKEN, Reason.TARGET_REFUSED):
            peer.note_fault()
        elif delivery.reason is Reason.LEAVING:
            peer.note_closed()
        if delivery.load.version > self._version():
            self._on_newer_version(delivery.load.version, peer.record.address)

    def _may_try_again(self, call: Call, last: Delivery, sends: int) -> bool:
        if last.reason in (Reason.CALLER_GONE, Reason.TIMED_OUT):
            return False
        if sends >= call.route.max_targets:
            return False
        return last.verdict is Verdict.NOT_RUN or call.route.repeatable

    def _conclude(self, call: Call, service: str, last: Delivery, sends: int) -> Reply:
        if last.verdict is Verdict.UNKNOWN:
            late = last.reason is Reason.TIMED_OUT
            status = HTTPStatus.GATEWAY_TIMEOUT if late else HTTPStatus.BAD_GATEWAY
            return Reply(
                status,
                reason=last.reason,
                detail=last.detail,
                service=service,
                sends=sends,
            )
        after = last.not_before or _NO_TARGET_RETRY
        after = min(max(after, _LEAST_RETRY), _MOST_RETRY) * random.uniform(0.8, 1.2)
        return _refuse(last.reason, after, last.detail, service, sends)

    def _node_count(self) -> int:
        return len(self._directory.peers()) + 1


def _reached_target(delivery: Delivery) -> bool:
    if delivery.verdict is Verdict.UNKNOWN:
        return True
    return delivery.reason is Reason.TARGET_REFUSED


def _refuse(
    reason: Reason, after: timedelta, detail: str, service: str, sends: int
) -> Reply:
    return Reply(
        HTTPStatus.SERVICE_UNAVAILABLE,
        retry_after=after,
        reason=reason,
        detail=detail,
        service=service,
        sends=sends,
    )
