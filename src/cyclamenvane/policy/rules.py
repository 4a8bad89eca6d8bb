"""The rules in force, compiled for evaluation on each call.

A `RuleSet` is built from the sections in force and is immutable; a new one
replaces it when a section is accepted.
"""

from __future__ import annotations

import fnmatch
import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from functools import lru_cache
from typing import TYPE_CHECKING

from ..calls import Importance
from .document import ImportanceRule, ManualRule, ServiceRules, parse_document

if TYPE_CHECKING:
    from .section import Section

__all__ = ["CompiledServiceRules", "Decision", "RuleSet", "build_rule_set"]

_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
_BYTES_PER_KB = 1024
_DEFAULT_IMPORTANCE = Importance.NORMAL


@dataclass(frozen=True, slots=True)
class Decision:
    """The result of evaluating the rules for one request.

    `requires_key` says that the request needs an idempotency key, `idempotent` that it
    may be retried. A request that is neither is sent to a target at most once, and no
    response is recorded for its caller.
    """

    importance: Importance
    idempotent: bool
    requires_key: bool


@dataclass(frozen=True, slots=True)
class CompiledServiceRules:
    """The compiled rules of one service."""

    name: str
    team: str
    objective: str
    deadline: timedelta
    body_limit_bytes: int
    extra_attempts: int
    resends: int
    leaving: frozenset[str]
    manual: ManualRule
    _importance: tuple[tuple[frozenset[str], re.Pattern, Importance], ...]
    _non_idempotent: re.Pattern | None
    _idempotent: re.Pattern | None

    def decide(self, caller: str, method: str, path: str) -> Decision:
        """Evaluate the rules for a request of a caller."""
        request = f"{method} {path.partition('?')[0]}"
        requires_key = _matches(self._non_idempotent, request)
        idempotent = method in _IDEMPOTENT_METHODS or _matches(
            self._idempotent, request
        )
        return Decision(
            self._find_importance(caller, request),
            idempotent and not requires_key,
            requires_key,
        )

    def _find_importance(self, caller: str, request: str) -> Importance:
        for callers, pattern, level in self._importance:
            if (caller in callers or "*" in callers) and pattern.fullmatch(request):
                return level
        return _DEFAULT_IMPORTANCE


class RuleSet:
    """The rules of all services, by service name."""

    def __init__(self, services: Iterable[CompiledServiceRules] = ()) -> None:
        self._services = {each.name: each for each in services}

    def find(self, service: str) -> CompiledServiceRules:
        """Return the rules of a service, or the defaults if no section lists it."""
        return self._services.get(service) or _make_default(service)

    def services(self) -> tuple[CompiledServiceRules, ...]:
        """Return the rules of all services in the sections."""
        return tuple(self._services.values())


def build_rule_set(sections: Iterable[Section]) -> RuleSet:
    """Compile the rules of the sections; skip sections that do not parse."""
    services: dict[str, CompiledServiceRules] = {}
    for section in sections:
        for service_rules in _compile_text(section.text):
            services.setdefault(service_rules.name, service_rules)
    return RuleSet(services.values())


@lru_cache(maxsize=1024)
def _compile_text(text: str) -> tuple[CompiledServiceRules, ...]:
    # Cached, so that only the section that changed is parsed again.
    parsed = parse_document(text)
    if parsed.is_error():
        return ()
    return tuple(
        compile_service(name, team, body.objective, rules)
        for team, body in parsed.ok.teams.items()
        for name, rules in body.services.items()
    )


def compile_service(
    name: str, team: str, objective: str, rules: ServiceRules
) -> CompiledServiceRules:
    """Compile the rules of a service."""
    return CompiledServiceRules(
        name=name,
        team=team,
        objective=objective,
        deadline=timedelta(milliseconds=rules.deadline_ms),
        body_limit_bytes=rules.body_limit_kb * _BYTES_PER_KB,
        extra_attempts=rules.extra_attempts,
        resends=rules.resends,
        leaving=frozenset(rules.leaving),
        manual=rules.manual,
        _importance=tuple(_compile_importance(rule) for rule in rules.importance),
        _non_idempotent=_compile_requests(rules.non_idempotent),
        _idempotent=_compile_requests(rules.idempotent),
    )


@lru_cache(maxsize=1024)
def _make_default(service: str) -> CompiledServiceRules:
    return compile_service(service, "", "goodput", ServiceRules())


def _compile_importance(
    rule: ImportanceRule,
) -> tuple[frozenset[str], re.Pattern, Importance]:
    pattern = _compile_requests(rule.requests)
    assert pattern is not None, "an importance rule must have requests"
    return frozenset(rule.callers), pattern, rule.level


def _compile_requests(requests: tuple[str, ...]) -> re.Pattern | None:
    if not requests:
        return None
    parts = (fnmatch.translate(request) for request in requests)
    return re.compile("|".join(parts))


def _matches(pattern: re.Pattern | None, request: str) -> bool:
    return pattern is not None and pattern.fullmatch(request) is not None
