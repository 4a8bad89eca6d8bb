"""Dispatch of calls to targets, on the node where a call starts.

Root calls may be refused here, before any work is done for them. A call that is
not refused is sent to targets one after another: to the next target if the call
was certainly not run, or if its outcome is unknown and the call is idempotent. A call
during which a target crashed is sent to one further target, as a suspect of the
quarantine, and so are calls of the same request that come soon after. Retries are
limited by the retry budget that all nodes share.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from http import HTTPStatus
from typing import TYPE_CHECKING

from .attempts import Attempts
from .call import Call, CallResult
from .crashed_calls import CrashedCalls
from .directory import Peer, PeerDirectory
from .forward import NO_LOAD, ForwardRequest, ForwardResult, Reason, Verdict
from .outlier import record_outcome
from .placement import record_cost, select_peer, select_service
from .rank import Rank
from .response_size import ResponseSizes

if TYPE_CHECKING:
    from ..clock import Clock
    from ..shedding import LoadShedder
    from .account_rates import AccountRates
    from .budget import RetryBudget
    from .levels import RouteLevels
    from .metric import Metrics
    from .model import Address, NodeRecord
    from .shutdown import Shutdown
    from .watch import Watch

__all__ = ["Dispatcher"]

# Share of the target latency. After a longer wait, another target or a resend by the
# caller is faster.
_ROOT_WAIT_SHARE = 0.5
# Share of the remaining time. Larger for nested calls, because work has already
# been done for their call tree.
_NESTED_WAIT_SHARE = 0.8
_MIN_RETRY_AFTER = timedelta(milliseconds=100)
_MAX_RETRY_AFTER = timedelta(seconds=2)
# A target's own admission level takes a few seconds to recover from an overload; an
# earlier resend is refused again. (A level reported to this node recovers within
# `LEVEL_HOLD_TIME` and `LEVEL_RECOVERY_TIME` of admission.level, without new reports.)
# Callers cap Retry-After at a third of their remaining time.
_OVERLOAD_RETRY_AFTER = timedelta(milliseconds=1500)
_DEFAULT_RETRY_AFTER = timedelta(milliseconds=500)  # one or two heartbeats
_NOT_SENT = ForwardResult(Verdict.NOT_RUN, Reason.NO_TARGET)


class Dispatcher:
    """Sends calls to targets and returns their outcomes."""

    def __init__(
        self,
        local_record: Callable[[], NodeRecord],
        directory: PeerDirectory,
        execute_locally: Callable[[ForwardRequest, Watch], ForwardResult],
        forward_to_peer: Callable[[Address, ForwardRequest, Watch], ForwardResult],
        budget: RetryBudget,
        levels: RouteLevels,
        clock: Clock,
        metrics: Metrics,
        get_version: Callable[[], int],
        on_newer_version: Callable[[int, Address], None],
        on_unreachable: Callable[[NodeRecord], None],
        shedder: LoadShedder,
        account_rates: AccountRates | None = None,
    ) -> None:
        self._account_rates = account_rates
        self._local_record = local_record
        self._directory = directory
        self._execute_locally = execute_locally
        self._forward_to_peer = forward_to_peer
        self._budget = budget
        self._levels = levels
        self._clock = clock
        self._metrics = metrics
        self._get_version = get_version
        self._on_newer_version = on_newer_version
        self._on_unreachable = on_unreachable
        self._shedder = shedder
        self.shutdown: Shutdown | None = None  # set once the node stops
        self._local_peer = Peer(local_record(), clock)
        self._response_sizes = ResponseSizes()
        self._crashed_calls = CrashedCalls(clock)

    def serve(self, call: Call, watch: Watch) -> CallResult:
        """Process a call and return its outcome; blocks until it is known."""
        if not call.route.shares:
            detail = "the route could not be decoded"
            return _refuse(Reason.NO_TARGET, _MAX_RETRY_AFTER, detail, "", 0)
        service = select_service(call.route, random.random())
        if self.shutdown is not None:
            if not self.shutdown.admits(call, self._clock.monotonic()):
                detail = "the node is stopping"
                return _refuse(Reason.LEAVING, _MIN_RETRY_AFTER, detail, service, 0)
            call = self.shutdown.limit(call)
        if not call.rank.depth:
            if call.account is not None:
                rank = self._shedder.offset_rank(
                    call.account.name, call.rank.root, call.tiers
                )
                # Copying a call is slow, and few accounts use more than their rate.
                if rank != call.rank.root:
                    call = replace(call, rank=Rank(rank, 0))
            refusal = self._refuse_if_overloaded(call, service)
            if refusal is not None:
                return refusal
        if call.account is not None and self._account_rates is not None:
            return self._account_rates.serve(call, service, watch, self._try_targets)
        return self._try_targets(call, service, watch)

    def _refuse_if_overloaded(self, call: Call, service: str) -> CallResult | None:
        rank = call.rank.root
        shortage = self._shedder.check(
            call.route.name, service, rank, self._node_count()
        )
        level = self._levels.level(call.route.name)
        if rank >= level:
            retry_after = _OVERLOAD_RETRY_AFTER * random.uniform(0.5, 1.5)
            detail = f"root rank {rank} is not below admission level {level}"
            return _refuse(Reason.NO_ROOM, retry_after, detail, service, 0)
        if shortage is None:
            return None
        self._metrics.record_shed(shortage.service)
        return _refuse(
            Reason.NO_ROOM, shortage.retry_after, shortage.describe(rank), service, 0
        )

    def _try_targets(self, call: Call, service: str, watch: Watch) -> CallResult:
        nodes = self._node_count()
        attempts = Attempts(call, service, nodes, self._budget, self._shedder)
        result = _NOT_SENT
        is_suspect = self._crashed_calls.contains(call.head, call.body)
        while attempts.may_send_again(result):
            now = self._clock.monotonic()
            if now >= call.deadline:
                break
            peer = self._select_peer(call, service, attempts.tried, now)
            if peer is None and attempts.allow_rejecting():
                peer = self._select_peer(call, service, attempts.tried, now)
            if peer is None or not attempts.spend(result):
                break
            crashes = max(attempts.crashes, int(is_suspect))
            result = self._forward_call(call, service, peer, crashes, watch, now)
            attempts.add(peer.record.node, result)
            if result.verdict is Verdict.ANSWERED:
                attempts.report(result)
                self._response_sizes.update(call.route.name, len(result.body))
                return CallResult(
                    result.status,
                    result.head,
                    result.body,
                    service=service,
                    node=peer.record.node,
                    sends=attempts.sends,
                    reservation=result.reservation,
                )
        attempts.report(result)
        result = attempts.last_unknown or result
        return self._make_failure_result(call, service, result, attempts.sends)

    def _list_peers(self, service: str) -> list[Peer]:
        record, peers = self._local_record(), self._directory.peers_of(service)
        if record.service != service:
            return peers
        if record is not self._local_peer.record:
            self._local_peer.replace_record(record)
        return [self._local_peer, *peers]

    def _select_peer(
        self, call: Call, service: str, tried: set[str], now: timedelta
    ) -> Peer | None:
        record, peers = self._local_record(), self._list_peers(service)
        body_bytes = len(call.body) + self._response_sizes.mean(call.route.name)
        costs = self._directory.speeds.of(service)
        return select_peer(
            peers, record.zone, tried, now, body_bytes, costs, call.route
        )

    def _forward_call(
        self,
        call: Call,
        service: str,
        peer: Peer,
        crashes: int,
        watch: Watch,
        now: timedelta,
    ) -> ForwardResult:
        remaining = call.deadline - now
        route = call.route
        request = ForwardRequest(
            service,
            call.head,
            call.body,
            call.attempt,
            route.idempotent,
            remaining,
            self._max_wait(call, remaining, now),
            call.rank,
            self._get_version(),
            crashes,
        )
        peer.record_sent()
        try:
            if peer is self._local_peer:
                result = self._execute_locally(request, watch)
            else:
                result = self._forward_to_peer(peer.record.address, request, watch)
        finally:
            peer.record_done()
        ended = self._clock.monotonic()
        if call.parent is not None:
            call.parent.nested_time.add(now.total_seconds(), ended.total_seconds())
        self._update_state(call, peer, service, result, ended - now, ended)
        return result

    def _max_wait(self, call: Call, remaining: timedelta, now: timedelta) -> timedelta:
        """Return how long a call may still be queued.

        For root calls this is the total over all targets, for nested calls the limit
        of each attempt.
        """
        if call.rank.depth:
            return remaining * _NESTED_WAIT_SHARE
        left = call.route.target_latency * _ROOT_WAIT_SHARE - (now - call.arrived)
        return max(timedelta(), min(remaining, left))

    def _update_state(
        self,
        call: Call,
        peer: Peer,
        service: str,
        result: ForwardResult,
        duration: timedelta,
        now: timedelta,
    ) -> None:
        self._metrics.record_forward(result)
        # The limit first, since comparing all fields is slow.
        if not result.load.limit and result.load == NO_LOAD:
            # A running node answers each forwarded request, at its deadline at the
            # latest. So a time-out without a load report also means that the node is
            # unreachable.
            if result.reason in (Reason.UNREACHABLE, Reason.TIMED_OUT):
                if peer.record_unreachable():
                    self._on_unreachable(peer.record)
            return
        peer.update_load(result.load, now)
        record_cost(self._directory.speeds, peer, call.route, result, duration)
        failures = self._directory.failures_of(service)
        record_outcome(failures, lambda: self._list_peers(service), peer, result, now)
        if call.parent is not None:
            call.parent.add_nested_call(service, result.load.level)
        if not call.rank.depth:
            self._levels.update(call.route.name, result.load.level)
        if result.verdict is Verdict.ANSWERED and result.status < 500:
            peer.record_success()
            self._crashed_calls.remove(call.head, call.body)
        elif result.reason in (Reason.BROKEN, Reason.TARGET_REFUSED):
            peer.record_fault()
        elif result.has_crashed_target():
            peer.record_fault()
            self._crashed_calls.add(call.head, call.body)
        elif result.reason is Reason.LEAVING:
            peer.record_not_serving()
        if result.load.version > self._get_version():
            self._on_newer_version(result.load.version, peer.record.address)

    def _make_failure_result(
        self, call: Call, service: str, result: ForwardResult, sends: int
    ) -> CallResult:
        if result.verdict is Verdict.UNKNOWN:
            late = result.reason is Reason.TIMED_OUT
            status = HTTPStatus.GATEWAY_TIMEOUT if late else HTTPStatus.BAD_GATEWAY
            return CallResult(
                status,
                reason=result.reason,
                detail=result.detail,
                service=service,
                sends=sends,
            )
        retry_after = result.retry_after or _DEFAULT_RETRY_AFTER
        retry_after = min(
            max(retry_after, _MIN_RETRY_AFTER), _MAX_RETRY_AFTER
        ) * random.uniform(0.8, 1.2)
        return _refuse(result.reason, retry_after, result.detail, service, sends)

    def _node_count(self) -> int:
        return len(self._directory.peers()) + 1


def _refuse(
    reason: Reason, retry_after: timedelta, detail: str, service: str, sends: int
) -> CallResult:
    return CallResult(
        HTTPStatus.SERVICE_UNAVAILABLE,
        retry_after=retry_after,
        reason=reason,
        detail=detail,
        service=service,
        sends=sends,
    )
