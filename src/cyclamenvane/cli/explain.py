"""Command that collects one request's log lines from several nodes."""

from __future__ import annotations

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument

from ..mesh.trace import collect_trace
from .base import EXIT_FAILURE

__all__ = ["ExplainCommand"]


class ExplainCommand(Command):
    """Prints the log lines of one request from the logs of several nodes."""

    name = "explain"
    description = "Show the log lines of one request from the logs of several nodes"
    arguments = [
        argument("id", "The id of the request"),
        argument("files", "Log files of nodes", multiple=True),
    ]

    def handle(self) -> int:
        """Print the request's log lines, or an error."""
        lines: list[str] = []
        for name in self.argument("files"):
            try:
                text = Path(name).read_text(encoding="utf-8", errors="replace")
            except OSError as error:
                self.line_error(f"{name}: cannot be read: {error}", "error")
                return EXIT_FAILURE
            lines += text.splitlines()
        trace = collect_trace(self.argument("id"), lines)
        if trace.malformed:
            self.line_error(f"skipped {trace.malformed} malformed log lines")
        if not trace.lines:
            self.line_error(
                "no log line found for the request: successful requests are sampled, "
                "and lines above the rate limit are dropped",
                "error",
            )
            return EXIT_FAILURE
        self.line(trace.render())
        return 0
