"""What callers and targets have observed, and when nodes were disturbed."""

from __future__ import annotations

import hashlib
import zlib
from dataclasses import dataclass, field

from cyclamenvane.mesh.message import Request

_BODY_BYTES = (40, 40, 3000, 60_000)


@dataclass(frozen=True)
class CallRecord:
    """One attempt of a caller; `status` is 0 if no response was complete."""

    attempt: str
    account: str  # of the key; empty without a known key
    key: str
    node: int
    path: str
    sent: float
    done: float
    status: int
    complete: bool  # whether the answer is the whole one to this request
    follows: bool = False  # whether it was sent behind another on its connection


@dataclass(frozen=True)
class AccountChange:
    """A version of the configuration, as of its acknowledgement by the store."""

    acknowledged: float
    rates: dict[str, float]  # burst is one second of the rate
    keys: dict[str, str]  # the account of each key


@dataclass(frozen=True)
class Disturbance:
    """A time in which a node did not run, or was cut off from the store.

    In the first case, `process` is set.
    """

    node: int
    start: float
    end: float
    restored: bool  # whether the store was an older one in that time
    process: bool


@dataclass
class Observations:
    """All that a run has observed."""

    calls: list[CallRecord] = field(default_factory=list)
    runs: list[tuple[Request, float]] = field(default_factory=list)  # with their times
    changes: list[AccountChange] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)


def find_attempt(request: Request) -> str:
    """Return the attempt ID of a request that a target got."""
    return dict(request.headers)[b"x-attempt-id"].decode()


def make_expected_body(method: str, path: str, attempt: str, body: bytes) -> bytes:
    """Return the only complete answer to a request."""
    digest = hashlib.sha256(body).hexdigest()
    line = f"{method} {path} {attempt} {digest}\n".encode()
    size = _BODY_BYTES[zlib.crc32(line) % len(_BODY_BYTES)]
    return (line * (size // len(line) + 1))[: max(size, len(line))]
