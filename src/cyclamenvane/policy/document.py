"""The policy document: its model, parser and checks.

The document is a TOML text with a section `[teams.NAME]` for each owning team.
A section lists the services that the team owns and sets, for each, the importance
of calls, the requests that must not be repeated, the deadline and body size limit,
the targets that are leaving and the values that an operator has pinned:

    [teams.dispatch]
    version = 4
    objective = "recovery"

    [teams.dispatch.services.booking]
    non_idempotent = ["POST /bookings"]
    deadline_ms = 2000

    [[teams.dispatch.services.booking.importance]]
    callers = ["crane-crews"]
    requests = ["GET /positions/*"]
    level = "critical"

`version` is the version of the section that the text was edited from. Sections
are sent and stored as text, so operators and nodes read the same text.
"""

from __future__ import annotations

import re
import tomllib
from dataclasses import dataclass, field
from typing import Annotated, Any

import tomlkit
from expression import Error, Ok, Result

from ..calls import Importance
from ..settings import Address, Between, OneOf, Pattern, Problem, build_checked

__all__ = [
    "MAX_SECTION_BYTES",
    "Document",
    "DocumentError",
    "ImportanceRule",
    "ManualRule",
    "ServiceRules",
    "TeamSection",
    "find_line",
    "parse_document",
    "split_sections",
]

MAX_SECTION_BYTES = 64 * 1024

_REQUEST = re.compile(r"(\*|[A-Z]+) /\S*")
_HEADER = re.compile(r"\s*(\[\[?)\s*([^\]]+?)\s*\]")
_TEAM_HEADER = re.compile(r"\s*\[+\s*teams\.\"?([a-z0-9_-]+)\"?\s*[\].]")
_NAME = re.compile(r"[a-z0-9][a-z0-9_-]{0,62}")
_RequestPattern = Annotated[
    str, Pattern(_REQUEST.fullmatch, "a method and path, as 'GET /positions/*'")
]
_CallerName = Annotated[
    str,
    Pattern(
        lambda text: text == "*" or _NAME.fullmatch(text),
        "a caller's name, as 'crane-crews', or '*'",
    ),
]


@dataclass(frozen=True, slots=True)
class ImportanceRule:
    """Assigns an importance to calls by caller and request."""

    level: Importance
    callers: tuple[_CallerName, ...] = ("*",)
    requests: tuple[_RequestPattern, ...] = ("* /*",)


@dataclass(frozen=True, slots=True)
class ManualRule:
    """Values pinned by an operator, which replace automatic adjustment.

    `limit` sets the limit of calls in flight at each target. `refuse_below`
    refuses every call of lower importance. If `automatic` is false, neither the
    limit nor the admission level is adjusted automatically.
    """

    automatic: bool = True
    limit: Annotated[int, Between(1, 100_000)] | None = None
    refuse_below: Importance | None = None


@dataclass(frozen=True, slots=True)
class ServiceRules:
    """The rules of one service."""

    importance: tuple[ImportanceRule, ...] = ()
    non_idempotent: tuple[_RequestPattern, ...] = ()
    idempotent: tuple[_RequestPattern, ...] = ()
    leaving: tuple[Address, ...] = ()
    deadline_ms: Annotated[int, Between(10, 600_000)] = 5000
    body_limit_kb: Annotated[int, Between(0, 1_048_576)] = 1024
    extra_attempts: Annotated[int, Between(0, 16)] = 3
    resends: Annotated[int, Between(0, 100)] = 4
    manual: ManualRule = field(default_factory=ManualRule)


@dataclass(frozen=True, slots=True)
class TeamSection:
    """The section of one team."""

    version: Annotated[int, Between(0, 2**53)] = 0
    owner: str = ""
    objective: Annotated[str, OneOf(("recovery", "goodput"))] = "goodput"
    services: dict[str, ServiceRules] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Document:
    """A complete document, with its sections by team."""

    teams: dict[str, TeamSection] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class DocumentError:
    """All problems found in a document, one line of text each."""

    lines: tuple[str, ...]

    def __str__(self) -> str:
        return "\n".join(self.lines)


