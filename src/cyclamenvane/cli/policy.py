"""Commands that read, check and accept the policy document."""

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
from .base import CONTROL_OPTIONS, EXIT_FAILURE, NodeCommand
from .client import ControlClient

__all__ = [
    "PolicyAcceptCommand",
    "PolicyCheckCommand",
    "PolicyDiffCommand",
    "PolicyHistoryCommand",
    "PolicyShowCommand",
    "PolicyStatusCommand",
]

_IN_FORCE_TIMEOUT_S = 30.0
_VERSION_LINE = re.compile(r"(?m)^\s*version\s*=.*\n?")
_FILE_ARGUMENT = argument("file", "File that holds the document")


class PolicyShowCommand(NodeCommand):
    """Prints the document in force at a node."""

    name = "policy show"
    description = "Print the document in force, in a form that can be edited"
    arguments = [argument("team", "Only this team's section", optional=True)]
    options = CONTROL_OPTIONS

    def handle(self) -> int:
        """Print the document."""
        client = self.open_client()
        response = client and self.unwrap(client.get("/policy"))
        if not response:
            return EXIT_FAILURE
        for section in response["sections"]:
            if self.argument("team") in (None, section["team"]) and section["text"]:
                self.io.output.write(_set_version(section["text"], section) + "\n")
        return 0


class PolicyCheckCommand(Command):
    """Checks a document without accepting it."""

    name = "policy check"
    description = "Check a document as a whole"
    arguments = [_FILE_ARGUMENT]

    def handle(self) -> int:
        """Check the document."""
        return EXIT_FAILURE if _read_document(self) is None else 0


class PolicyDiffCommand(NodeCommand):
    """Shows the changes that accepting a document would make."""

    name = "policy diff"
    description = "Compare a document with the one in force"
    arguments = [_FILE_ARGUMENT]
    options = CONTROL_OPTIONS

    def handle(self) -> int:
        """Print the difference."""
        checked = _read_document(self)
        client = self.open_client() if checked else None
        response = client and self.unwrap(client.get("/policy"))
        if not checked or not response:
            return EXIT_FAILURE
        sections = {each["team"]: each for each in response["sections"]}
        for team, text in checked[1].items():
            before = sections.get(team, {}).get("text", "")
            for line in _diff(before, text, team):
                self.line(line)
        return 0


class PolicyAcceptCommand(NodeCommand):
    """Accepts the changed sections of a document."""

    name = "policy accept"
    description = "Accept the changed sections of a document"
    arguments = [_FILE_ARGUMENT]
    options = [
        *CONTROL_OPTIONS,
        option("operator", None, "Name for the audit trail", flag=False),
        option("team", None, "Accept only this team's section", flag=False),
    ]

    def handle(self) -> int:
        """Accept the sections and wait until they are in force."""
        checked = _read_document(self)
        client = self.open_client() if checked else None
        response = client and self.unwrap(client.get("/policy"))
        if not checked or not client or not response:
            return EXIT_FAILURE
        document, texts = checked
        sections = {each["team"]: each for each in response["sections"]}
        changed = 0
        for team, text in texts.items():
            if self.option("team") not in (None, team):
                continue
            if _normalize(sections.get(team, {}).get("text", "")) == _normalize(text):
                continue
            if not self._accept(client, team, document.teams[team].version, text):
                return EXIT_FAILURE
            changed += 1
        if not changed:
            self.line("nothing to accept: these sections are already in force")
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
        result = client.post("/policy/accept", edit)
        if result.is_ok():
            version = result.ok["section"]["version"]
            self.line(f"section {team!r}: accepted as version {version}")
            return True
        self.line_error(f"section {team!r}: not accepted: {result.error.text}", "error")
        current = result.error.value.get("current")
        if current:
            self.line(f"accepted meanwhile by {current['operator']}:")
            for line in _diff(text, current["text"], team):
                self.line(line)
        return False

    def _wait_in_force(self, client: ControlClient) -> int:
        end = time.monotonic() + _IN_FORCE_TIMEOUT_S
        while True:
            response = self.unwrap(client.get("/zones"))
            zones = response.get("zones", [])
            if zones and all(zone["complete"] for zone in zones):
                break
            if time.monotonic() >= end:
                break
        for zone in zones:
            self.line(describe_zone(zone))
        return 0 if zones and all(zone["complete"] for zone in zones) else EXIT_FAILURE


class PolicyStatusCommand(NodeCommand):
    """Shows the accepted version and the version in force, by section and zone."""

    name = "policy status"
    description = "Compare accepted versions with those in force, by zone"
    options = CONTROL_OPTIONS

    def handle(self) -> int:
        """Print the status."""
        client = self.open_client()
        response = client and self.unwrap(client.get("/zones"))
        if not client or not response:
            return EXIT_FAILURE
        rows = []
        for team, version in sorted(response["versions"].items()):
            result = client.get("/policy/accepted", team=team)
            accepted_version = "platform down"
            if result.is_ok():
                section = result.ok["section"]
                accepted_version = str(section["version"] if section else 0)
            rows.append([team, accepted_version, version])
        self.print_table(["section", "accepted", "in force here"], rows)
        for zone in response["zones"]:
            self.line(describe_zone(zone))
        return 0


class PolicyHistoryCommand(NodeCommand):
    """Lists the versions of a team's section."""

    name = "policy history"
    description = "List the accepted versions of a section"
    arguments = [argument("team", "The team that owns the section")]
    options = CONTROL_OPTIONS

    def handle(self) -> int:
        """Print the versions, each with its difference from the previous one."""
        client = self.open_client()
        team = self.argument("team")
        response = client and self.unwrap(client.get("/policy/history", team=team))
        if not response:
            return EXIT_FAILURE
        before = ""
        for section in response["sections"]:
            self.line(
                f"version {section['version']} by {section['operator']}"
                f" at {section['accepted_at']}"
            )
            for line in _diff(before, section["text"], team):
                self.line(line)
            before = section["text"]
        return 0


def describe_zone(zone: dict[str, Any]) -> str:
    """Return a line on how many of a zone's nodes have the document in force."""
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


def _set_version(text: str, section: dict[str, Any]) -> str:
    line = f"version = {section['version']}\n"
    if _VERSION_LINE.search(text):
        return _VERSION_LINE.sub(line, text, count=1)
    header = f"[teams.{section['team']}]\n"
    if header in text:
        return text.replace(header, header + line, 1)
    return f"{header}{line}\n{text}"


def _normalize(text: str) -> str:
    return _VERSION_LINE.sub("", text).strip()


def _diff(before: str, after: str, team: str) -> list[str]:
    lines = difflib.unified_diff(
        _normalize(before).splitlines(),
        _normalize(after).splitlines(),
        f"{team} before",
        f"{team} after",
        lineterm="",
    )
    return list(lines)
