"""The commands that check files of the platform."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import orjson
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.outputs.output import Type

from ..kernel import hookimpl
from ..mesh.findings import FindingKind
from .configuration_check import DocumentFinding, check_documents
from .settings import read_mesh_settings

__all__ = [
    "CheckConfigurationCommand",
    "CheckSettingsCommand",
    "cyclamenvane_commands",
]

_EXIT_INVALID = 1


class CheckSettingsCommand(Command):
    """Checks a settings file and prints each problem."""

    name = "check-settings"
    description = "Check a settings file of the users' platform"
    arguments = [argument("file", "The settings file")]

    def handle(self) -> int:
        """Print each problem, or that there is none; return the exit status."""
        result = read_mesh_settings(Path(self.argument("file")))
        if result.is_error():
            for problem in result.error:
                self.line_error(problem, "error")
            return _EXIT_INVALID
        settings = result.ok
        self.line(
            f"node {settings.node} of service {settings.service}: no problem found"
        )
        return 0


class CheckConfigurationCommand(Command):
    """Checks a configuration document before it is sent to the platform."""

    name = "check-configuration"
    description = "Check a configuration document of the users' platform"
    arguments = [argument("file", "The configuration document")]
    options = [
        option("in-force", None, "The document in force, to compare with", flag=False),
        option("json", None, "Print the findings as JSON"),
    ]

    def handle(self) -> int:
        """Print each finding; return 1 if something is wrong."""
        findings = self._check()
        wrong = any(finding.kind.is_fault for finding in findings)
        if self.option("json"):
            self._write(_encode(findings, wrong))
        else:
            for finding in findings:
                kind, place = finding.kind.value, finding.place
                self._write(f"{kind}: {place}: {finding.text}")
            if not wrong:
                self._write("no problem found")
        return _EXIT_INVALID if wrong else 0

    def _check(self) -> list[DocumentFinding]:
        contents: list[bytes] = []
        findings: list[DocumentFinding] = []
        for path in (self.argument("file"), self.option("in-force")):
            if path is None:
                continue
            try:
                contents.append(Path(path).read_bytes())
            except OSError as error:
                text = f"cannot be read: {error.strerror or error}"
                findings.append(DocumentFinding(FindingKind.ERROR, path, text))
        if findings:
            return findings
        return check_documents(contents[0], contents[1] if contents[1:] else None)

    def _write(self, line: str) -> None:
        # Texts of the document are not to be read as formatting.
        self.io.output.write(line, new_line=True, type=Type.RAW)


def _encode(findings: Sequence[DocumentFinding], wrong: bool) -> str:
    entries = [
        {"kind": finding.kind.value, "place": finding.place, "text": finding.text}
        for finding in findings
    ]
    return orjson.dumps({"wrong": wrong, "findings": entries}).decode()


@hookimpl
def cyclamenvane_commands() -> Sequence[Command]:
    """Return the commands of the adapter."""
    return [CheckConfigurationCommand(), CheckSettingsCommand()]
