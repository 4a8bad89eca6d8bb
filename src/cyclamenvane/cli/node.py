"""Commands that run a node, issue credentials and run a platform stand-in."""

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
from .base import EXIT_FAILURE, load_settings

__all__ = ["CredentialCommand", "NodeRunCommand", "PlatformCommand"]

# Each hop of a call wakes a thread; a longer interval would delay the others.
_SWITCH_INTERVAL_S = 0.0005
_SETTINGS = option("settings", None, "Settings file", flag=False)


class NodeRunCommand(Command):
    """Runs a node until SIGTERM or SIGINT, then lets its calls finish."""

    name = "node"
    description = "Run a node"
    options = [_SETTINGS]

    def handle(self) -> int:
        """Run the node; return a failure if it does not start or stop cleanly."""
        settings = load_settings(self)
        if settings is None:
            return EXIT_FAILURE
        eliot.to_file(_open_log(settings.log.path))
        try:
            node = Node(settings, SystemClock())
        except (OSError, ValueError) as error:
            self.line_error(f"cannot start the node: {error}", "error")
            return EXIT_FAILURE
        stop_requested = _handle_stop_signals()
        sys.setswitchinterval(_SWITCH_INTERVAL_S)
        node.start()
        eliot.log_message(
            "node:start",
            node=node.view.own.name,
            front=list(node.front_listener.address),
            control=list(node.control_listener.address),
        )
        stop_requested.wait()
        clean = node.stop()
        eliot.log_message("node:stop", clean=clean)
        return 0 if clean else EXIT_FAILURE


class CredentialCommand(Command):
    """Prints the credential of a caller."""

    name = "credential"
    description = "Issue the credential of a caller"
    arguments = [argument("caller", "Name of the caller")]
    options = [_SETTINGS]

    def handle(self) -> int:
        """Print the credential."""
        settings = load_settings(self)
        if settings is None:
            return EXIT_FAILURE
        name = self.argument("caller")
        secret = derive_credential(settings.keys.callers.encode(), name).decode()
        self.line(f"{name}.{secret}")
        return 0


class PlatformCommand(Command):
    """Runs a platform stand-in for trials of the product."""

    name = "platform"
    description = "Run an in-memory platform stand-in, for trials only"
    options = [option("port", None, "Port to listen on", flag=False, default="7490")]

    def handle(self) -> int:
        """Serve until SIGTERM or SIGINT."""
        standin = PlatformStandIn(port=int(self.option("port")))
        self.line(f"platform stand-in listening on {standin.address}")
        stop_requested = _handle_stop_signals()
        threading.Thread(target=standin.run, daemon=True).start()
        stop_requested.wait()
        standin.stop()
        return 0


def _open_log(path: str) -> TextIO:
    if path == "-":
        return sys.stderr
    return open(path, "a", encoding="utf-8", buffering=1)


def _handle_stop_signals() -> threading.Event:
    stop_requested = threading.Event()

    def request_stop(number: int, frame: FrameType | None) -> None:
        stop_requested.set()

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    return stop_requested
