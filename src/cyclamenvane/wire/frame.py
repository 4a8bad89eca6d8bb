"""The frames that nodes and embedded callers exchange on a stream.

Each frame is a frozen dataclass, encoded as one msgpack array: the frame's code
followed by its fields in order. Frames of one call carry its number, which the
client side assigns. The remaining time is sent as a duration in microseconds,
never as a time of day.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "AbortFrame",
    "CancelFrame",
    "ChallengeFrame",
    "ChunkFrame",
    "CreditFrame",
    "Frame",
    "HelloFrame",
    "PingFrame",
    "PongFrame",
    "ProofFrame",
    "QueryFrame",
    "QueryReplyFrame",
    "RequestFrame",
    "ResponseFrame",
    "WelcomeFrame",
]


@dataclass(frozen=True, slots=True)
class HelloFrame:
    """First frame of the client: its role and name, and a nonce."""

    role: str
    name: str
    nonce: bytes


@dataclass(frozen=True, slots=True)
class ChallengeFrame:
    """First frame of the server: its nonce and its proof of the key."""

    nonce: bytes
    proof: bytes


@dataclass(frozen=True, slots=True)
class ProofFrame:
    """The client's proof of the key."""

    proof: bytes


@dataclass(frozen=True, slots=True)
class WelcomeFrame:
    """Completes the handshake; carries the server's session ID."""

    session: str


@dataclass(frozen=True, slots=True)
class RequestFrame:
    """A request with the first part of its body; `more` if chunks follow.

    `length` is the body size in bytes, or -1 if unknown.
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
class ResponseFrame:
    """A response with the first part of its body and the node's report.

    `more` and `length` are as in `RequestFrame`.
    """

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
    target_level: int
    retried: bool
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class ChunkFrame:
    """A further part of a body; `more` is false in the last one."""

    call: int
    data: bytes
    more: bool


@dataclass(frozen=True, slots=True)
class CreditFrame:
    """Grants the sender of a body `amount` more chunks."""

    call: int
    amount: int


@dataclass(frozen=True, slots=True)
class AbortFrame:
    """The sender aborts a body; the body is incomplete."""

    call: int


@dataclass(frozen=True, slots=True)
class CancelFrame:
    """Cancels a call; its response is no longer needed."""

    call: int


@dataclass(frozen=True, slots=True)
class PingFrame:
    """Keepalive probe; the peer responds with a `PongFrame`."""

    number: int


@dataclass(frozen=True, slots=True)
class PongFrame:
    """Response to the ping of the same number."""

    number: int


@dataclass(frozen=True, slots=True)
class QueryFrame:
    """A query to a node on a topic, as opposed to a call to a target."""

    call: int
    topic: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class QueryReplyFrame:
    """The reply to the query of the same number."""

    call: int
    found: bool
    payload: bytes


Frame = (
    HelloFrame
    | ChallengeFrame
    | ProofFrame
    | WelcomeFrame
    | RequestFrame
    | ResponseFrame
    | ChunkFrame
    | CreditFrame
    | AbortFrame
    | CancelFrame
    | PingFrame
    | PongFrame
    | QueryFrame
    | QueryReplyFrame
)
