"""Accepting an edited section: one transaction on the platform's table.

The transaction replaces the section's row on the condition that it is still at
the version the edit was made from, moves the head row that the nodes poll, and
adds the audit row, which is named after the edit. When the answer is lost, that
audit row tells whether the edit was accepted; it is never sent again blindly.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from ..audit import AuditEntry, dump_entry, load_entry, name_change
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
_MOST_SECTIONS = 2000
_HEAD_TRIES = 8
_READ_BACK_TRIES = 5
_READ_BACK_PAUSE = timedelta(milliseconds=200)


@dataclass(frozen=True, slots=True)
class Edit:
    """A section as an operator wants it; `base` is the version it was made from."""

    name: str
    team: str
    base: int
    text: str
    operator: str


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why an edit was not accepted, or that this cannot be told.

    `current` is the section that is accepted instead, when somebody else's
    edit came first.
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
    """Accept an edit, unless its section has changed since it was made."""
    section = Section(
        edit.team, edit.base + 1, edit.text, edit.name, edit.operator, clock.now()
    )
    for _ in range(_HEAD_TRIES):
        head = table.get(_HEAD)
        if head.is_error():
            return Error(Rejection(f"the platform cannot be read: {head.error.detail}"))
        made = table.commit(_list_writes(section, head.ok))
        if made.is_ok():
            return Ok(section)
        if made.error.failure is Failure.UNAVAILABLE:
            return Error(Rejection(f"the platform is down: {made.error.detail}"))
        if made.error.failure is Failure.UNKNOWN:
            return _read_back(table, section, pause)
        settled = _explain_conflict(table, section)
        if settled is not None:
            return settled
    return Error(Rejection("other sections change all the time; accept it again"))


def read_head(table: Table) -> Result[int, PlatformError]:
    """Return a number that grows with every accepted edit."""
    return table.get(_HEAD).map(lambda row: row.version if row else 0)


def read_section(table: Table, team: str) -> Result[Section | None, PlatformError]:
    """Return the accepted section of a team."""
    row = table.get(_SECTIONS + team)
    return row.map(lambda found: unpack_section(found.value) if found else None)


def read_sections(table: Table) -> Result[tuple[Section, ...], PlatformError]:
    """Return every accepted section."""
    rows = table.scan(_SECTIONS, _MOST_SECTIONS)
    return rows.map(lambda found: tuple(unpack_section(row.value) for row in found))


def list_history(table: Table, team: str) -> Result[tuple[Section, ...], PlatformError]:
    """Return the versions of a team's section, oldest first."""
    rows = table.scan(f"{_HISTORY}{team}/", _MOST_SECTIONS)
    return rows.map(lambda found: tuple(unpack_section(row.value) for row in found))


def _list_writes(section: Section, head: Row | None) -> list[Write]:
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
        Write(name_change(when, section.edit), dump_entry(entry), 0),
    ]


def _explain_conflict(
    table: Table, section: Section
) -> Result[Section, Rejection] | None:
    if _was_accepted(table, section):
        return Ok(section)
    current = read_section(table, section.team)
    if current.is_error():
        return Error(Rejection(f"the platform cannot be read: {current.error.detail}"))
    version = current.ok.version if current.ok else 0
    if version == section.version - 1:
        # Only the head moved: another section was accepted meanwhile.
        return None
    reason = (
        f"the section is at version {version}, the edit is from {section.version - 1}"
    )
    return Error(Rejection(reason, current.ok))


def _read_back(
    table: Table, section: Section, pause: Callable[[float], None]
) -> Result[Section, Rejection]:
    for _ in range(_READ_BACK_TRIES):
        if _was_accepted(table, section):
            return Ok(section)
        pause(_READ_BACK_PAUSE.total_seconds())
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
