"""The accepted sections that are in force at one node.

A section is only ever replaced by one of a higher version, so a stale read of
the platform, an old message or a restarted peer cannot take an edit back.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import datetime, timezone

import msgpack
import xxhash

__all__ = ["Section", "SectionTable", "pack_section", "unpack_section"]


@dataclass(frozen=True, slots=True)
class Section:
    """One accepted version of a team's section.

    `edit` names the edit that was accepted, `operator` who accepted it. An
    empty text means that the section was removed.
    """

    team: str
    version: int
    text: str
    edit: str
    operator: str
    accepted_at: datetime


def pack_section(section: Section) -> bytes:
    """Return a section as bytes."""
    return msgpack.packb(
        (
            section.team,
            section.version,
            section.text,
            section.edit,
            section.operator,
            section.accepted_at.timestamp(),
        )
    )


def unpack_section(data: bytes) -> Section:
    """Return the section in `data`; raises ValueError when it is malformed."""
    try:
        team, version, text, edit, operator, stamp = msgpack.unpackb(data)
        accepted_at = datetime.fromtimestamp(stamp, timezone.utc)
    except (ValueError, TypeError, msgpack.exceptions.UnpackException) as error:
        raise ValueError(f"malformed section: {error}") from error
    return Section(team, version, text, edit, operator, accepted_at)


class SectionTable:
    """The highest version of each section that this node has seen.

    `on_change` is called, outside the lock, with each section adopted.
    """

    def __init__(self, on_change: Callable[[Section], None] = lambda _: None) -> None:
        self.on_change = on_change
        self._sections: dict[str, Section] = {}
        self._digest = 0
        self._lock = threading.Lock()

    @property
    def digest(self) -> int:
        """A number that is equal at two nodes that hold the same versions."""
        return self._digest

    def adopt(self, section: Section) -> bool:
        """Put a section in force when its version is higher; say whether it was."""
        with self._lock:
            held = self._sections.get(section.team)
            if held is not None and held.version >= section.version:
                return False
            if held is not None:
                self._digest ^= _mark(held)
            self._digest ^= _mark(section)
            self._sections[section.team] = section
        self.on_change(section)
        return True

    def get(self, team: str) -> Section | None:
        """Return the section in force of a team."""
        return self._sections.get(team)

    def all(self) -> tuple[Section, ...]:
        """Return the sections in force, by team."""
        with self._lock:
            return tuple(self._sections[team] for team in sorted(self._sections))

    def versions(self) -> dict[str, int]:
        """Return the version in force of each team's section."""
        with self._lock:
            return {team: each.version for team, each in self._sections.items()}

    def list_newer(self, versions: dict[str, int]) -> Iterable[str]:
        """Return the teams whose version elsewhere is higher than here."""
        own = self.versions()
        return [team for team, each in versions.items() if each > own.get(team, 0)]


def _mark(section: Section) -> int:
    return xxhash.xxh64_intdigest(f"{section.team}\0{section.version}".encode())
