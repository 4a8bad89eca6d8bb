"""The members known to one node, and the detection of failed ones.

Descriptions of a member are ordered by incarnation, then standing, so old or
repeated messages change nothing. A dead member is remembered for a while, and a
description whose incarnation is not higher than that of its death is ignored.

A suspected member is declared dead only if this node has itself received a datagram
from another member of the same availability zone since the suspicion began. A zone
that sends nothing is treated as partitioned: its members stay suspected, get no
calls and are probed with increasing backoff until one of them responds or their
suspicion has lasted for `MAX_SUSPICION`.
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

__all__ = ["BUCKETS", "DEAD_MEMBER_RETENTION", "SUSPICION_TIMEOUT", "Change", "View"]

SUSPICION_TIMEOUT = timedelta(seconds=3)
DEAD_MEMBER_RETENTION = timedelta(hours=1)
MAX_SUSPICION = timedelta(hours=6)
BUCKETS = 64


@dataclass(frozen=True, slots=True)
class Change:
    """A member before and after an update; `before` is None if it was unknown."""

    before: Member | None
    after: Member | None


class View:
    """The membership table of one node.

    `on_change` is called, without the lock held, for each change that must be sent
    to other nodes.
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
        self._suspected_since: dict[str, timedelta] = {}
        self._dead: dict[str, tuple[Member, timedelta]] = {}
        self._last_contacts: dict[str, tuple[str, timedelta]] = {}
        self._digest = _hash_member(own)
        self._lock = threading.RLock()

    @property
    def own(self) -> Member:
        """The member that describes this node."""
        return self._own

    @property
    def digest(self) -> int:
        """A hash of the members; equal at nodes that have the same incarnations."""
        return self._digest

    def all(self) -> tuple[Member, ...]:
        """Return all members that are not dead, including this node."""
        with self._lock:
            return tuple(self._members.values())

    def bucket_digests(self) -> tuple[int, ...]:
        """Return a digest of each bucket; a member's name determines its bucket."""
        digests = [0] * BUCKETS
        for member in self.all():
            digests[_bucket_of(member)] ^= _hash_member(member)
        return tuple(digests)

    def list_differing(self, digests: Sequence[int]) -> tuple[Member, ...]:
        """Return the members of the buckets whose digests differ from those given."""
        own = self.bucket_digests()
        return tuple(
            member
            for member in self.all()
            if own[_bucket_of(member)] != digests[_bucket_of(member)]
        )

    def others(self) -> tuple[Member, ...]:
        """Return all members except this node."""
        return tuple(each for each in self.all() if each.name != self._own.name)

    def get(self, name: str) -> Member | None:
        """Return the member with that name, or None."""
        return self._members.get(name)

    def find_session(self, session: str) -> Member | None:
        """Return the member with that session, or None."""
        for member in self.all():
            if member.session == session:
                return member
        return None

    def is_zone_suspected(self, zone: str) -> bool:
        """Return whether all members of a zone are suspected."""
        members = [each for each in self.all() if each.zone == zone]
        return all(each.standing is Standing.SUSPECT for each in members)

    def dead_members(self) -> tuple[Member, ...]:
        """Return the members that were recently declared dead."""
        with self._lock:
            return tuple(member for member, _ in self._dead.values())

    def find_dead(self, name: str) -> Member | None:
        """Return a member that was recently declared dead, or None."""
        death = self._dead.get(name)
        return death[0] if death else None

    def set_targets(self, targets: tuple) -> None:
        """Set the targets of this node and increment its incarnation."""
        with self._lock:
            before = self._own
            own = replace(before, targets=targets, incarnation=before.incarnation + 1)
            self._replace_own(own)
        self.on_change(Change(before, own))

    def leave(self) -> None:
        """Announce this node as dead to other nodes; it stays alive in this view."""
        with self._lock:
            own = replace(self._own, incarnation=self._own.incarnation + 1)
            self._replace_own(own)
        self.on_change(Change(own, own.with_standing(Standing.DEAD)))

    def merge(self, update: Member) -> bool:
        """Apply a description of a member; return whether it changed the view."""
        with self._lock:
            if update.name == self._own.name:
                change = self._refute(update)
            else:
                change = self._apply(update)
        if change is not None:
            self.on_change(change)
        return change is not None

    def merge_all(self, updates: Iterable[Member]) -> int:
        """Apply several descriptions; return how many changed the view."""
        return sum(self.merge(update) for update in updates)

    def suspect(self, name: str) -> None:
        """Mark a live member that did not respond as suspected."""
        member = self.get(name)
        if member is not None and member.standing is Standing.ALIVE:
            self.merge(member.with_standing(Standing.SUSPECT))

    def record_contact(self, name: str) -> None:
        """Record that this node received a datagram from a member, for its zone."""
        member = self._members.get(name)
        if member is not None:
            self._last_contacts[member.zone] = (name, self._clock.monotonic())

    def expire(self) -> list[Member]:
        """Declare members dead whose suspicion has timed out, and return them."""
        now = self._clock.monotonic()
        found = []
        with self._lock:
            self._discard_old_deaths(now)
            for name, since in list(self._suspected_since.items()):
                member = self._members[name]
                if now - since >= SUSPICION_TIMEOUT and self._has_zone_contact(
                    member, since
                ):
                    found.append(member.with_standing(Standing.DEAD))
                elif now - since >= MAX_SUSPICION:
                    found.append(member.with_standing(Standing.DEAD))
        for member in found:
            self.merge(member)
        return found

    def restart_suspicions(self) -> None:
        """Restart all suspicions, since a paused process has missed datagrams."""
        now = self._clock.monotonic()
        with self._lock:
            for name in self._suspected_since:
                self._suspected_since[name] = now

    def suspected_for(self, name: str) -> timedelta | None:
        """Return how long a member has been suspected, or None if it is not."""
        since = self._suspected_since.get(name)
        return None if since is None else self._clock.monotonic() - since

    def _has_zone_contact(self, member: Member, since: timedelta) -> bool:
        is_only_peer = not any(
            each.zone == member.zone and each.name not in (member.name, self._own.name)
            for each in self._members.values()
        )
        if is_only_peer:
            return member.zone == self._own.zone
        name, contact_at = self._last_contacts.get(member.zone, ("", since))
        return name != member.name and contact_at > since

    def _replace_own(self, own: Member) -> None:
        self._digest ^= _hash_member(self._own) ^ _hash_member(own)
        self._own = own
        self._members[own.name] = own
        self.version += 1

    def _refute(self, update: Member) -> Change | None:
        own = self._own
        if update.precedence <= own.precedence and update.session == own.session:
            return None
        if update.incarnation < own.incarnation:
            return None
        refutation = replace(own, incarnation=update.incarnation + 1)
        self._replace_own(refutation)
        return Change(own, refutation)

    def _apply(self, update: Member) -> Change | None:
        known = self._members.get(update.name)
        if known is None and self._is_known_dead(update):
            return None
        if known is not None and update.precedence <= known.precedence:
            return None
        if update.standing is Standing.DEAD:
            return self._remove_dead(known, update)
        if known is not None:
            self._digest ^= _hash_member(known)
        self._digest ^= _hash_member(update)
        self._members[update.name] = update
        self._update_suspicion(update)
        self._dead.pop(update.name, None)
        self.version += 1
        return Change(known, update)

    def _update_suspicion(self, update: Member) -> None:
        if update.standing is Standing.SUSPECT:
            self._suspected_since.setdefault(update.name, self._clock.monotonic())
        else:
            self._suspected_since.pop(update.name, None)

    def _is_known_dead(self, update: Member) -> bool:
        death = self._dead.get(update.name)
        return death is not None and update.incarnation <= death[0].incarnation

    def _remove_dead(self, known: Member | None, update: Member) -> Change | None:
        self._dead[update.name] = (update, self._clock.monotonic())
        self._suspected_since.pop(update.name, None)
        self._members.pop(update.name, None)
        if known is None:
            return None
        self._digest ^= _hash_member(known)
        self.version += 1
        return Change(known, update)

    def _discard_old_deaths(self, now: timedelta) -> None:
        for name, (_, since) in list(self._dead.items()):
            if now - since >= DEAD_MEMBER_RETENTION:
                del self._dead[name]


def _bucket_of(member: Member) -> int:
    return xxhash.xxh64_intdigest(member.name.encode()) % BUCKETS


def _hash_member(member: Member) -> int:
    return xxhash.xxh64_intdigest(f"{member.name}\0{member.incarnation}".encode())
