"""Messages between nodes: forwarded requests, and the results of forwarding them.

A `ForwardRequest` carries one call to the node of a target. A `ForwardResult` reports
its outcome: answered by the target, certainly not run, or unknown. Both are sent as
msgpack arrays; the first element of each frame between nodes is its kind.

The classes of which an object is made for each call have constructors of their own:
compiled, the one generated for a frozen data class takes 20 times as long. Their
objects are not changed all the same.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import IntEnum
from typing import Any

from .frame_kind import FrameKind
from .load import NO_LOAD, Load, ServiceUsage
from .memory import Reservation
from .rank import Rank

__all__ = [
    "NO_LOAD",
    "ForwardRequest",
    "ForwardResult",
    "FrameKind",
    "Load",
    "Reason",
    "ServiceUsage",
    "Verdict",
]

_MICROSECOND = timedelta(microseconds=1)
_NO_TIME = timedelta()
_LOAD_FIELDS = 5  # of a result without the extension


class Verdict(IntEnum):
    """The outcome of a call that was forwarded."""

    ANSWERED = 0
    NOT_RUN = 1
    UNKNOWN = 2


class Reason(IntEnum):
    """The reason why the target did not answer a call."""

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
    CRASHED = 10
    QUARANTINED = 11
    UNIDENTIFIED = 12
    OVER_RATE = 13
    UNCONFIRMED = 14


# Calling an enumeration costs several times as much as a look-up.
_VERDICTS = {each.value: each for each in Verdict}
_REASONS = {each.value: each for each in Reason}


@dataclass(init=False)
class ForwardRequest:
    """One call to a service, sent to the node of a target.

    `head` lacks the header lines that the last hop adds. `remaining` is the time
    left until the deadline, `max_wait` the time the call may be queued. `crashes` is
    the number of targets that crashed while they ran it, at least 1 if one did during a
    recent call of the same request. `extended` is whether the sender reads the
    extension of a result; nodes of an earlier release do not. `number` is that of the
    exchange, which its result has as well; 0 from an earlier release.
    """

    service: str
    head: bytes
    body: bytes
    attempt: bytes | None
    idempotent: bool
    remaining: timedelta
    max_wait: timedelta
    rank: Rank
    version: int
    crashes: int
    extended: bool
    number: int

    def __init__(
        self,
        service: str,
        head: bytes,
        body: bytes,
        attempt: bytes | None,
        idempotent: bool,
        remaining: timedelta,
        max_wait: timedelta,
        rank: Rank,
        version: int,
        crashes: int = 0,
        extended: bool = True,
        number: int = 0,
    ) -> None:
        self.service = service
        self.head = head
        self.body = body
        self.attempt = attempt
        self.idempotent = idempotent
        self.remaining = remaining
        self.max_wait = max_wait
        self.rank = rank
        self.version = version
        self.crashes = crashes
        self.extended = extended
        self.number = number

    def pack(self, number: int = 0) -> list[Any]:
        """Encode the request as a frame, with the number of the exchange."""
        return [
            FrameKind.FORWARD,
            self.service,
            self.head,
            self.body,
            self.attempt,
            self.idempotent,
            self.remaining // _MICROSECOND,
            self.max_wait // _MICROSECOND,
            *self.rank,
            self.version,
            # Nodes of an earlier release ignore what follows.
            self.crashes,
            self.extended,
            number,
        ]

    @classmethod
    def unpack(cls, frame: list[Any]) -> ForwardRequest:
        """Decode a request from a frame; raises ValueError or TypeError if invalid."""
        (
            _,
            service,
            head,
            body,
            attempt,
            idempotent,
            remaining,
            max_wait,
            root,
            depth,
            version,
            *optional,
        ) = frame
        return cls(
            service,
            head,
            body,
            attempt,
            idempotent,
            remaining * _MICROSECOND,
            max_wait * _MICROSECOND,
            Rank(root, depth),
            version,
            optional[0] if optional else 0,
            bool(optional[1]) if len(optional) > 1 else False,
            _check_count(optional[2]) if len(optional) > 2 else 0,
        )


@dataclass(init=False)
class ForwardResult:
    """The outcome of a forwarded request.

    `head` lacks the empty line at its end. `retry_after` is the time after which the
    target may admit a call that was not run. `usage` is what the call and its nested
    calls asked of services other than its own. `reports_usage` is false if the node of
    the target does not report it. `number` is that of the request.
    A large response holds memory until the result is released.
    """

    verdict: Verdict
    reason: Reason
    status: int
    head: bytes
    body: bytes
    retry_after: timedelta
    detail: str
    load: Load
    usage: tuple[ServiceUsage, ...]
    reports_usage: bool
    number: int
    reservation: Reservation | None

    def __init__(
        self,
        verdict: Verdict,
        reason: Reason = Reason.NONE,
        status: int = 0,
        head: bytes = b"",
        body: bytes = b"",
        retry_after: timedelta = _NO_TIME,
        detail: str = "",
        load: Load = NO_LOAD,
        usage: tuple[ServiceUsage, ...] = (),
        reports_usage: bool = True,
        number: int = 0,
        reservation: Reservation | None = None,
    ) -> None:
        self.reservation = reservation
        self.verdict = verdict
        self.reason = reason
        self.status = status
        self.head = head
        self.body = body
        self.retry_after = retry_after
        self.detail = detail
        self.load = load
        self.usage = usage
        self.reports_usage = reports_usage
        self.number = number

    def release(self) -> None:
        """Release the memory of the response, once it is not used."""
        if self.reservation is not None:
            self.reservation.close()

    def has_crashed_target(self) -> bool:
        """Return whether the target crashed while it ran the call.

        A call whose crash put its request into quarantine has the reason of that.
        """
        crashed = self.reason in (Reason.CRASHED, Reason.QUARANTINED)
        return crashed and self.verdict is Verdict.UNKNOWN

    def with_load(self, load: Load, usage: tuple[ServiceUsage, ...]) -> ForwardResult:
        """Return the result with the load and the usage to report."""
        # Made for each call, which `dataclasses.replace` takes twice as long for.
        return ForwardResult(
            self.verdict,
            self.reason,
            self.status,
            self.head,
            self.body,
            self.retry_after,
            self.detail,
            load,
            usage,
            self.reports_usage,
            reservation=self.reservation,
        )

    def pack(self, extended: bool, number: int = 0) -> list[Any]:
        """Encode the result as a frame, `extended` and with `number` of its request."""
        load = self.load
        frame = [
            FrameKind.RESULT,
            self.verdict,
            self.reason,
            self.status,
            self.head,
            self.body,
            self.retry_after // _MICROSECOND,
            self.detail,
            load.in_flight,
            load.limit,
            load.level,
            load.version,
            load.leaving,
        ]
        if extended:
            usage = [[each.service, each.calls, each.rejections] for each in self.usage]
            wait_us = load.queue_wait // _MICROSECOND if load.queue_wait else 0
            time_us = load.call_time // _MICROSECOND if load.call_time else 0
            frame.append([wait_us, time_us, usage, number])
        return frame

    @classmethod
    def unpack(cls, frame: list[Any]) -> ForwardResult:
        """Decode a result from a frame; raises ValueError or TypeError if invalid."""
        kind, verdict, reason, status, head, body, retry_after, detail, *load = frame
        if kind != FrameKind.RESULT:
            raise ValueError(f"not a result: {kind!r}")
        in_flight, limit, level, version, leaving = load[:_LOAD_FIELDS]
        queue_wait = call_time = _NO_TIME
        usage: tuple[ServiceUsage, ...] = ()
        number = 0
        if len(load) > _LOAD_FIELDS:
            wait_us, time_us, entries, *optional = load[_LOAD_FIELDS]
            if optional:
                number = _check_count(optional[0])
            if wait_us:
                queue_wait = _check_count(wait_us) * _MICROSECOND
            if time_us:
                call_time = _check_count(time_us) * _MICROSECOND
            if entries:
                usage = tuple(_unpack_usage(*each) for each in entries)
        return cls(
            _find_verdict(verdict),
            _find_reason(reason),
            status,
            head,
            body,
            retry_after * _MICROSECOND,
            detail,
            Load(in_flight, limit, level, version, leaving, queue_wait, call_time),
            usage,
            len(load) > _LOAD_FIELDS,
            number,
        )


def _find_verdict(value: Any) -> Verdict:
    verdict = _VERDICTS.get(value)
    return Verdict(value) if verdict is None else verdict


def _find_reason(value: Any) -> Reason:
    reason = _REASONS.get(value)
    return Reason(value) if reason is None else reason


def _unpack_usage(service: Any, calls: Any, rejections: Any) -> ServiceUsage:
    if not isinstance(service, str):
        raise TypeError(f"not the name of a service: {service!r}")
    return ServiceUsage(service, _check_count(calls), _check_count(rejections))


def _check_count(value: Any) -> int:
    if not isinstance(value, int) or value < 0:
        raise ValueError(f"not a count: {value!r}")
    return value
