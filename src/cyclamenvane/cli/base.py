"""Options and base class shared by the commands."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option
from expression import Result

from ..settings import Settings, read_settings
from .client import ControlClient, ControlError

__all__ = ["CONTROL_OPTIONS", "EXIT_FAILURE", "NodeCommand", "load_settings"]

EXIT_FAILURE = 1
_DEFAULT_CONTROL_ADDRESS = "127.0.0.1:7481"
_KEY_VARIABLE = "CYCLAMENVANE_OPERATORS_KEY"

CONTROL_OPTIONS = [
    option("control", None, "Control address of any node", flag=False),
    option("settings", None, "Settings file that holds the operators' key", flag=False),
]


def load_settings(command: Command) -> Settings | None:
    """Return the settings of a command, or None after printing an error."""
    loaded = read_settings(Path(command.option("settings") or "cyclamenvane.toml"))
    if loaded.is_error():
        command.line_error(str(loaded.error), "error")
        return None
    return loaded.ok


class NodeCommand(Command):
    """A command that sends requests to a node's control listener."""

    def open_client(self) -> ControlClient | None:
        """Return a client for the node, or None after printing an error.

        The key is read from the settings file if one is given, else from the
        environment.
        """
        address = self.option("control") or _DEFAULT_CONTROL_ADDRESS
        if self.option("settings"):
            settings = load_settings(self)
            return settings and ControlClient(address, settings.keys.operators)
        key = os.environ.get(_KEY_VARIABLE)
        if not key:
            self.line_error(
                f"no operators' key: pass --settings FILE or set {_KEY_VARIABLE}",
                "error",
            )
            return None
        return ControlClient(address, key)

    def unwrap(self, result: Result[dict[str, Any], ControlError]) -> dict[str, Any]:
        """Return the value of a result, or {} after printing its error."""
        if result.is_ok():
            return result.ok
        self.line_error(result.error.text, "error")
        return {}

    def print_table(self, headers: list[str], rows: list[list[Any]]) -> None:
        """Print rows as a table."""
        texts = [[str(cell) for cell in row] for row in rows]
        self.render_table(headers, texts, style="compact")  # type: ignore[arg-type]