def parse_document(
    text: str, name: str = "document"
) -> Result[Document, DocumentError]:
    """Parse and check a TOML text; return the document or all its problems."""
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Error(DocumentError((f"{name}: {error}; fix the TOML there",)))
    checked = build_checked(data, Document)
    problems = list(checked.error) if checked.is_error() else []
    if checked.is_ok():
        problems += _check_names(checked.ok)
        problems += _check_owners(checked.ok)
    if problems:
        lines = tuple(_format_problem(problem, text, name) for problem in problems)
        return Error(DocumentError(lines))
    return Ok(checked.ok)


def split_sections(text: str) -> dict[str, str]:
    """Return the text of each team's section of a valid document.

    Comments stay with the header below them. A section that cannot be split off by
    its headers (for example, inside an inline table) is serialized again.
    """
    teams = tomllib.loads(text).get("teams", {})
    parts = _split_by_headers(text)
    for team, body in teams.items():
        section = {"teams": {team: body}}
        if not _parses_to(parts.get(team, ""), section):
            parts[team] = tomlkit.dumps(section)
    return {team: parts[team].strip() + "\n" for team in teams}


def _split_by_headers(text: str) -> dict[str, str]:
    parts: dict[str, list[str]] = {}
    comments: list[str] = []
    team = ""
    for line in text.splitlines():
        found = _TEAM_HEADER.match(line)
        if found:
            team = found.group(1)
        if line.startswith("#") and not found:
            comments.append(line)
            continue
        parts.setdefault(team, []).extend([*comments, line])
        comments.clear()
    parts.setdefault(team, []).extend(comments)
    return {name: "\n".join(lines) for name, lines in parts.items()}


def _parses_to(text: str, expected: dict[str, Any]) -> bool:
    try:
        return tomllib.loads(text) == expected
    except tomllib.TOMLDecodeError:
        return False


def find_line(text: str, key: str) -> int | None:
    """Return the line number of a dotted key in a TOML text, or of its nearest parent.

    A table in an array of tables is identified by its index, from 0. The result
    is None if neither the key nor a parent is found.
    """
    steps = key.split(".")
    counts: dict[str, int] = {}
    table: list[str] = []
    nearest: int | None = None
    for number, line in enumerate(text.splitlines(), 1):
        header = _HEADER.match(line)
        if header:
            table = _resolve_header(header, counts)
            if steps[: len(table)] == table:
                nearest = number
            continue
        name = line.partition("=")[0].strip().strip('"')
        if name and steps[: len(table) + 1] == [*table, name]:
            return number
    return nearest


def _resolve_header(header: re.Match, counts: dict[str, int]) -> list[str]:
    brackets, name = header.groups()
    name = name.replace('"', "")
    if brackets == "[":
        return name.split(".")
    index = counts.get(name, 0)
    counts[name] = index + 1
    return [*name.split("."), str(index)]


def _format_problem(problem: Problem, text: str, name: str) -> str:
    line = find_line(text, problem.key)
    steps = problem.key.split(".")
    section = f" section {steps[1]!r}:" if len(steps) > 1 else ""
    place = f"{name}:{line}" if line else name
    return f"{place}:{section} {problem}"


def _check_names(document: Document) -> list[Problem]:
    problems = []
    for team, section in document.teams.items():
        if not _NAME.fullmatch(team):
            text = f"got {team!r}; allowed are lower-case letters, digits, '_', '-'"
            problems.append(Problem(f"teams.{team}", text))
        for service in section.services:
            if not _NAME.fullmatch(service):
                text = f"service {service!r} is not a plain name; rename it"
                problems.append(Problem(f"teams.{team}.services.{service}", text))
    return problems


def _check_owners(document: Document) -> list[Problem]:
    problems = []
    owners: dict[str, str] = {}
    for team, section in document.teams.items():
        for service in section.services:
            owner = owners.setdefault(service, team)
            if owner != team:
                text = f"service is also in section {owner!r}; keep it in one of them"
                problems.append(Problem(f"teams.{team}.services.{service}", text))
    return problems
