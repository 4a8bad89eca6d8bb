"""Distribution of accepted sections to all nodes.

Three mechanisms update the same `SectionTable`, whose versions only increase:

- The node that accepts an edit pushes a notice to a few others, and each node
  that receives a new version does the same.
- Every gossip datagram carries a digest, and nodes whose digests differ compare
  versions.
- The nodes of a zone together poll the platform's head row at a fixed rate,
  independent of their number.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING

import msgpack

from ..store import Table
from .acceptance import read_head, read_sections
from .section import Section, SectionTable, pack_section, unpack_section

if TYPE_CHECKING:
    from concurrent.futures import Executor

    from ..clock import Clock
    from ..membership import Member

__all__ = ["POLL_PERIOD", "SectionSync"]

POLL_PERIOD = timedelta(seconds=1)
_MAX_BACKOFF_FACTOR = 30
_COMPARE_INTERVAL = timedelta(milliseconds=500)
_QUERY_TIMEOUT = timedelta(seconds=1)

Query = Callable[["Member", str, bytes, timedelta], bytes | None]


class SectionSync:
    """Distributes sections to and from one node.

    `query` sends a query to a member over its stream, `push_notice` notifies a few
    members of a version, `count_zone_nodes` returns the number of nodes in the local
    zone.
    """

    def __init__(
        self,
        sections: SectionTable,
        table: Table,
        query: Query,
        push_notice: Callable[[str, int, str], None],
        count_zone_nodes: Callable[[], int],
        clock: Clock,
        executor: Executor,
        rng: random.Random | None = None,
    ) -> None:
        self.platform_seen_at: timedelta | None = None
        self._sections = sections
        self._table = table
        self._query = query
        self._push_notice = push_notice
        self._count_zone_nodes = count_zone_nodes
        self._clock = clock
        self._executor = executor
        self._random = rng or random.Random()
        self._failures = 0
        self._next_poll = clock.monotonic()
        self._compared_at: dict[str, timedelta] = {}
        self._fetching: set[tuple[str, int]] = set()
        self._lock = threading.Lock()

    def apply(self, section: Section) -> None:
        """Put a section in force at this node and notify other members."""
        if self._sections.apply(section):
            self._push_notice(section.team, section.version, "")

    def handle_notice(self, sender: Member, team: str, version: int) -> None:
        """Fetch a section if a member announces a newer version of it."""
        current = self._sections.get(team)
        if current is not None and current.version >= version:
            return
        with self._lock:
            if (team, version) in self._fetching:
                return
            self._fetching.add((team, version))
        self._executor.submit(self._fetch, sender, team, version)

    def handle_digest(self, sender: Member) -> None:
        """Compare versions with a member whose digest differs; rate-limited."""
        now = self._clock.monotonic()
        with self._lock:
            last = self._compared_at.get(sender.name)
            if last is not None and now - last < _COMPARE_INTERVAL:
                return
            while len(self._compared_at) >= 64:
                self._compared_at.pop(next(iter(self._compared_at)))
            self._compared_at[sender.name] = now
        self._executor.submit(self.compare, sender)

    def compare(self, sender: Member) -> bool:
        """Fetch all sections of which a member has a newer version.

        Return False if the member does not reply.
        """
        raw = self._query(sender, "policy.versions", b"", _QUERY_TIMEOUT)
        if raw is None:
            return False
        versions = _unpack_versions(raw)
        for team in self._sections.list_newer(versions):
            self._fetch(sender, team, versions[team])
        return True

    def poll(self) -> None:
        """Read the platform's head row if the next poll is due."""
        now = self._clock.monotonic()
        if now < self._next_poll:
            return
        self._next_poll = now + self._random_poll_delay()
        head = read_head(self._table)
        if head.is_error():
            self._failures += 1
            return
        self._failures = 0
        self.platform_seen_at = self._clock.monotonic()
        # Each acceptance increments the versions of the head and of one section, so
        # the sum of the versions shows whether gossip has delivered all of them.
        version_sum = sum(self._sections.versions().values())
        if head.ok > version_sum:
            self._load()

    def load_all(self) -> bool:
        """Read all sections from the platform; return False if that fails."""
        return self._load()

    def answer(self, topic: str, payload: bytes) -> bytes | None:
        """Return the reply to a query about sections, or None if there is none."""
        if topic == "policy.versions":
            return msgpack.packb(self._sections.versions())
        if topic == "policy.section":
            section = self._sections.get(payload.decode(errors="replace"))
            return None if section is None else pack_section(section)
        return None

    def _load(self) -> bool:
        found = read_sections(self._table)
        if found.is_error():
            return False
        self.platform_seen_at = self._clock.monotonic()
        for section in found.ok:
            self.apply(section)
        return True

    def _fetch(self, sender: Member, team: str, version: int) -> None:
        try:
            raw = self._query(sender, "policy.section", team.encode(), _QUERY_TIMEOUT)
            if raw is None:
                return
            section = unpack_section(raw)
            if section.team == team and self._sections.apply(section):
                self._push_notice(team, section.version, sender.name)
        except ValueError:
            return
        finally:
            with self._lock:
                self._fetching.discard((team, version))

    def _random_poll_delay(self) -> timedelta:
        # Back off while the platform is down; random delays keep the nodes from
        # polling all at once when it is available again.
        factor = min(1 + self._failures, _MAX_BACKOFF_FACTOR)
        mean = POLL_PERIOD * max(1, self._count_zone_nodes()) * factor
        return mean * self._random.uniform(0.5, 1.5)


def _unpack_versions(raw: bytes) -> dict[str, int]:
    try:
        found = msgpack.unpackb(raw)
    except (ValueError, msgpack.exceptions.UnpackException):
        return {}
    if not isinstance(found, dict):
        return {}
    return {k: v for k, v in found.items() if type(k) is str and type(v) is int}
