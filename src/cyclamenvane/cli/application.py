"""Command line program with the registered commands."""

from __future__ import annotations

from collections.abc import Sequence
from importlib import metadata

from cleo.application import Application
from cleo.commands.command import Command

from ..kernel import hookimpl, load_plugins
from .demo import DemoCommand
from .explain import ExplainCommand
from .node import CredentialCommand, NodeRunCommand, PlatformCommand
from .policy import (
    PolicyAcceptCommand,
    PolicyCheckCommand,
    PolicyDiffCommand,
    PolicyHistoryCommand,
    PolicyShowCommand,
    PolicyStatusCommand,
)
from .report import AuditCommand, StatusCommand

__all__ = ["main", "make_application"]


def make_application() -> Application:
    """Return the program with every registered command."""
    application = Application("cyclamenvane", metadata.version("cyclamenvane"))
    for commands in load_plugins().hook.cyclamenvane_commands():
        for command in commands:
            application.add(command)
    return application


def main() -> int:
    """Run the program and return its exit status."""
    return make_application().run()


@hookimpl
def cyclamenvane_commands() -> Sequence[Command]:
    """Return the commands that ship with the library."""
    return [
        NodeRunCommand(),
        CredentialCommand(),
        PlatformCommand(),
        PolicyShowCommand(),
        PolicyCheckCommand(),
        PolicyDiffCommand(),
        PolicyAcceptCommand(),
        PolicyStatusCommand(),
        PolicyHistoryCommand(),
        StatusCommand(),
        AuditCommand(),
        DemoCommand(),
        ExplainCommand(),
    ]
