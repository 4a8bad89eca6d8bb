"""At-most-once execution: tickets, claims, the ledger and the archive."""

from __future__ import annotations

from .archive import Archive, pack_response, unpack_response
from .claim import Claim, bind_key, close_key, rebind_key
from .ledger import BeginResult, Ledger, OutcomeRecord
from .ticket import (
    EPOCH,
    EPOCHS_KEPT,
    Ticket,
    format_ticket,
    mint_ticket,
    parse_ticket,
)

__all__ = [
    "EPOCH",
    "EPOCHS_KEPT",
    "Archive",
    "BeginResult",
    "Claim",
    "Ledger",
    "OutcomeRecord",
    "Ticket",
    "bind_key",
    "close_key",
    "format_ticket",
    "mint_ticket",
    "pack_response",
    "parse_ticket",
    "rebind_key",
    "unpack_response",
]
