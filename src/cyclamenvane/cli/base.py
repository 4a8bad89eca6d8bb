"""What the commands have in common."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option
from expression import Result

from ..settings import Settings, read_settings
from .client import ControlClient, ControlError

__all__ = ["CONTROL_OPTIONS", "FAILED", "NodeCommand", "find_settings"]

FAILED = 1
_DEFAULT_CONTROL = "127.0.0.1:7481"
_KEY_VARIABLE = "CYCLAMENVANE_OPERATORS_KEY"

CONTROL_OPTIONS = [
    option("control", None, "Control address of any node", flag=False),
    option("settings", None, "Settings file to take the key from", flag=False),
]


def find_settings(command: Command) -> Settings | None:
    """Return the settings a command names, or None after printing what is wrong."""
    found = read_settings(Path(command.option("settings") or "cyclamenvane.toml"))
    if found.is_error():
        command.line_error(str(found.error), "error")
        return None
    return found.ok


class NodeCommand(Command):
    """A command that asks a node's control listener."""

    def open_client(self) -> ControlClient | None:
        """Return a client for the node, or None after printing what is missing.

        The key comes from the settings file, or else from the environment.
        """
        address = self.option("control") or _DEFAULT_CONTROL
        if self.option("settings"):
            settings = find_settings(self)
            return settings and ControlClient(address, settings.keys.operators)
        key = os.environ.get(_KEY_VARIABLE)
        if not key:
            self.line_error(
                f"no operators' key: give --settings FILE or set {_KEY_VARIABLE}",
                "error",
            )
            return None
        return ControlClient(address, key)

    def take(self, result: Result[dict[str, Any], ControlError]) -> dict[str, Any]:
        """Return a result's value, or {} after printing its error."""
        if result.is_ok():
            return result.ok
        self.line_error(result.error.text, "error")
        return {}

    def print_table(self, headers: list[str], rows: list[list[Any]]) -> None:
        """Print rows as a table."""
        texts = [[str(cell) for cell in row] for row in rows]
        self.render_table(headers, texts, style="compact")  # type: ignore[arg-type]
