"""The refusal of a root call that is not admitted, and when to send it again."""

from __future__ import annotations

import random
from dataclasses import dataclass
from datetime import timedelta

__all__ = ["Shortage", "make_shortage"]

# A limit rises again within one or two seconds after the rejections have ended. A
# caller that resends gets another rank, so the fewer are admitted the longer it waits.
_MIN_RETRY_AFTER = timedelta(milliseconds=750)
_MAX_RETRY_AFTER = timedelta(seconds=3)


@dataclass(frozen=True)
class Shortage:
    """The reason why a root call is not admitted, and when it may be sent again."""

    service: str
    limit: int
    rejection_share: float
    retry_after: timedelta

    def describe(self, rank: int) -> str:
        """Return the detail of a refusal, for a root call of this rank."""
        return (
            f"root rank {rank} is not below limit {self.limit} of {self.service}, "
            f"whose targets reject {self.rejection_share:.0%} of the sends"
        )


def make_shortage(
    service: str, limit: int, rejection_share: float, admitted_share: float
) -> Shortage:
    """Return the reason of a refusal, with a time spread for each root call."""
    wait = min(_MAX_RETRY_AFTER, _MIN_RETRY_AFTER / max(admitted_share, 0.01))
    return Shortage(service, limit, rejection_share, wait * random.uniform(0.5, 1.5))
