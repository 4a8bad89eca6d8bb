"""Accepts an edited section in one transaction on the platform's table.

The transaction replaces the section's row provided that it still has the version
the edit is based on, updates the head row that the nodes poll, and adds the audit
row, keyed by the edit's name. If the response is lost, that audit row shows whether
the edit was accepted; the transaction is never blindly retried.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from ..audit import AuditEntry, dump_entry, load_entry, make_change_key
from ..store import Failure, PlatformError, Row, Table, Write
from .section import Section, pack_section, unpack_section

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = [
    "Edit",
    "Rejection",
    "accept_edit",
    "list_history",
    "read_head",
    "read_section",
    "read_sections",
]

_SECTIONS = "policy/section/"
_HISTORY = "policy/history/"
_EDITS = "policy/edit/"
_HEAD = "policy/head"
_MAX_ROWS = 2000
_COMMIT_ATTEMPTS = 8
_READ_BACK_ATTEMPTS = 5
_READ_BACK_INTERVAL = timedelta(milliseconds=200)


@dataclass(frozen=True, slots=True)
class Edit:
    """A section as edited by an operator; `base` is the version it was edited from."""

    name: str
    team: str
    base: int
    text: str
    operator: str


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why an edit was not accepted, or why its result is unknown.

    `current` is the accepted section if another edit was accepted first.
    `unsure` is true if the edit may have been accepted.
    """

    reason: str
    current: Section | None = None
    unsure: bool = False


def accept_edit(
    table: Table,
    edit: Edit,
    clock: Clock,
    pause: Callable[[float], None] = time.sleep,
) -> Result[Section, Rejection]:
    """Accept an edit unless its section has changed since `edit.base`."""
    section = Section(
        edit.team, edit.base + 1, edit.text, edit.name, edit.operator, clock.now()
    )
    for _ in range(_COMMIT_ATTEMPTS):
        head = table.get(_HEAD)
        if head.is_error():
            return Error(Rejection(f"the platform cannot be read: {head.error.detail}"))
        committed = table.commit(_build_writes(section, head.ok))
        if committed.is_ok():
            return Ok(section)
        if committed.error.failure is Failure.UNAVAILABLE:
            return Error(Rejection(f"the platform is down: {committed.error.detail}"))
        if committed.error.failure is Failure.UNKNOWN:
            return _read_back(table, section, pause)
        resolved = _resolve_conflict(table, section)
        if resolved is not None:
            return resolved
    return Error(Rejection("other sections change all the time; accept it again"))


def read_head(table: Table) -> Result[int, PlatformError]:
    """Return the head version, which increases with every accepted edit."""
    return table.get(_HEAD).map(lambda row: row.version if row else 0)


def read_section(table: Table, team: str) -> Result[Section | None, PlatformError]:
    """Return the accepted section of a team, or None if there is none."""
    row = table.get(_SECTIONS + team)
    return row.map(lambda found: unpack_section(found.value) if found else None)


def read_sections(table: Table) -> Result[tuple[Section, ...], PlatformError]:
    """Return all accepted sections."""
    rows = table.scan(_SECTIONS, _MAX_ROWS)
    return rows.map(lambda found: tuple(unpack_section(row.value) for row in found))


def list_history(table: Table, team: str) -> Result[tuple[Section, ...], PlatformError]:
    """Return the versions of a team's section, oldest first."""
    rows = table.scan(f"{_HISTORY}{team}/", _MAX_ROWS)
    return rows.map(lambda found: tuple(unpack_section(row.value) for row in found))


def _build_writes(section: Section, head: Row | None) -> list[Write]:
    packed = pack_section(section)
    entry = AuditEntry(
        section.accepted_at,
        section.operator,
        "accept",
        section.team,
        section.version - 1,
        section.version,
        section.edit,
    )
    when = section.accepted_at
    base = section.version - 1
    return [
        Write(_SECTIONS + section.team, packed, base),
        Write(_HEAD, section.edit.encode(), head.version if head else 0),
        Write(f"{_HISTORY}{section.team}/{section.version:012}", packed, 0),
        Write(_EDITS + section.edit, dump_entry(entry), 0),
        Write(make_change_key(when, section.edit), dump_entry(entry), 0),
    ]


def _resolve_conflict(
    table: Table, section: Section
) -> Result[Section, Rejection] | None:
    if _was_accepted(table, section):
        return Ok(section)
    current = read_section(table, section.team)
    if current.is_error():
        return Error(Rejection(f"the platform cannot be read: {current.error.detail}"))
    version = current.ok.version if current.ok else 0
    if version == section.version - 1:
        # Only the head row changed: an edit of another section was accepted.
        return None
    reason = (
        f"the section is at version {version}, the edit is from {section.version - 1}"
    )
    return Error(Rejection(reason, current.ok))


def _read_back(
    table: Table, section: Section, pause: Callable[[float], None]
) -> Result[Section, Rejection]:
    for _ in range(_READ_BACK_ATTEMPTS):
        if _was_accepted(table, section):
            return Ok(section)
        pause(_READ_BACK_INTERVAL.total_seconds())
    current = read_section(table, section.team)
    if current.is_ok() and current.ok and current.ok.version >= section.version:
        if current.ok.edit == section.edit:
            return Ok(section)
        return Error(Rejection("another edit was accepted first", current.ok))
    reason = f"the answer was lost; look up edit {section.edit} before trying again"
    return Error(Rejection(reason, unsure=True))


def _was_accepted(table: Table, section: Section) -> bool:
    row = table.get(_EDITS + section.edit)
    if row.is_error() or row.ok is None:
        return False
    return load_entry(row.ok.value).after == section.version
