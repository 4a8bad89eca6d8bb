"""Claims: rows that bind an idempotency key chosen by a caller to one ticket.

The first node that receives such a key writes a row with a ticket, on the
condition that the row does not exist yet. A node that finds an existing row uses
the ticket in it. The row alone determines which session may execute the request, so
a claim needs no owner, even if the response to the write was lost or the writer
crashed. A row can also be closed; no ticket can then be bound to the key.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from datetime import timedelta

from expression import Error, Ok, Result

from ..store import Failure, PlatformError, Table, Write
from .ticket import Ticket, format_ticket, parse_ticket

__all__ = ["Claim", "bind_key", "close_key", "rebind_key"]

CLAIM_LIFETIME = timedelta(hours=24)
_CLOSED = b"closed"
_PREFIX = "claims"


@dataclass(frozen=True, slots=True)
class Claim:
    """The binding of a key: a ticket, or None if the key is closed.

    `version` is the version of the row.
    """

    ticket: Ticket | None
    version: int


def bind_key(
    table: Table, caller: str, key: str, ticket: Ticket
) -> Result[Claim, PlatformError]:
    """Bind a key to a ticket, or return its existing binding."""
    write = Write(
        _row_name(caller, key), format_ticket(ticket).encode(), 0, CLAIM_LIFETIME
    )
    committed = table.commit([write])
    if committed.is_ok():
        return Ok(Claim(ticket, 1))
    if committed.error.failure is Failure.UNAVAILABLE:
        return Error(committed.error)
    return _read_claim(table, caller, key)


def close_key(table: Table, caller: str, key: str) -> Result[Claim, PlatformError]:
    """Close an unbound key permanently, or return its existing binding."""
    write = Write(_row_name(caller, key), _CLOSED, 0, CLAIM_LIFETIME)
    committed = table.commit([write])
    if committed.is_ok():
        return Ok(Claim(None, 1))
    if committed.error.failure is Failure.UNAVAILABLE:
        return Error(committed.error)
    return _read_claim(table, caller, key)


def rebind_key(
    table: Table, caller: str, key: str, claim: Claim, ticket: Ticket
) -> Result[Claim, PlatformError]:
    """Bind a key to another ticket after the session of its first ticket declined."""
    name = _row_name(caller, key)
    value = format_ticket(ticket).encode()
    committed = table.commit([Write(name, value, claim.version, CLAIM_LIFETIME)])
    if committed.is_ok():
        return Ok(Claim(ticket, claim.version + 1))
    if committed.error.failure is Failure.UNAVAILABLE:
        return Error(committed.error)
    return _read_claim(table, caller, key)


def _read_claim(table: Table, caller: str, key: str) -> Result[Claim, PlatformError]:
    result = table.get(_row_name(caller, key))
    if result.is_error():
        return Error(result.error)
    row = result.ok
    if row is None:
        # A write whose response was lost may still be applied: the binding is unknown.
        return Error(PlatformError(Failure.UNKNOWN, "the claim row was not found"))
    return Ok(Claim(parse_ticket(row.value.decode()), row.version))


def _row_name(caller: str, key: str) -> str:
    digest = hashlib.blake2b(f"{caller}\0{key}".encode(), digest_size=20)
    return f"{_PREFIX}/{digest.hexdigest()}"
