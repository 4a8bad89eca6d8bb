"""Identification of callers by the key that they send.

`mesh` imports this module, so it imports nothing of `mesh` when it runs.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..mesh.configuration import RouteTable
    from ..mesh.model import Route
    from .model import Account

__all__ = ["ANONYMOUS", "Identity", "IdentityFailure", "make_identifier"]


class IdentityFailure(Enum):
    """Why a request that needs a key is refused."""

    UNKNOWN_KEY = "no known key"
    UNCONFIRMED = "the configuration was not confirmed in time"


@dataclass(frozen=True)
class Identity:
    """The account that a request is for, if any, or why the request is refused."""

    account: Account | None = None
    failure: IdentityFailure | None = None


ANONYMOUS = Identity()
_UNKNOWN_KEY = Identity(failure=IdentityFailure.UNKNOWN_KEY)
_UNCONFIRMED = Identity(failure=IdentityFailure.UNCONFIRMED)


def make_identifier(
    parse_key: Callable[[bytes], bytes | None], is_confirmed: Callable[[], bool]
) -> Callable[[RouteTable, Route, bytes | None], Identity]:
    """Return a function that identifies the sender of a request to a route.

    It gets the value of the header with the key, and is called only if the
    configuration has accounts. While `is_confirmed` returns False, a key may have been
    revoked: a request that needs one is refused, and any other is anonymous.
    """

    def identify(
        table: RouteTable, route: Route, credentials: bytes | None
    ) -> Identity:
        if credentials is None and route.public:
            return ANONYMOUS
        if not is_confirmed():
            return ANONYMOUS if route.public else _UNCONFIRMED
        key = parse_key(credentials) if credentials is not None else None
        account = table.find_account(key) if key is not None else None
        if account is not None:
            return Identity(account)
        return ANONYMOUS if route.public else _UNKNOWN_KEY

    return identify
