"""The story of one request, from the log lines of several nodes.

The clocks of VMs differ, so lines are not ordered by time between nodes. A
request's line comes first, then what the nodes on its way said, then each of
its inner calls in the same way.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import orjson

__all__ = ["LogLine", "Story", "collect_story", "read_log_lines"]

# At the node where a call began, and at the node beside its target.
_HOPS = {"order:done": 0, "call:done": 1}


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a node's log; `origin` is what stood before the JSON text."""

    origin: str
    kind: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Story:
    """The lines of one request and its inner calls, in order."""

    lines: tuple[LogLine, ...]
    broken: int

    def render(self) -> str:
        """Return the story as text, inner calls indented."""
        return "\n".join(_render(line) for line in self.lines)


def read_log_lines(texts: Iterable[str]) -> tuple[list[LogLine], int]:
    """Return the lines that are messages, and the number of broken ones."""
    lines, broken = [], 0
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = orjson.loads(text[start:])
            kind = fields.pop("message_type")
        except (orjson.JSONDecodeError, KeyError, AttributeError):
            broken += 1
            continue
        lines.append(LogLine(text[:start].strip(), kind, fields))
    return lines, broken


def collect_story(request: str, texts: Iterable[str]) -> Story:
    """Return what the logs say of a request and of the calls made for it."""
    lines, broken = read_log_lines(texts)
    found = [line for line in lines if _belongs(line.fields.get("id"), request)]
    found.sort(key=lambda line: (line.fields["id"], -_HOPS.get(line.kind, 0)))
    return Story(tuple(found), broken)


def _belongs(name: Any, request: str) -> bool:
    return isinstance(name, str) and f"{name}.".startswith(f"{request}.")


def _render(line: LogLine) -> str:
    fields = dict(line.fields)
    name = fields.pop("id")
    fields.pop("timestamp", None)
    told = " ".join(
        f"{key}={value}" for key, value in fields.items() if value not in ("", None)
    )
    return f"{'  ' * name.count('.')}{name} {line.kind} [{line.origin}] {told}"
