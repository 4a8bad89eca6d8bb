"""The targets of each service, as known to one process."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..membership import Member, Standing, TargetRecord

if TYPE_CHECKING:
    from ..policy import RuleSet

__all__ = ["Directory", "Endpoint"]


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A target and the node through which it receives calls."""

    service: str
    member: Member
    target: TargetRecord

    @property
    def name(self) -> tuple[str, str]:
        """The name of the node and the address of the target."""
        return self.member.name, self.target.address


class Directory:
    """Finds the targets that accept new calls.

    `members` returns the known members, `version` a number that changes with
    them, `rule_set` the rules in force. The index of targets is rebuilt only when
    the version or the rules have changed.
    """

    def __init__(
        self,
        members: Callable[[], Iterable[Member]],
        version: Callable[[], int],
        rule_set: Callable[[], RuleSet],
    ) -> None:
        self._members = members
        self._version = version
        self._rule_set = rule_set
        self._built_from: tuple[int, RuleSet | None] = (-1, None)
        self._endpoints: dict[str, tuple[Endpoint, ...]] = {}
        self._by_session: dict[str, Member] = {}

    def find(self, service: str) -> tuple[Endpoint, ...]:
        """Return the targets of a service that accept new calls."""
        self._refresh()
        return self._endpoints.get(service, ())

    def find_session(self, session: str) -> Member | None:
        """Return the member with this session, or None."""
        self._refresh()
        return self._by_session.get(session)

    def _refresh(self) -> None:
        current = (self._version(), self._rule_set())
        if current == self._built_from:
            return
        by_service: dict[str, list[Endpoint]] = {}
        members = list(self._members())
        for endpoint in _list_endpoints(members, current[1]):
            by_service.setdefault(endpoint.service, []).append(endpoint)
        self._endpoints = {name: tuple(each) for name, each in by_service.items()}
        self._by_session = {each.session: each for each in members}
        self._built_from = current


def _list_endpoints(members: list[Member], rules: RuleSet) -> Iterable[Endpoint]:
    for member in members:
        if member.standing is not Standing.ALIVE:
            continue
        for target in member.targets:
            leaving = (
                target.leaving or target.address in rules.find(target.service).leaving
            )
            if not leaving:
                yield Endpoint(target.service, member, target)
