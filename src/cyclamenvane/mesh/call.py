"""A call of a caller or of a local target, and its outcome.

The classes have constructors of their own, see `mesh.forward`; their objects are not
changed.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from .forward import Reason
from .model import Route
from .rank import ActiveCall, Rank

if TYPE_CHECKING:
    from ..accounts import Account
    from .memory import Reservation

__all__ = ["Call", "CallResult"]


@dataclass(init=False)
class Call:
    """A call from a caller, or a nested call from the node's local target.

    `deadline` is the earlier of the caller's deadline and the route's timeout.
    `parent` is the active call at the local target that makes this call, if any.
    `account` is the client account whose key the caller sent, if any, and `tiers` the
    number of tiers of accounts.
    """

    attempt: bytes | None
    route: Route
    head: bytes
    body: bytes
    rank: Rank
    parent: ActiveCall | None
    arrived: timedelta
    deadline: timedelta
    account: Account | None
    tiers: int

    def __init__(
        self,
        attempt: bytes | None,
        route: Route,
        head: bytes,
        body: bytes,
        rank: Rank,
        parent: ActiveCall | None,
        arrived: timedelta,
        deadline: timedelta,
        account: Account | None = None,
        tiers: int = 1,
    ) -> None:
        self.attempt = attempt
        self.route = route
        self.head = head
        self.body = body
        self.rank = rank
        self.parent = parent
        self.arrived = arrived
        self.deadline = deadline
        self.account = account
        self.tiers = tiers


@dataclass(init=False)
class CallResult:
    """The outcome of a call: the target's response, or a status set by the node.

    A large response holds memory until the result is released.
    """

    status: int
    head: bytes
    body: bytes
    retry_after: timedelta | None
    reason: Reason
    detail: str
    service: str
    node: str
    sends: int
    reservation: Reservation | None

    def __init__(
        self,
        status: int,
        head: bytes = b"",
        body: bytes = b"",
        retry_after: timedelta | None = None,
        reason: Reason = Reason.NONE,
        detail: str = "",
        service: str = "",
        node: str = "",
        sends: int = 0,
        reservation: Reservation | None = None,
    ) -> None:
        self.reservation = reservation
        self.status = status
        self.head = head
        self.body = body
        self.retry_after = retry_after
        self.reason = reason
        self.detail = detail
        self.service = service
        self.node = node
        self.sends = sends

    def release(self) -> None:
        """Drop the response and release its memory, once it is not used."""
        if self.reservation is not None:
            self.body = b""
            self.reservation.close()

    @property
    def from_target(self) -> bool:
        """Whether the response comes from a target."""
        return bool(self.head)
