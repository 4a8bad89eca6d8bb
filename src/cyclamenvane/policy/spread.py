"""How accepted sections reach every node, and stay.

Three ways lead to the same `SectionTable`, which only ever moves forward. The
node that accepts an edit pushes a notice to a few others, and each node that
learns something new does the same. Every gossip datagram carries a digest, and
nodes whose digests differ compare versions. And the nodes of a zone together
poll the platform's head row at a fixed rate, whatever their number.
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

__all__ = ["POLL_PERIOD", "Spread"]

POLL_PERIOD = timedelta(seconds=1)
_SLOWEST_POLL_FACTOR = 30
_COMPARE_EVERY = timedelta(milliseconds=500)
_ASK_TIMEOUT = timedelta(seconds=1)

Ask = Callable[["Member", str, bytes, timedelta], bytes | None]


class Spread:
    """One node's part in spreading the sections.

    `ask` puts a question to a member over its stream, `push` tells a few
    members of a version, `count_zone` gives the number of nodes in this zone.
    """

    def __init__(
        self,
        sections: SectionTable,
        table: Table,
        ask: Ask,
        push: Callable[[str, int, str], None],
        count_zone: Callable[[], int],
        clock: Clock,
        executor: Executor,
        choose: random.Random | None = None,
    ) -> None:
        self.platform_seen_at: timedelta | None = None
        self._sections = sections
        self._table = table
        self._ask = ask
        self._push = push
        self._count_zone = count_zone
        self._clock = clock
        self._executor = executor
        self._random = choose or random.Random()
        self._failures = 0
        self._next_poll = clock.monotonic()
        self._compared: dict[str, timedelta] = {}
        self._fetching: set[tuple[str, int]] = set()
        self._lock = threading.Lock()

    def accept(self, section: Section) -> None:
        """Put a section in force here and tell others."""
        if self._sections.adopt(section):
            self._push(section.team, section.version, "")

    def hear_notice(self, sender: Member, team: str, version: int) -> None:
        """Fetch a section that a member says it holds in a newer version."""
        held = self._sections.get(team)
        if held is not None and held.version >= version:
            return
        with self._lock:
            if (team, version) in self._fetching:
                return
            self._fetching.add((team, version))
        self._executor.submit(self._fetch, sender, team, version)

    def hear_digest(self, sender: Member) -> None:
        """Compare versions with a member whose digest differs, now and then."""
        now = self._clock.monotonic()
        with self._lock:
            last = self._compared.get(sender.name)
            if last is not None and now - last < _COMPARE_EVERY:
                return
            while len(self._compared) >= 64:
                self._compared.pop(next(iter(self._compared)))
            self._compared[sender.name] = now
        self._executor.submit(self.compare, sender)

    def compare(self, sender: Member) -> bool:
        """Fetch every section that a member holds in a newer version."""
        raw = self._ask(sender, "policy.versions", b"", _ASK_TIMEOUT)
        if raw is None:
            return False
        versions = _unpack_versions(raw)
        for team in self._sections.list_newer(versions):
            self._fetch(sender, team, versions[team])
        return True

    def poll(self) -> None:
        """Look at the platform's head row when this node's turn has come."""
        now = self._clock.monotonic()
        if now < self._next_poll:
            return
        self._next_poll = now + self._draw_wait()
        head = read_head(self._table)
        if head.is_error():
            self._failures += 1
            return
        self._failures = 0
        self.platform_seen_at = self._clock.monotonic()
        # Each acceptance moves the head and one section by one version, so the
        # sum of the versions tells whether gossip has brought everything.
        held = sum(self._sections.versions().values())
        if head.ok > held:
            self._load()

    def load_all(self) -> bool:
        """Read every section from the platform; return False when it is down."""
        return self._load()

    def answer(self, topic: str, payload: bytes) -> bytes | None:
        """Answer another node's question about sections."""
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
            self.accept(section)
        return True

    def _fetch(self, sender: Member, team: str, version: int) -> None:
        try:
            raw = self._ask(sender, "policy.section", team.encode(), _ASK_TIMEOUT)
            if raw is None:
                return
            section = unpack_section(raw)
            if section.team == team and self._sections.adopt(section):
                self._push(team, section.version, sender.name)
        except ValueError:
            return
        finally:
            with self._lock:
                self._fetching.discard((team, version))

    def _draw_wait(self) -> timedelta:
        # While the platform is down the polls thin out, and after it returns
        # they come back at random times.
        factor = min(1 + self._failures, _SLOWEST_POLL_FACTOR)
        mean = POLL_PERIOD * max(1, self._count_zone()) * factor
        return mean * self._random.uniform(0.5, 1.5)


def _unpack_versions(raw: bytes) -> dict[str, int]:
    try:
        found = msgpack.unpackb(raw)
    except (ValueError, msgpack.exceptions.UnpackException):
        return {}
    if not isinstance(found, dict):
        return {}
    return {k: v for k, v in found.items() if type(k) is str and type(v) is int}
