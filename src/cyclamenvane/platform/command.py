"""The command that checks a settings file of the platform."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument

from ..kernel import hookimpl
from .settings import read_mesh_settings

__all__ = ["CheckSettingsCommand", "cyclamenvane_commands"]

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


@hookimpl
def cyclamenvane_commands() -> Sequence[Command]:
    """Return the commands of the adapter."""
    return [CheckSettingsCommand()]
