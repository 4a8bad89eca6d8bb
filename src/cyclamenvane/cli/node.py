"""The commands that run a node and serve its targets and callers."""

from __future__ import annotations

import signal
import sys
import threading
from types import FrameType
from typing import TextIO

import eliot
from cleo.commands.command import Command
from cleo.helpers import argument, option

from ..clock import SystemClock
from ..node import Node
from ..standins import PlatformStandIn
from ..wire import derive_credential
from .base import FAILED, find_settings

__all__ = ["CredentialCommand", "NodeRunCommand", "PlatformCommand"]

# Threads are woken for each hop of a call; a long turn would delay the others.
_SWITCH_S = 0.0005
_SETTINGS = option("settings", None, "Settings file", flag=False)


class NodeRunCommand(Command):
    """Runs a node until SIGTERM, then lets its calls finish."""

    name = "node"
    description = "Run a node"
    options = [_SETTINGS]

    def handle(self) -> int:
        """Run the node."""
        settings = find_settings(self)
        if settings is None:
            return FAILED
        eliot.to_file(_open_log(settings.log.path))
        try:
            node = Node(settings, SystemClock())
        except (OSError, ValueError) as error:
            self.line_error(f"the node cannot start: {error}", "error")
            return FAILED
        ended = _catch_signals()
        sys.setswitchinterval(_SWITCH_S)
        node.start()
        eliot.log_message(
            "node:start",
            node=node.view.own.name,
            front=list(node.front_listener.address),
            control=list(node.control_listener.address),
        )
        ended.wait()
        clean = node.stop()
        eliot.log_message("node:stop", clean=clean)
        return 0 if clean else FAILED


class CredentialCommand(Command):
    """Prints the credential of a caller."""

    name = "credential"
    description = "Issue the credential of a caller"
    arguments = [argument("caller", "Name of the caller")]
    options = [_SETTINGS]

    def handle(self) -> int:
        """Print the credential."""
        settings = find_settings(self)
        if settings is None:
            return FAILED
        name = self.argument("caller")
        secret = derive_credential(settings.keys.callers.encode(), name).decode()
        self.line(f"{name}.{secret}")
        return 0


class PlatformCommand(Command):
    """Serves a platform stand-in, for trying the product out."""

    name = "platform"
    description = "Run a platform stand-in in memory, for trials only"
    options = [option("port", None, "Port to listen on", flag=False, default="7490")]

    def handle(self) -> int:
        """Serve until interrupted."""
        standin = PlatformStandIn(port=int(self.option("port")))
        self.line(f"platform stand-in at {standin.address}")
        ended = _catch_signals()
        threading.Thread(target=standin.run, daemon=True).start()
        ended.wait()
        standin.stop()
        return 0


def _open_log(path: str) -> TextIO:
    if path == "-":
        return sys.stderr
    return open(path, "a", encoding="utf-8", buffering=1)


def _catch_signals() -> threading.Event:
    ended = threading.Event()

    def end(number: int, frame: FrameType | None) -> None:
        ended.set()

    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGINT, end)
    return ended
