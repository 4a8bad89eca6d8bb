"""Claims: how a key that a caller chose itself is bound to one ticket.

The first node that sees such a key writes a row that holds a ticket, on the
condition that there is none. Whoever finds a row follows the ticket in it, so
a claim whose answer was lost, or whose writer died, needs no owner: the row
alone says which node run may execute the request. A row can also be closed, and
then no ticket will ever be bound to the key.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from datetime import timedelta

from expression import Error, Ok, Result

from ..store import Failure, PlatformError, Table, Write
from .ticket import Ticket, format_ticket, parse_ticket

__all__ = ["Claim", "bind_key", "close_key", "move_key"]

CLAIM_LIFETIME = timedelta(hours=24)
_CLOSED = b"closed"
_PREFIX = "claims"


@dataclass(frozen=True, slots=True)
class Claim:
    """What a key is bound to: a ticket, or nothing for good when closed.

    `version` is that of the row.
    """

    ticket: Ticket | None
    version: int


def bind_key(
    table: Table, caller: str, key: str, ticket: Ticket
) -> Result[Claim, PlatformError]:
    """Bind a key to a ticket, or find what it is bound to already."""
    write = Write(
        _row_name(caller, key), format_ticket(ticket).encode(), 0, CLAIM_LIFETIME
    )
    made = table.commit([write])
    if made.is_ok():
        return Ok(Claim(ticket, 1))
    if made.error.failure is Failure.UNAVAILABLE:
        return Error(made.error)
    return _read_claim(table, caller, key)


def close_key(table: Table, caller: str, key: str) -> Result[Claim, PlatformError]:
    """Bind an unbound key to nothing for good, or find what it is bound to."""
    write = Write(_row_name(caller, key), _CLOSED, 0, CLAIM_LIFETIME)
    made = table.commit([write])
    if made.is_ok():
        return Ok(Claim(None, 1))
    if made.error.failure is Failure.UNAVAILABLE:
        return Error(made.error)
    return _read_claim(table, caller, key)


def move_key(
    table: Table, caller: str, key: str, claim: Claim, ticket: Ticket
) -> Result[Claim, PlatformError]:
    """Bind a key to another ticket after its node run declined the first."""
    name = _row_name(caller, key)
    value = format_ticket(ticket).encode()
    made = table.commit([Write(name, value, claim.version, CLAIM_LIFETIME)])
    if made.is_ok():
        return Ok(Claim(ticket, claim.version + 1))
    if made.error.failure is Failure.UNAVAILABLE:
        return Error(made.error)
    return _read_claim(table, caller, key)


def _read_claim(table: Table, caller: str, key: str) -> Result[Claim, PlatformError]:
    found = table.get(_row_name(caller, key))
    if found.is_error():
        return Error(found.error)
    row = found.ok
    if row is None:
        # The lost write may still take effect, so nothing is bound yet.
        return Error(PlatformError(Failure.UNKNOWN, "the claim cannot be seen yet"))
    return Ok(Claim(parse_ticket(row.value.decode()), row.version))


def _row_name(caller: str, key: str) -> str:
    mark = hashlib.blake2b(f"{caller}\0{key}".encode(), digest_size=20)
    return f"{_PREFIX}/{mark.hexdigest()}"
