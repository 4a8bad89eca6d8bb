"""The sends of one call: whether it may be sent again, and what they have used.

A target that rejects a call has not run it, and often rejects at random. So a rejected
call may be sent to more targets than one that targets have run or may have run.
"""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import TYPE_CHECKING

from .forward import ForwardResult, Reason, ServiceUsage, Verdict
from .quarantine import CRASH_LIMIT

if TYPE_CHECKING:
    from ..shedding import LoadShedder
    from .budget import RetryBudget
    from .call import Call

__all__ = ["Attempts"]

# Limits all further nodes that a call is sent to and that do not reject it. Only
# attempts after the call has reached a target cost retry budget.
_MAX_FURTHER_NODES = 4
# If each target rejects a call with a probability of 0.55, fewer than one call in a
# hundred is rejected this often.
_MAX_REJECTIONS = 8
# After these the call is not sent to any further target. Other nodes of the service
# have been told of a quarantined request.
_FINAL_REASONS = Reason.CALLER_GONE, Reason.TIMED_OUT, Reason.QUARANTINED


class Attempts:
    """The sends of one call so far, and what they cost of the retry budget."""

    def __init__(
        self,
        call: Call,
        service: str,
        nodes: int,
        budget: RetryBudget,
        shedder: LoadShedder,
    ) -> None:
        self._call = call
        self._route = call.route
        self._service = service
        self._nodes = nodes
        self._budget = budget
        self._shedder = shedder
        self.tried: set[str] = set()
        self.sends = 0  # that reached a target
        self.crashes = 0
        self.last_unknown: ForwardResult | None = None
        self._usage: tuple[ServiceUsage, ...] = ()
        self._executions = 0
        self._rejections = 0
        self._rejections_first = 0  # before the call may have been run
        self._other_results = 0
        self._rejecting: set[str] = set()
        self._nested: Mapping[str, float] | None = None
        self._spent_at = timedelta()  # of the nested calls
        budget.add_call(service, nodes)

    def add(self, node: str, result: ForwardResult) -> None:
        """Add the result of sending the call to a node."""
        self.tried.add(node)
        if result.usage:
            self._usage += result.usage
        if result.verdict is Verdict.NOT_RUN:
            if self._nested:
                self._budget.return_nested(self._nested, self._spent_at)
            if result.reason is Reason.TARGET_REFUSED:
                self._add_rejection(node)
            else:
                self._other_results += 1
            return
        self._other_results += 1
        self._executions += 1
        self.sends += 1
        if result.verdict is Verdict.UNKNOWN:
            self.last_unknown = result
        if result.has_crashed_target():
            self.crashes += 1

    def spend(self, result: ForwardResult) -> bool:
        """Take what the next send costs from the retry budget, if it is a retry.

        `result` is that of the send before. Return False if the budget is used up.
        """
        if not self.sends:
            return True
        service, nodes, rank = self._service, self._nodes, self._call.rank.root
        nested = self._shedder.retry_usage(self._route.name, service)
        if nested is None or result.reason is not Reason.TARGET_REFUSED:
            self._nested = None
            return self._budget.spend(service, nodes, rank)
        self._nested = nested
        rejecting = self._shedder.count_rejecting()
        reserve = self._shedder.reserve(service, rank)
        spent_at = self._budget.spend_rejected(
            service, nodes, rank, nested, rejecting, reserve
        )
        if spent_at is None:
            return False
        self._spent_at = spent_at
        return True

    def report(self, result: ForwardResult) -> None:
        """Report the usage of the call, once its last result is known."""
        call, usage = self._call, self._usage
        if usage:
            self._budget.add_usage(usage)
        if call.parent is not None:
            call.parent.add_usage(self._service, 1, self._rejections)
            for each in usage:
                call.parent.add_usage(each.service, each.calls, each.rejections)
        answered = result.verdict is Verdict.ANSWERED
        self._shedder.add_result(
            self._route.name,
            self._service,
            not call.rank.depth,
            self._executions,
            self._rejections,
            usage,
            answered and self._executions == 1 and result.reports_usage,
            answered and result.status < 500,
        )

    def may_send_again(self, result: ForwardResult) -> bool:
        """Return whether the call may be sent to another target after a result."""
        if not self._other_results and not self._rejections:
            return True
        if result.reason in _FINAL_REASONS:
            return False
        if self.crashes >= CRASH_LIMIT or self._other_results > _MAX_FURTHER_NODES:
            return False
        if self._rejections >= _MAX_REJECTIONS:
            return False
        if self.sends - self._rejections_first >= max(1, self._route.max_targets):
            return False
        return result.verdict is Verdict.NOT_RUN or self._route.idempotent

    def allow_rejecting(self) -> bool:
        """Allow the targets that rejected the call again; return whether any did."""
        if not self._rejecting:
            return False
        self.tried -= self._rejecting
        self._rejecting.clear()
        return True

    def _add_rejection(self, node: str) -> None:
        self.sends += 1
        self._rejections += 1
        self._rejecting.add(node)
        if not self._executions:
            self._rejections_first += 1
