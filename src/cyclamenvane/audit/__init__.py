"""The audit trail of changes."""

from __future__ import annotations

from .trail import (
    ActionLog,
    AuditEntry,
    dump_entry,
    list_actions,
    list_changes,
    load_entry,
    name_change,
)

__all__ = [
    "ActionLog",
    "AuditEntry",
    "dump_entry",
    "list_actions",
    "list_changes",
    "load_entry",
    "name_change",
]
