"""The members that one node knows, and how it judges them.

What is said about a member is ordered by incarnation, then standing, so old or
repeated messages change nothing. A member that was found dead is remembered for
a while, and a description no newer than its death does not revive it.

A suspicion turns into a death only when this node has itself heard from another
member of the same availability zone since the suspicion began. A zone from which
nothing is heard is taken to be cut off: its members stay suspected, get no calls
and are probed at a falling rate until one of them answers.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import TYPE_CHECKING

import xxhash

from .member import Member, Standing

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["BUCKETS", "DEATH_MEMORY", "SUSPICION", "Change", "View"]

SUSPICION = timedelta(seconds=3)
DEATH_MEMORY = timedelta(hours=1)
CUT_MEMORY = timedelta(hours=6)
BUCKETS = 64


@dataclass(frozen=True, slots=True)
class Change:
    """A member as it was and as it is now; None where it was not known."""

    before: Member | None
    after: Member | None


class View:
    """The table of members at one node.

    `on_change` is called, outside the lock, for each change that others should
    hear of.
    """

    def __init__(
        self,
        own: Member,
        clock: Clock,
        on_change: Callable[[Change], None] = lambda _: None,
    ) -> None:
        self.version = 0
        self.on_change = on_change
        self._own = own
        self._clock = clock
        self._members: dict[str, Member] = {own.name: own}
        self._suspected: dict[str, timedelta] = {}
        self._dead: dict[str, tuple[Member, timedelta]] = {}
        self._heard: dict[str, tuple[str, timedelta]] = {}
        self._digest = _mark(own)
        self._lock = threading.RLock()

    @property
    def own(self) -> Member:
        """This node itself."""
        return self._own

    @property
    def digest(self) -> int:
        """A number that is equal at two nodes that know the same members."""
        return self._digest

    def all(self) -> tuple[Member, ...]:
        """Return every member that is not known to be dead, this node included."""
        with self._lock:
            return tuple(self._members.values())

    def read_buckets(self) -> tuple[int, ...]:
        """Return a digest for each bucket of members, by hash of their names."""
        digests = [0] * BUCKETS
        for member in self.all():
            digests[_find_bucket(member)] ^= _mark(member)
        return tuple(digests)

    def list_differing(self, digests: Sequence[int]) -> tuple[Member, ...]:
        """Return the members of the buckets whose digests are others here."""
        own = self.read_buckets()
        return tuple(
            member
            for member in self.all()
            if own[_find_bucket(member)] != digests[_find_bucket(member)]
        )

    def others(self) -> tuple[Member, ...]:
        """Return every member but this node."""
        return tuple(each for each in self.all() if each.name != self._own.name)

    def get(self, name: str) -> Member | None:
        """Return the member of that name."""
        return self._members.get(name)

    def find_session(self, session: str) -> Member | None:
        """Return the member whose process runs under that session."""
        for member in self.all():
            if member.session == session:
                return member
        return None

    def is_cut(self, zone: str) -> bool:
        """Whether every member of a zone is silent."""
        members = [each for each in self.all() if each.zone == zone]
        return all(each.standing is Standing.SUSPECT for each in members)

    def buried(self) -> tuple[Member, ...]:
        """Return the members that were lately found dead."""
        with self._lock:
            return tuple(member for member, _ in self._dead.values())

    def find_buried(self, name: str) -> Member | None:
        """Return a member that was lately found dead."""
        death = self._dead.get(name)
        return death[0] if death else None

    def update_own(self, targets: tuple) -> None:
        """Describe this node's targets anew, under a higher incarnation."""
        with self._lock:
            before = self._own
            own = replace(before, targets=targets, incarnation=before.incarnation + 1)
            self._put_own(own)
        self.on_change(Change(before, own))

    def leave(self) -> None:
        """Describe this node as gone, for others to hear; it stays listed here."""
        with self._lock:
            own = replace(self._own, incarnation=self._own.incarnation + 1)
            self._put_own(own)
        self.on_change(Change(own, own.stand(Standing.DEAD)))

    def merge(self, update: Member) -> bool:
        """Take in what was said about a member; say whether it changed anything."""
        with self._lock:
            if update.name == self._own.name:
                change = self._correct(update)
            else:
                change = self._take(update)
        if change is not None:
            self.on_change(change)
        return change is not None

    def merge_all(self, updates: Iterable[Member]) -> int:
        """Take in several descriptions; return how many changed anything."""
        return sum(self.merge(update) for update in updates)

    def suspect(self, name: str) -> None:
        """Note that a member did not answer."""
        member = self.get(name)
        if member is not None and member.standing is Standing.ALIVE:
            self.merge(member.stand(Standing.SUSPECT))

    def hear(self, name: str) -> None:
        """Note a direct sign of life of a member, and so of its zone."""
        member = self._members.get(name)
        if member is not None:
            self._heard[member.zone] = (name, self._clock.monotonic())

    def expire(self) -> list[Member]:
        """Judge suspicions that have lasted; return the members found dead."""
        now = self._clock.monotonic()
        found = []
        with self._lock:
            self._forget_deaths(now)
            for name, since in list(self._suspected.items()):
                member = self._members[name]
                if now - since >= SUSPICION and self._is_reached(member, since):
                    found.append(member.stand(Standing.DEAD))
                elif now - since >= CUT_MEMORY:
                    found.append(member.stand(Standing.DEAD))
        for member in found:
            self.merge(member)
        return found

    def forgive(self) -> None:
        """Restart every suspicion: this process was paused and knows nothing."""
        now = self._clock.monotonic()
        with self._lock:
            for name in self._suspected:
                self._suspected[name] = now

    def suspected_for(self, name: str) -> timedelta | None:
        """Return how long a member has been suspected, or None when it is not."""
        since = self._suspected.get(name)
        return None if since is None else self._clock.monotonic() - since

    def _is_reached(self, member: Member, since: timedelta) -> bool:
        alone = not any(
            each.zone == member.zone and each.name not in (member.name, self._own.name)
            for each in self._members.values()
        )
        if alone:
            return member.zone == self._own.zone
        name, heard_at = self._heard.get(member.zone, ("", since))
        return name != member.name and heard_at > since

    def _put_own(self, own: Member) -> None:
        self._digest ^= _mark(self._own) ^ _mark(own)
        self._own = own
        self._members[own.name] = own
        self.version += 1

    def _correct(self, update: Member) -> Change | None:
        own = self._own
        if update.order <= own.order and update.session == own.session:
            return None
        if update.incarnation < own.incarnation:
            return None
        corrected = replace(own, incarnation=update.incarnation + 1)
        self._put_own(corrected)
        return Change(own, corrected)

    def _take(self, update: Member) -> Change | None:
        held = self._members.get(update.name)
        if held is None and self._is_buried(update):
            return None
        if held is not None and update.order <= held.order:
            return None
        if update.standing is Standing.DEAD:
            return self._bury(held, update)
        if held is not None:
            self._digest ^= _mark(held)
        self._digest ^= _mark(update)
        self._members[update.name] = update
        self._note_suspicion(update)
        self._dead.pop(update.name, None)
        self.version += 1
        return Change(held, update)

    def _note_suspicion(self, update: Member) -> None:
        if update.standing is Standing.SUSPECT:
            self._suspected.setdefault(update.name, self._clock.monotonic())
        else:
            self._suspected.pop(update.name, None)

    def _is_buried(self, update: Member) -> bool:
        death = self._dead.get(update.name)
        return death is not None and update.incarnation <= death[0].incarnation

    def _bury(self, held: Member | None, update: Member) -> Change | None:
        self._dead[update.name] = (update, self._clock.monotonic())
        self._suspected.pop(update.name, None)
        self._members.pop(update.name, None)
        if held is None:
            return None
        self._digest ^= _mark(held)
        self.version += 1
        return Change(held, update)

    def _forget_deaths(self, now: timedelta) -> None:
        for name, (_, since) in list(self._dead.items()):
            if now - since >= DEATH_MEMORY:
                del self._dead[name]


def _find_bucket(member: Member) -> int:
    return xxhash.xxh64_intdigest(member.name.encode()) % BUCKETS


def _mark(member: Member) -> int:
    return xxhash.xxh64_intdigest(f"{member.name}\0{member.incarnation}".encode())
