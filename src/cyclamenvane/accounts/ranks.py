"""The order in which the nodes of a zone hold the bucket of an account."""

from __future__ import annotations

import itertools
from dataclasses import dataclass

from .holders import rank_holders

__all__ = ["RankCache", "Ranks"]


@dataclass(frozen=True)
class Ranks:
    """The usable nodes of a zone in order, and the silent ones before the first."""

    usable: tuple[str, ...]
    silent: tuple[str, ...]


class RankCache:
    """The ranks of the nodes of each zone, kept while they are the same."""

    def __init__(self) -> None:
        self._usable: dict[str, tuple[str, ...]] = {}
        self._members: dict[str, tuple[str, ...]] = {}
        self._ranks: dict[tuple[str, str], Ranks] = {}

    def update(self, usable: dict[str, list[str]], zone_of: dict[str, str]) -> None:
        """Set the usable nodes of each zone, and the zone of each known node."""
        members: dict[str, list[str]] = {}
        for node, zone in zone_of.items():
            members.setdefault(zone, []).append(node)
        sorted_usable = {zone: tuple(sorted(usable[zone])) for zone in usable}
        sorted_members = {zone: tuple(sorted(members[zone])) for zone in members}
        if sorted_usable != self._usable or sorted_members != self._members:
            self._usable, self._members = sorted_usable, sorted_members
            self._ranks = {}

    def zones(self) -> list[str]:
        """Return the zones with a usable node."""
        return list(self._usable)

    def usable(self, zone: str) -> tuple[str, ...]:
        """Return the usable nodes of a zone, in no order of an account."""
        return self._usable.get(zone, ())

    def find(self, account: str, zone: str) -> Ranks:
        """Return the ranks for an account in a zone."""
        key = account, zone
        # An update replaces the nodes before the ranks, so that ranks of the nodes
        # before are never stored with the new ones.
        known_ranks = self._ranks
        ranks = known_ranks.get(key)
        if ranks is None:
            usable = set(self._usable.get(zone, ()))
            ranked = rank_holders(account, self._members.get(zone, ()))
            silent = itertools.takewhile(lambda node: node not in usable, ranked)
            ranks = Ranks(
                tuple(node for node in ranked if node in usable), tuple(silent)
            )
            known_ranks[key] = ranks
        return ranks
