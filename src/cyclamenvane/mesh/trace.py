"""A trace of one request, built from the log lines of several nodes.

The clocks of VMs differ, so lines of different nodes are not ordered by time. The
line of the request comes first, then the lines of the nodes that it passed, then
each of its nested calls in the same way.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import orjson

__all__ = ["LogLine", "RequestTrace", "collect_trace", "read_log_lines"]

# `call:done` is logged where a call enters the mesh, `forward:done` at its target.
_HOP_ORDER = {"forward:done": 0, "call:done": 1}


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a node's log; `origin` is the text before the JSON object."""

    origin: str
    message_type: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class RequestTrace:
    """The lines of one request and its nested calls, in order.

    `malformed` is the number of lines that were skipped as invalid.
    """

    lines: tuple[LogLine, ...]
    malformed: int

    def render(self) -> str:
        """Return the trace as text, with nested calls indented."""
        return "\n".join(_render(line) for line in self.lines)


def read_log_lines(texts: Iterable[str]) -> tuple[list[LogLine], int]:
    """Return the parsed messages, and the number of malformed lines."""
    lines, malformed = [], 0
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = orjson.loads(text[start:])
            message_type = fields.pop("message_type")
        except (orjson.JSONDecodeError, KeyError, AttributeError):
            malformed += 1
            continue
        lines.append(LogLine(text[:start].strip(), message_type, fields))
    return lines, malformed


def collect_trace(request: str, texts: Iterable[str]) -> RequestTrace:
    """Return the lines of a request and of its nested calls from some logs."""
    lines, malformed = read_log_lines(texts)
    matching = [
        line for line in lines if _is_of_request(line.fields.get("id"), request)
    ]
    matching.sort(
        key=lambda line: (line.fields["id"], -_HOP_ORDER.get(line.message_type, 0))
    )
    return RequestTrace(tuple(matching), malformed)


def _is_of_request(name: Any, request: str) -> bool:
    return isinstance(name, str) and f"{name}.".startswith(f"{request}.")


def _render(line: LogLine) -> str:
    fields = dict(line.fields)
    name = fields.pop("id")
    fields.pop("timestamp", None)
    text = " ".join(
        f"{key}={value}" for key, value in fields.items() if value not in ("", None)
    )
    return f"{'  ' * name.count('.')}{name} {line.message_type} [{line.origin}] {text}"
