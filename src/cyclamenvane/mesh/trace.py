"""A trace of one request, built from the log lines of several nodes.

The clocks of VMs differ, so lines of different nodes are not ordered by time. The
line of the request comes first, then the lines of the nodes that it passed, then
each of its nested calls in the same way. If a target that it was passed to has
announced its shutdown, what its node has said and stored about that follows.
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass
from typing import Any

import orjson

__all__ = ["LogLine", "RequestTrace", "collect_trace", "read_log_lines"]

# `call:done` is logged where a call enters the mesh, `forward:done` at its target.
_HOP_ORDER = {"forward:done": 0, "call:done": 1}
_SHUTDOWN_LINES = frozenset(
    (
        "node:record_read",
        "node:record_written",
        "target:leaving_acknowledged",
        "target:leaving_not_stored",
    )
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a node's log; `origin` is the text before the JSON object."""

    origin: str
    message_type: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class RequestTrace:
    """The lines of one request and its nested calls, in order.

    `malformed` is the number of lines that were skipped as invalid. `shutdowns` are the
    lines about the shutdown of the targets that ran the request, by time.
    """

    lines: tuple[LogLine, ...]
    malformed: int
    shutdowns: tuple[LogLine, ...] = ()

    def render(self) -> str:
        """Return the trace as text, with nested calls indented.

        Times are shown if they are to be compared with those of a shutdown.
        """
        with_time = bool(self.shutdowns)
        texts = [_render(line, line.fields["id"], with_time) for line in self.lines]
        texts += [
            _render(each, each.fields["instance"], True) for each in self.shutdowns
        ]
        return "\n".join(texts)


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
    instances = {line.fields.get("instance") for line in matching} - {None, ""}
    return RequestTrace(tuple(matching), malformed, _list_shutdowns(lines, instances))


def _list_shutdowns(
    lines: Iterable[LogLine], instances: Container[str]
) -> tuple[LogLine, ...]:
    found = [
        line
        for line in lines
        if line.message_type in _SHUTDOWN_LINES
        and line.fields.get("instance") in instances
        and line.fields.get("leaving", True)
    ]
    return tuple(sorted(found, key=lambda line: line.fields.get("timestamp", 0.0)))


def _is_of_request(name: Any, request: str) -> bool:
    return isinstance(name, str) and f"{name}.".startswith(f"{request}.")


def _render(line: LogLine, name: str, with_time: bool) -> str:
    fields = {
        key: value
        for key, value in line.fields.items()
        if value not in ("", None) and key not in ("id", "timestamp")
    }
    if with_time:
        fields["at"] = line.fields.get("timestamp")
    text = " ".join(f"{key}={value}" for key, value in fields.items())
    return f"{'  ' * name.count('.')}{name} {line.message_type} [{line.origin}] {text}"
