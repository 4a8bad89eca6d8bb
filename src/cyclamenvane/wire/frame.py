"""The frames that nodes and embedded callers exchange on a stream.

Each frame is a frozen dataclass. On the stream it is one msgpack array: the
frame's code, then its fields in order. Frames of one call carry its number,
which the side that opened the stream chose. Remaining time travels as a
duration in microseconds, never as a time of day.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "AbortFrame",
    "AnswerFrame",
    "AskFrame",
    "CancelFrame",
    "ChunkFrame",
    "CreditFrame",
    "Frame",
    "HelloFrame",
    "ChallengeFrame",
    "PingFrame",
    "PongFrame",
    "ProofFrame",
    "ReplyFrame",
    "RequestFrame",
    "WelcomeFrame",
]


@dataclass(frozen=True, slots=True)
class HelloFrame:
    """First frame of the opening side: who it is, and a nonce."""

    role: str
    name: str
    nonce: bytes


@dataclass(frozen=True, slots=True)
class ChallengeFrame:
    """First frame of the accepting side: its nonce, and proof of the key."""

    nonce: bytes
    proof: bytes


@dataclass(frozen=True, slots=True)
class ProofFrame:
    """The opening side's proof of the key."""

    proof: bytes


@dataclass(frozen=True, slots=True)
class WelcomeFrame:
    """The accepting side takes the stream into use; names its session."""

    session: str


@dataclass(frozen=True, slots=True)
class RequestFrame:
    """A request with the first part of its body; `more` announces chunks.

    `length` is the body's size in bytes, or -1 when it is not known.
    """

    call: int
    service: str
    method: str
    path: str
    headers: tuple
    body: bytes
    more: bool
    length: int
    remaining_us: int
    token: str
    allowance: int
    request_id: str
    key: str
    session: str


@dataclass(frozen=True, slots=True)
class AnswerFrame:
    """An answer with the first part of its body and the node's report."""

    call: int
    status: int
    headers: tuple
    body: bytes
    more: bool
    length: int
    outcome: int
    refusal: int
    unused: int
    level: int
    own_level: int
    retried: bool
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class ChunkFrame:
    """A further part of a body; `more` is false on the last."""

    call: int
    data: bytes
    more: bool


@dataclass(frozen=True, slots=True)
class CreditFrame:
    """The receiver of a body has taken `amount` bytes and has room again."""

    call: int
    amount: int


@dataclass(frozen=True, slots=True)
class AbortFrame:
    """The sender of a body gives it up; the body is not whole."""

    call: int


@dataclass(frozen=True, slots=True)
class CancelFrame:
    """Nobody waits for the answer to this call any longer."""

    call: int


@dataclass(frozen=True, slots=True)
class PingFrame:
    """Asks the other side for a sign of life."""

    number: int


@dataclass(frozen=True, slots=True)
class PongFrame:
    """Answers the ping of the same number."""

    number: int


@dataclass(frozen=True, slots=True)
class AskFrame:
    """A question between nodes that is no call to a target."""

    call: int
    topic: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class ReplyFrame:
    """The reply to the question of the same number."""

    call: int
    found: bool
    payload: bytes


Frame = (
    HelloFrame
    | ChallengeFrame
    | ProofFrame
    | WelcomeFrame
    | RequestFrame
    | AnswerFrame
    | ChunkFrame
    | CreditFrame
    | AbortFrame
    | CancelFrame
    | PingFrame
    | PongFrame
    | AskFrame
    | ReplyFrame
)
