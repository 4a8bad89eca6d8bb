"""The commands that read and accept the policy document."""

from __future__ import annotations

import difflib
import getpass
import re
import secrets
import time
from pathlib import Path
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import argument, option

from ..policy import Document, parse_document, split_sections
from .base import CONTROL_OPTIONS, FAILED, NodeCommand
from .client import ControlClient

__all__ = [
    "PolicyAcceptCommand",
    "PolicyCheckCommand",
    "PolicyDiffCommand",
    "PolicyHistoryCommand",
    "PolicyShowCommand",
    "PolicyStatusCommand",
]

_WAIT_S = 30.0
_VERSION_LINE = re.compile(r"(?m)^\s*version\s*=.*\n?")
_FILE = argument("file", "File that holds the document")


class PolicyShowCommand(NodeCommand):
    """Prints the document in force at a node."""

    name = "policy show"
    description = "Print the document that is in force, ready to be edited"
    arguments = [argument("team", "Only this team's section", optional=True)]
    options = CONTROL_OPTIONS

    def handle(self) -> int:
        """Print the document."""
        client = self.open_client()
        held = client and self.take(client.get("/policy"))
        if not held:
            return FAILED
        for section in held["sections"]:
            if self.argument("team") in (None, section["team"]) and section["text"]:
                self.io.output.write(_with_version(section["text"], section) + "\n")
        return 0


class PolicyCheckCommand(Command):
    """Checks a document without accepting it."""

    name = "policy check"
    description = "Check a document as a whole"
    arguments = [_FILE]

    def handle(self) -> int:
        """Check the document."""
        return FAILED if _read_document(self) is None else 0


class PolicyDiffCommand(NodeCommand):
    """Shows what accepting a document would change."""

    name = "policy diff"
    description = "Compare a document with the one in force"
    arguments = [_FILE]
    options = CONTROL_OPTIONS

    def handle(self) -> int:
        """Print the difference."""
        found = _read_document(self)
        client = self.open_client() if found else None
        held = client and self.take(client.get("/policy"))
        if not found or not held:
            return FAILED
        sections = {each["team"]: each for each in held["sections"]}
        for team, text in found[1].items():
            before = sections.get(team, {}).get("text", "")
            for line in _compare(before, text, team):
                self.line(line)
        return 0


class PolicyAcceptCommand(NodeCommand):
    """Accepts the sections of a document that were changed."""

    name = "policy accept"
    description = "Accept the changed sections of a document"
    arguments = [_FILE]
    options = [
        *CONTROL_OPTIONS,
        option("operator", None, "Name for the audit trail", flag=False),
        option("team", None, "Accept only this team's section", flag=False),
    ]

    def handle(self) -> int:
        """Accept the sections and wait until they are in force."""
        found = _read_document(self)
        client = self.open_client() if found else None
        held = client and self.take(client.get("/policy"))
        if not found or not client or not held:
            return FAILED
        document, texts = found
        sections = {each["team"]: each for each in held["sections"]}
        changed = 0
        for team, text in texts.items():
            if self.option("team") not in (None, team):
                continue
            if _plain(sections.get(team, {}).get("text", "")) == _plain(text):
                continue
            if not self._accept(client, team, document.teams[team].version, text):
                return FAILED
            changed += 1
        if not changed:
            self.line("nothing to accept: these sections are in force as they stand")
            return 0
        return self._wait_in_force(client)

    def _accept(self, client: ControlClient, team: str, base: int, text: str) -> bool:
        edit = {
            "team": team,
            "base": base,
            "text": text,
            "operator": self.option("operator") or getpass.getuser(),
            "edit": secrets.token_hex(12),
        }
        made = client.post("/policy/accept", edit)
        if made.is_ok():
            version = made.ok["section"]["version"]
            self.line(f"section {team!r}: accepted as version {version}")
            return True
        self.line_error(f"section {team!r}: not accepted: {made.error.text}", "error")
        current = made.error.value.get("current")
        if current:
            self.line(f"accepted meanwhile by {current['operator']}:")
            for line in _compare(text, current["text"], team):
                self.line(line)
        return False

    def _wait_in_force(self, client: ControlClient) -> int:
        end = time.monotonic() + _WAIT_S
        while True:
            told = self.take(client.get("/zones"))
            zones = told.get("zones", [])
            if zones and all(zone["complete"] for zone in zones):
                break
            if time.monotonic() >= end:
                break
        for zone in zones:
            self.line(describe_zone(zone))
        return 0 if zones and all(zone["complete"] for zone in zones) else FAILED


class PolicyStatusCommand(NodeCommand):
    """Shows, for each zone and section, what is accepted and what is in force."""

    name = "policy status"
    description = "Compare accepted versions with those in force, by zone"
    options = CONTROL_OPTIONS

    def handle(self) -> int:
        """Print the status."""
        client = self.open_client()
        told = client and self.take(client.get("/zones"))
        if not client or not told:
            return FAILED
        rows = []
        for team, version in sorted(told["versions"].items()):
            accepted = client.get("/policy/accepted", team=team)
            known = "platform down"
            if accepted.is_ok():
                section = accepted.ok["section"]
                known = str(section["version"] if section else 0)
            rows.append([team, known, version])
        self.print_table(["section", "accepted", "in force here"], rows)
        for zone in told["zones"]:
            self.line(describe_zone(zone))
        return 0


class PolicyHistoryCommand(NodeCommand):
    """Lists the versions of a team's section."""

    name = "policy history"
    description = "List the accepted versions of a section"
    arguments = [argument("team", "The team that owns the section")]
    options = CONTROL_OPTIONS

    def handle(self) -> int:
        """Print the versions, each with its difference to the one before."""
        client = self.open_client()
        team = self.argument("team")
        told = client and self.take(client.get("/policy/history", team=team))
        if not told:
            return FAILED
        before = ""
        for section in told["sections"]:
            self.line(
                f"version {section['version']} by {section['operator']}"
                f" at {section['accepted_at']}"
            )
            for line in _compare(before, section["text"], team):
                self.line(line)
            before = section["text"]
        return 0


def describe_zone(zone: dict[str, Any]) -> str:
    """Return a line on how far the document is in force in a zone."""
    text = (
        f"zone {zone['zone']}: in force at {zone['in_force']} of {zone['nodes']} nodes"
    )
    if zone["silent"]:
        text += f", {zone['silent']} silent"
    if zone["silent_s"]:
        text += f" for up to {zone['silent_s']} s"
    return text


def _read_document(command: Command) -> tuple[Document, dict[str, str]] | None:
    path = Path(command.argument("file"))
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        command.line_error(f"{path}: cannot be read: {error}", "error")
        return None
    parsed = parse_document(text, str(path))
    if parsed.is_error():
        command.line_error(str(parsed.error), "error")
        return None
    command.line_error(f"{path}: {len(parsed.ok.teams)} sections, no problems")
    return parsed.ok, split_sections(text)


def _with_version(text: str, section: dict[str, Any]) -> str:
    line = f"version = {section['version']}\n"
    if _VERSION_LINE.search(text):
        return _VERSION_LINE.sub(line, text, count=1)
    header = f"[teams.{section['team']}]\n"
    if header in text:
        return text.replace(header, header + line, 1)
    return f"{header}{line}\n{text}"


def _plain(text: str) -> str:
    return _VERSION_LINE.sub("", text).strip()


def _compare(before: str, after: str, team: str) -> list[str]:
    lines = difflib.unified_diff(
        _plain(before).splitlines(),
        _plain(after).splitlines(),
        f"{team} before",
        f"{team} after",
        lineterm="",
    )
    return list(lines)
