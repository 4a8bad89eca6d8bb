"""What one node asks of the node beside a target, and what it is told.

An `Order` hands one call over. A `Delivery` says what became of it: answered by
the target, surely not run, or unknown. Both travel as msgpack arrays; frames
between nodes begin with their kind.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import IntEnum
from typing import Any

from ..calls import RANKS
from .rank import Rank

__all__ = [
    "NO_LOAD",
    "Delivery",
    "FrameKind",
    "Load",
    "Order",
    "Reason",
    "Verdict",
]

_MICROSECOND = timedelta(microseconds=1)


class FrameKind(IntEnum):
    """What a frame between nodes holds."""

    ORDER = 1
    DELIVERY = 2
    HELLO = 3
    SNAPSHOT = 4


class Verdict(IntEnum):
    """What is known of a call that was handed over."""

    ANSWERED = 0
    NOT_RUN = 1
    UNKNOWN = 2


class Reason(IntEnum):
    """Why a call was not answered by the target."""

    NONE = 0
    NO_TARGET = 1
    LEAVING = 2
    NO_ROOM = 3
    TARGET_REFUSED = 4
    TIMED_OUT = 5
    CALLER_GONE = 6
    BROKEN = 7
    UNREACHABLE = 8
    OTHER_SERVICE = 9


@dataclass(frozen=True)
class Load:
    """What a node tells of its target with each delivery.

    `in_flight` counts the calls at the target and in the queue, `limit` those
    that it works on at once. `level` is the admission level there, or the lowest
    that the call's own calls met. `version` is the configuration in force there.
    """

    in_flight: int = 0
    limit: int = 0
    level: int = RANKS
    version: int = 0
    leaving: bool = False


NO_LOAD = Load()  # what is known of a node that has told nothing


@dataclass(frozen=True)
class Order:
    """One call for the target beside another node.

    `head` lacks what the last hop adds. `remaining` is the time that is left
    for the answer, `longest_wait` that for admission.
    """

    service: str
    head: bytes
    body: bytes
    attempt: bytes | None
    repeatable: bool
    remaining: timedelta
    longest_wait: timedelta
    rank: Rank
    version: int

    def pack(self) -> list[Any]:
        """Return the order as a frame."""
        return [
            FrameKind.ORDER,
            self.service,
            self.head,
            self.body,
            self.attempt,
            self.repeatable,
            self.remaining // _MICROSECOND,
            self.longest_wait // _MICROSECOND,
            *self.rank,
            self.version,
        ]

    @classmethod
    def unpack(cls, frame: list[Any]) -> Order:
        """Return the order in a frame."""
        _, service, head, body, attempt, again, remaining, wait, root, depth, v = frame
        return cls(
            service,
            head,
            body,
            attempt,
            again,
            remaining * _MICROSECOND,
            wait * _MICROSECOND,
            Rank(root, depth),
            v,
        )


@dataclass(frozen=True)
class Delivery:
    """What became of an order.

    `head` lacks its last line. `not_before` says when there may be room for a
    call that was not run.
    """

    verdict: Verdict
    reason: Reason = Reason.NONE
    status: int = 0
    head: bytes = b""
    body: bytes = b""
    not_before: timedelta = timedelta()
    detail: str = ""
    load: Load = NO_LOAD

    def pack(self) -> list[Any]:
        """Return the delivery as a frame."""
        load = self.load
        return [
            FrameKind.DELIVERY,
            self.verdict,
            self.reason,
            self.status,
            self.head,
            self.body,
            self.not_before // _MICROSECOND,
            self.detail,
            load.in_flight,
            load.limit,
            load.level,
            load.version,
            load.leaving,
        ]

    @classmethod
    def unpack(cls, frame: list[Any]) -> Delivery:
        """Return the delivery in a frame."""
        _, verdict, reason, status, head, body, not_before, detail, *load = frame
        return cls(
            Verdict(verdict),
            Reason(reason),
            status,
            head,
            body,
            not_before * _MICROSECOND,
            detail,
            Load(*load),
        )
