"""The findings of a check of a configuration, and where they are.

A place does not depend on the names of a platform's document; an adapter renders it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .model import Route

__all__ = ["Finding", "FindingKind", "Part", "Place", "label_route"]


class FindingKind(Enum):
    """What a finding is about, in the order in which findings are shown."""

    ERROR = "error"
    UNREACHABLE = "unreachable"
    CONTRADICTION = "contradiction"
    LOST_ACCESS = "lost access"
    DIFFERENCE = "difference"

    @property
    def is_fault(self) -> bool:
        """Whether the configuration is wrong, and not only a change."""
        return self not in (FindingKind.LOST_ACCESS, FindingKind.DIFFERENCE)


class Part(Enum):
    """A part of a configuration."""

    VERSION = "version"
    ROUTE = "route"
    SHARE = "share"
    SERVICE = "service"
    LIMITS = "limits"
    ACCOUNTS = "accounts"
    ACCOUNT = "account"


@dataclass(frozen=True, slots=True)
class Place:
    """The place of a finding.

    `position` is that of a route, `share` that of a share in its route. `name` is that
    of a service or an account. `in_force` is whether the place is in the version in
    force, not in the checked one.
    """

    part: Part
    position: int = 0
    share: int = 0
    name: str = ""
    in_force: bool = False


@dataclass(frozen=True, slots=True)
class Finding:
    """Something that a check has found; `text` is one sentence without its place."""

    kind: FindingKind
    place: Place
    text: str


def label_route(route: Route) -> str:
    """Return the name of a route in findings, as in the decoder's problems."""
    return f"route {route.host}{route.prefix}"
