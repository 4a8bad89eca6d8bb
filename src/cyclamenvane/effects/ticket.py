"""Tickets: request identifiers, each bound to one session of one node.

A session is one process of a node, from start to exit. A request that must take
effect at most once is executed only by the session named in its ticket, and that
session records every ticket it receives. No write to the platform is therefore
needed before the request is dispatched, and two zones partitioned from each other
cannot both execute it.

`epoch` is the number of minutes since the start of that session, by its own
monotonic clock. A session accepts only tickets of its last `EPOCHS_KEPT` epochs, so
it can discard older ones.

    >>> parse_ticket("t1.a1b2.7.c3d4")
    Ticket(session='a1b2', epoch=7, nonce='c3d4')
"""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from datetime import timedelta

__all__ = [
    "EPOCH",
    "EPOCHS_KEPT",
    "Ticket",
    "format_ticket",
    "mint_ticket",
    "parse_ticket",
]

EPOCH = timedelta(minutes=1)
EPOCHS_KEPT = 5
_PREFIX = "t1"
_NONCE_BYTES = 9


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request identifier: the session that may execute it, an epoch and a nonce."""

    session: str
    epoch: int
    nonce: str


def mint_ticket(session: str, epoch: int) -> Ticket:
    """Return a new ticket for a session, with a random nonce."""
    return Ticket(session, epoch, secrets.token_hex(_NONCE_BYTES))


def format_ticket(ticket: Ticket) -> str:
    """Return a ticket as an idempotency key."""
    return f"{_PREFIX}.{ticket.session}.{ticket.epoch}.{ticket.nonce}"


def parse_ticket(text: str) -> Ticket | None:
    """Return the ticket in a key, or None if the key is not a ticket."""
    parts = text.split(".")
    if len(parts) != 4 or parts[0] != _PREFIX:
        return None
    _, session, epoch, nonce = parts
    if not (session and nonce and epoch.isdecimal() and len(epoch) < 12):
        return None
    return Ticket(session, int(epoch), nonce)
