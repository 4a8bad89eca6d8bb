"""The audit trail of operators' changes and automatic actions."""

from __future__ import annotations

from .trail import (
    ActionLog,
    AuditEntry,
    dump_entry,
    list_actions,
    list_changes,
    load_entry,
    make_change_key,
)

__all__ = [
    "ActionLog",
    "AuditEntry",
    "dump_entry",
    "list_actions",
    "list_changes",
    "load_entry",
    "make_change_key",
]
