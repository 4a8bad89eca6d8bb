"""The accepted sections in force at one node.

A section is only replaced by one of a higher version, so a stale read of the
platform, an old message or a restarted peer cannot revert an edit.
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

    `edit` is the name of the accepted edit, `operator` the operator who accepted
    it. An empty text means that the section was removed.
    """

    team: str
    version: int
    text: str
    edit: str
    operator: str
    accepted_at: datetime


def pack_section(section: Section) -> bytes:
    """Return the section encoded as bytes."""
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
    """Decode a section; raise ValueError if `data` is malformed."""
    try:
        team, version, text, edit, operator, timestamp = msgpack.unpackb(data)
        accepted_at = datetime.fromtimestamp(timestamp, timezone.utc)
    except (ValueError, TypeError, msgpack.exceptions.UnpackException) as error:
        raise ValueError(f"malformed section: {error}") from error
    return Section(team, version, text, edit, operator, accepted_at)


class SectionTable:
    """The highest version of each section received by this node.

    `on_change` is called, outside the lock, with each section put in force.
    """

    def __init__(self, on_change: Callable[[Section], None] = lambda _: None) -> None:
        self.on_change = on_change
        self._sections: dict[str, Section] = {}
        self._digest = 0
        self._lock = threading.Lock()

    @property
    def digest(self) -> int:
        """A digest of the versions; equal on nodes with the same versions."""
        return self._digest

    def apply(self, section: Section) -> bool:
        """Put a section in force if its version is higher; return whether it was."""
        with self._lock:
            current = self._sections.get(section.team)
            if current is not None and current.version >= section.version:
                return False
            if current is not None:
                self._digest ^= _hash_version(current)
            self._digest ^= _hash_version(section)
            self._sections[section.team] = section
        self.on_change(section)
        return True

    def get(self, team: str) -> Section | None:
        """Return the section in force of a team, or None if there is none."""
        return self._sections.get(team)

    def all(self) -> tuple[Section, ...]:
        """Return the sections in force, sorted by team."""
        with self._lock:
            return tuple(self._sections[team] for team in sorted(self._sections))

    def versions(self) -> dict[str, int]:
        """Return the version in force of each team's section."""
        with self._lock:
            return {team: each.version for team, each in self._sections.items()}

    def list_newer(self, versions: dict[str, int]) -> Iterable[str]:
        """Return the teams whose version in `versions` is higher than the own one."""
        own = self.versions()
        return [team for team, each in versions.items() if each > own.get(team, 0)]


def _hash_version(section: Section) -> int:
    return xxhash.xxh64_intdigest(f"{section.team}\0{section.version}".encode())
