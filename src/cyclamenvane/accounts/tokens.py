"""Requests for tokens and their answers, as nodes exchange them."""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta
from enum import IntEnum
from typing import Any

__all__ = ["TOKENS_KIND", "Grant", "Status", "TokenRequest"]

TOKENS_KIND = 8  # of the frames, as in `FrameKind`
_MICROSECOND = timedelta(microseconds=1)
_MAX_SHORT = 65_536.0
_MAX_WAIT_US = 2_000_000  # that a holder says


class Status(IntEnum):
    """How a node answers a request for tokens."""

    GRANTED = 0
    EMPTY = 1
    NOT_HOLDER = 2
    NOT_READY = 3  # has just started, or was suspended
    UNKNOWN_ACCOUNT = 4


@dataclass(frozen=True)
class TokenRequest:
    """A request for at most `amount` tokens of an account; fractions in a transfer.

    `number` is never used twice by one process of the sender, whose random number is
    `session`. `rate`, `burst` and `version` are of the configuration in force at the
    sender. A `transfer` goes to the holder of another zone, which forwards it to no
    other node. `level_share` is the fill level of the sender's bucket, from 0 to 1: the
    holder then gives at most half of what its own bucket holds above that level.
    `skipped` are nodes that should hold the bucket but did not answer the sender. A
    request without an account only asks whether the node answers.
    """

    sender: str
    number: int
    account: str = ""
    amount: float = 0
    rate: float = 0.0
    burst: float = 0.0
    version: int = 0
    transfer: bool = False
    skipped: tuple[str, ...] = ()
    session: int = 0
    level_share: float | None = None

    def pack(self) -> list[Any]:
        """Encode the request as a frame."""
        frame = [TOKENS_KIND, self.sender, self.session, self.number]
        if self.account:
            frame += [self.account, self.amount, _shorten(self.rate)]
            frame += [_shorten(self.burst), self.version, self.transfer, self.skipped]
            if self.level_share is not None:
                frame.append(round(self.level_share * 1000))
        return frame

    @classmethod
    def unpack(cls, frame: list[Any]) -> TokenRequest:
        """Decode a request; raises ValueError, TypeError or OverflowError."""
        _, sender, session, number, *fields = frame
        if not fields:
            return cls(str(sender), int(number), session=int(session))
        account, amount, rate, burst, version, transfer, skipped, *added = fields
        return cls(
            str(sender),
            int(number),
            str(account),
            _check_number(amount),
            _check_number(rate),
            _check_number(burst),
            int(version),
            bool(transfer),
            tuple(str(node) for node in skipped),
            int(session),
            # Absent in frames of earlier releases.
            min(1.0, _check_number(added[0]) / 1000) if added else None,
        )


@dataclass(frozen=True)
class Grant:
    """The answer to a request for tokens.

    `wait` is the time until a token will be available. `holder` is the node that
    should hold the bucket, if it is another one. `excess` is how far the use of the
    account is above its rate at that bucket, from 0 to 1.
    """

    status: Status
    tokens: float = 0
    wait: timedelta = timedelta()
    holder: str = ""
    excess: float = 0.0

    def pack(self) -> list[Any]:
        """Encode the answer as a frame."""
        return [
            TOKENS_KIND,
            self.status,
            self.tokens,
            self.wait // _MICROSECOND,
            self.holder,
            round(self.excess * 1000),
        ]

    @classmethod
    def unpack(cls, frame: list[Any]) -> Grant:
        """Decode an answer; raises ValueError, TypeError or OverflowError."""
        kind, status, tokens, wait, holder, excess, *_ = frame
        if kind != TOKENS_KIND:
            raise ValueError(f"not an answer to a request for tokens: {kind!r}")
        return cls(
            Status(status),
            _check_number(tokens),
            min(_check_number(wait), _MAX_WAIT_US) * _MICROSECOND,
            str(holder),
            min(_check_number(excess) / 1000, 1.0),
        )


def _shorten(value: float) -> float:
    """Return an integral value as an int, which takes one to three bytes, not nine."""
    return int(value) if value < _MAX_SHORT and value == int(value) else value


def _check_number(value: Any) -> float:
    number = float(value)
    if not math.isfinite(number) or number < 0:
        raise ValueError(f"not an amount: {value!r}")
    return number
