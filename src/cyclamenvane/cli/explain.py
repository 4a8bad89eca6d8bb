"""The command that follows one request through the logs of several nodes."""

from __future__ import annotations

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument

from ..mesh.trace import collect_trace
from .base import FAILED

__all__ = ["ExplainCommand"]


class ExplainCommand(Command):
    """Prints what the nodes' logs say of one request."""

    name = "explain"
    description = "Tell one request's story from the logs of several nodes"
    arguments = [
        argument("id", "The id of the request"),
        argument("files", "Log files of nodes", multiple=True),
    ]

    def handle(self) -> int:
        """Print the story, or what is missing."""
        texts: list[str] = []
        for name in self.argument("files"):
            try:
                text = Path(name).read_text(encoding="utf-8", errors="replace")
            except OSError as error:
                self.line_error(f"{name}: cannot be read: {error}", "error")
                return FAILED
            texts += text.splitlines()
        trace = collect_trace(self.argument("id"), texts)
        if trace.malformed:
            self.line_error(f"{trace.malformed} broken lines were passed over")
        if not trace.lines:
            self.line_error(
                "no line names the request: plain successes are sampled, and lines "
                "beyond the rate are left out",
                "error",
            )
            return FAILED
        self.line(trace.render())
        return 0
