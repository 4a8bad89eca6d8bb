"""Control API of a node, for targets, operators and metrics.

The API has a port of its own, separate from callers. Targets announce themselves
with the targets' key, operators authenticate with the operators' key, and
`/metrics` and `/ready` need no key.
"""

from __future__ import annotations

import hmac
import json
import secrets
import urllib.parse
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Annotated, Any

from expression import Error, Ok, Result
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from ..audit import list_actions, list_changes
from ..calls import IncompleteBody, Pipe, read_all
from ..membership import TargetRecord
from ..policy import (
    MAX_SECTION_BYTES,
    Edit,
    accept_edit,
    list_history,
    parse_document,
    read_section,
)
from ..settings import Address, Between, Pattern, build_checked
from .channel import UPLOAD_KEY
from .http import find_bearer, reply_text
from .metric import refresh_gauges
from .status import (
    describe_entry,
    describe_section,
    describe_target,
    summarize_zones,
)

if TYPE_CHECKING:
    from ..settings import KeySettings
    from .node import Node

__all__ = ["Control"]

_MAX_BODY_BYTES = 256 * 1024
_DIGEST_TIMEOUT = timedelta(milliseconds=600)
_MAX_CHANGES = 1000
_Name = Annotated[str, Pattern(lambda text: 0 < len(text) <= 64, "1 to 64 characters")]

Environ = dict[str, Any]


@dataclass(frozen=True, slots=True)
class _Announcement:
    service: _Name
    address: Address
    slots: Annotated[int, Between(1, 100_000)]
    connections: Annotated[int, Between(1, 1_000_000)] = 1000
    cold: bool = False
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class _EditBody:
    team: _Name
    base: Annotated[int, Between(0, 2**53)]
    text: str
    operator: _Name
    edit: str = ""


@dataclass(frozen=True, slots=True)
class _Reply:
    status: int
    value: Any


class Control:
    """The WSGI application of the control listener."""

    def __init__(self, node: Node, keys: KeySettings) -> None:
        self._node = node
        self._keys = keys
        self._routes: dict[str, tuple[str, Callable[[Environ], _Reply]]] = {
            "POST /targets": (keys.targets, self._announce),
            "POST /targets/withdraw": (keys.targets, self._withdraw),
            "GET /status": (keys.operators, self._show_status),
            "GET /zones": (keys.operators, self._show_zones),
            "GET /policy": (keys.operators, self._show_policy),
            "GET /policy/accepted": (keys.operators, self._show_accepted),
            "GET /policy/history": (keys.operators, self._show_history),
            "POST /policy/accept": (keys.operators, self._accept),
            "GET /audit": (keys.operators, self._show_audit),
        }

    def __call__(self, environ: Environ, start_response: Any) -> Iterable[bytes]:
        """Serve one request."""
        name = f"{environ['REQUEST_METHOD']} {environ['PATH_INFO']}"
        if name == "GET /metrics":
            refresh_gauges(self._node)
            text = generate_latest(self._node.metrics.registry).decode()
            content_type = CONTENT_TYPE_LATEST.partition(";")[0]
            return reply_text(start_response, 200, text, content_type)
        if name == "GET /ready":
            ready = self._node.ready
            return reply_text(start_response, 200 if ready else 503, f"{ready}\n")
        reply = self._handle(name, environ)
        text = json.dumps(reply.value, indent=1) + "\n"
        return reply_text(start_response, reply.status, text, "application/json")

    def _handle(self, name: str, environ: Environ) -> _Reply:
        route = self._routes.get(name)
        if route is None:
            return _Reply(404, {"error": f"there is no {name}"})
        key, serve = route
        if not hmac.compare_digest(find_bearer(environ).encode(), key.encode()):
            return _Reply(401, {"error": "the key is missing or wrong"})
        return serve(environ)

    def _announce(self, environ: Environ) -> _Reply:
        body = _read_body(environ, _Announcement)
        if body.is_error():
            return _Reply(400, {"error": body.error})
        submitted = body.ok
        record = TargetRecord(
            submitted.service,
            submitted.address,
            submitted.slots,
            submitted.cold,
            submitted.leaving,
        )
        self._node.targets.announce(record)
        return _Reply(
            200, {"announced": submitted.service, "leaving": submitted.leaving}
        )

    def _withdraw(self, environ: Environ) -> _Reply:
        body = _read_body(environ, _Announcement)
        if body.is_error():
            return _Reply(400, {"error": body.error})
        withdrawn = self._node.targets.withdraw(body.ok.service)
        return _Reply(200 if withdrawn else 404, {"withdrawn": withdrawn})

    def _show_status(self, environ: Environ) -> _Reply:
        node = self._node
        own = node.view.own
        rule_set = node.rule_set
        targets = [
            asdict(describe_target(each, rule_set)) for each in node.targets.all()
        ]
        sections = [describe_section(each) for each in node.sections.all()]
        for section in sections:
            del section["text"]
        value = {
            "node": own.name,
            "zone": own.zone,
            "session": own.session,
            "ready": node.ready,
            "platform_silent_s": node.platform_silent_s(),
            "targets": targets,
            "sections": sections,
            "actions": [describe_entry(each) for each in node.actions.unsaved()],
        }
        return _Reply(200, value)

    def _show_zones(self, environ: Environ) -> _Reply:
        node = self._node
        members = node.view.all()
        digest = node.sections.digest
        others = [each for each in members if each.name != node.view.own.name]
        digests = node.gossip.collect_digests(others, _DIGEST_TIMEOUT)
        silent = {
            each.name: since
            for each in others
            if (since := node.view.suspected_for(each.name)) is not None
        }
        zones = summarize_zones(members, node.view.own, digest, digests, silent)
        value = [{**asdict(each), "complete": each.complete} for each in zones]
        return _Reply(200, {"zones": value, "versions": node.sections.versions()})

    def _show_policy(self, environ: Environ) -> _Reply:
        sections = [describe_section(each) for each in self._node.sections.all()]
        return _Reply(200, {"sections": sections})

    def _show_accepted(self, environ: Environ) -> _Reply:
        team = _read_query(environ, "team")
        found = read_section(self._node.platform.table, team)
        if found.is_error():
            return _Reply(503, {"error": f"the platform: {found.error.detail}"})
        section = None if found.ok is None else describe_section(found.ok)
        return _Reply(200, {"section": section})

    def _show_history(self, environ: Environ) -> _Reply:
        found = list_history(self._node.platform.table, _read_query(environ, "team"))
        if found.is_error():
            return _Reply(503, {"error": f"the platform: {found.error.detail}"})
        return _Reply(200, {"sections": [describe_section(each) for each in found.ok]})

    def _accept(self, environ: Environ) -> _Reply:
        body = _read_body(environ, _EditBody)
        if body.is_error():
            return _Reply(400, {"error": body.error})
        submitted = body.ok
        problem = _check_section(submitted, self._node)
        if problem:
            return _Reply(422, {"error": problem})
        name = submitted.edit or secrets.token_hex(12)
        edit = Edit(
            name, submitted.team, submitted.base, submitted.text, submitted.operator
        )
        accepted = accept_edit(self._node.platform.table, edit, self._node.clock)
        if accepted.is_ok():
            self._node.section_sync.apply(accepted.ok)
            return _Reply(200, {"section": describe_section(accepted.ok)})
        rejection = accepted.error
        current = rejection.current
        value = {
            "error": rejection.reason,
            "unsure": rejection.unsure,
            "edit": name,
            "current": describe_section(current) if current else None,
        }
        return _Reply(409 if current else 503, value)

    def _show_audit(self, environ: Environ) -> _Reply:
        since = _read_query(environ, "since")
        platform = self._node.platform
        changes = list_changes(platform.table, since, _MAX_CHANGES)
        if changes.is_error():
            return _Reply(503, {"error": f"the platform: {changes.error.detail}"})
        entries = [*changes.ok, *list_actions(platform.objects, since)]
        entries += self._node.actions.unsaved()
        entries.sort(key=lambda entry: entry.when)
        return _Reply(200, {"entries": [describe_entry(each) for each in entries]})


