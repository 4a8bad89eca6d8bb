"""Reads and checks a settings file."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path

from expression import Error, Ok, Result

from .check import build_checked
from .model import Settings

__all__ = ["SettingsError", "parse_settings", "read_settings"]


@dataclass(frozen=True, slots=True)
class SettingsError:
    """All problems found in a settings file, one line of text each."""

    lines: tuple[str, ...]

    def __str__(self) -> str:
        return "\n".join(self.lines)


def read_settings(path: Path) -> Result[Settings, SettingsError]:
    """Read a TOML file; return its settings or all its problems."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error(SettingsError((f"{path}: cannot be read: {error}",)))
    return parse_settings(text, str(path))


def parse_settings(text: str, name: str) -> Result[Settings, SettingsError]:
    """Parse a TOML text; return its settings or all its problems.

    `name` identifies the text in the problems.
    """
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Error(SettingsError((f"{name}: {error}",)))
    checked = build_checked(data, Settings)
    if checked.is_error():
        lines = tuple(f"{name}: {problem}" for problem in checked.error)
        return Error(SettingsError(lines))
    return Ok(checked.ok)
