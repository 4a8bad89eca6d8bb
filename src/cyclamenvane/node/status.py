"""Status of a node for operators, as values that can be written as JSON."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import asdict, dataclass
from datetime import datetime, timedelta
from typing import TYPE_CHECKING, Any

from ..membership import Member, Standing

if TYPE_CHECKING:
    from ..audit import AuditEntry
    from ..policy import RuleSet, Section
    from .target import LocalTarget

__all__ = [
    "TargetStatus",
    "ZoneStatus",
    "describe_entry",
    "describe_section",
    "describe_target",
    "summarize_zones",
]


@dataclass(frozen=True, slots=True)
class ZoneStatus:
    """How many nodes of a zone have the same sections in force as this node.

    `nodes` counts the members of the zone, `in_force` those with the same section
    versions, `silent` those that did not answer. `silent_s` is the longest time
    in seconds that a member of the zone has been silent.
    """

    zone: str
    nodes: int
    in_force: int
    silent: int
    silent_s: float

    @property
    def complete(self) -> bool:
        """Return whether every node of the zone has the same versions in force."""
        return self.in_force == self.nodes


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """Status of a target on this VM and of its admission gate."""

    service: str
    address: str
    slots: int
    cold: bool
    leaving: bool
    in_flight: int
    waiting: int
    limit: int
    level: int
    pinned: bool


def describe_target(target: LocalTarget, rule_set: RuleSet) -> TargetStatus:
    """Return the status of a local target under the rules in force."""
    record, gate = target.record, target.gate.state()
    leaving = record.leaving or record.address in rule_set.find(record.service).leaving
    return TargetStatus(
        record.service,
        record.address,
        record.slots,
        record.cold,
        leaving,
        gate.in_flight,
        gate.waiting,
        gate.limit,
        gate.level,
        gate.pinned,
    )


def describe_section(section: Section) -> dict[str, Any]:
    """Return a section as a JSON-serializable dictionary."""
    return {
        "team": section.team,
        "version": section.version,
        "operator": section.operator,
        "accepted_at": _format_time(section.accepted_at),
        "edit": section.edit,
        "text": section.text,
    }


def describe_entry(entry: AuditEntry) -> dict[str, Any]:
    """Return an audit trail entry as a JSON-serializable dictionary."""
    return {**asdict(entry), "when": _format_time(entry.when)}


def summarize_zones(
    members: Iterable[Member],
    own: Member,
    digest: int,
    digests: dict[str, int],
    silent_for: dict[str, timedelta],
) -> list[ZoneStatus]:
    """Return the status of each zone from the digests its members reported.

    `digests` and `silent_for` are keyed by member name.
    """
    zones: dict[str, list[Member]] = {}
    for member in members:
        zones.setdefault(member.zone, []).append(member)
    statuses = []
    for zone, group in sorted(zones.items()):
        reported = [
            digest if m.name == own.name else digests.get(m.name) for m in group
        ]
        longest = max(
            (silent_for.get(m.name, timedelta()) for m in group), default=timedelta()
        )
        statuses.append(
            ZoneStatus(
                zone,
                len(group),
                reported.count(digest),
                reported.count(None),
                round(longest.total_seconds(), 1),
            )
        )
    return statuses


def count_standings(members: Iterable[Member]) -> dict[tuple[str, str], int]:
    """Return the number of members by zone and standing."""
    counts: dict[tuple[str, str], int] = {}
    for member in members:
        for standing in (Standing.ALIVE, Standing.SUSPECT):
            key = (member.zone, standing.name.lower())
            counts[key] = counts.get(key, 0) + (member.standing is standing)
    return counts


def _format_time(when: datetime) -> str:
    return when.isoformat(timespec="milliseconds")