def _check_section(submitted: _EditBody, node: Node) -> str:
    """Return why a section is invalid beside the others in force, or ''."""
    if len(submitted.text.encode()) > MAX_SECTION_BYTES:
        return f"the section is larger than {MAX_SECTION_BYTES} bytes; shorten it"
    parsed = parse_document(submitted.text)
    if parsed.is_error():
        return str(parsed.error)
    if submitted.text and list(parsed.ok.teams) != [submitted.team]:
        return f"the text must hold the section {submitted.team!r} and nothing else"
    others = [each for each in node.sections.all() if each.team != submitted.team]
    owners = {
        service: section.team
        for section in others
        for team in parse_document(section.text).default_value(None).teams.values()
        for service in team.services
    }
    for team in parsed.ok.teams.values():
        for service in team.services:
            if service in owners:
                owner = owners[service]
                return f"service {service!r} is already in section {owner!r}"
    return ""


def _read_body(environ: Environ, body_class: type) -> Result[Any, str]:
    body: bytes | Pipe = environ.get(UPLOAD_KEY) or environ["wsgi.input"].read()
    length = (body.length or 0) if isinstance(body, Pipe) else len(body)
    if length > _MAX_BODY_BYTES:
        return Error(f"the body is larger than {_MAX_BODY_BYTES} bytes")
    try:
        raw = read_all(body)
    except IncompleteBody as error:
        return Error(f"the body broke off: {error}")
    try:
        data = json.loads(raw)
    except ValueError as error:
        return Error(f"the body is no JSON: {error}")
    checked = build_checked(data, body_class)
    if checked.is_error():
        return Error("; ".join(str(problem) for problem in checked.error))
    return Ok(checked.ok)


def _read_query(environ: Environ, name: str) -> str:
    values = urllib.parse.parse_qs(environ.get("QUERY_STRING", "")).get(name, [""])
    return values[0]
