"""Quarantine of requests that crash the targets that run them.

Answers a request that ends each target that begins to run it, and that its caller sends
again through any node. All requests that a target was running when it crashed become
suspects. The node beside a target runs one suspect at a time, so that a second crash
shows which of them is at fault: it is quarantined, that is refused without being sent.
An answer of a target clears a suspect.

The nodes of a service tell each other their entries. Entries only grow until they
expire, so they can be merged in any order.
"""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING, Any

import eliot

from .content import CONTENT_BYTES, LINE_BYTES, digest_content, digest_line

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["CRASH_LIMIT", "Quarantine", "Standing"]

# One crash may have another cause, a second one of a single suspect is no coincidence.
CRASH_LIMIT = 2
_MAX_ENTRIES = 1024  # about 1.6 KB each
_MAX_CRASHES = 8  # of an entry that is not cleared; more of them change nothing
# After the last crash, or after a quarantined request last came.
_TTL = timedelta(minutes=10)
_CLEARED_TTL = timedelta(minutes=1)  # for other nodes to be told
_RENEWAL_SHARE = 0.5  # of the TTL; an entry that is refused is renewed after it


class Standing(Enum):
    """Whether a request may be sent to a target."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(slots=True)
class _Entry:
    """The targets that crashed while running a request, by instance.

    `alone` has those of them that ran no other suspect, `cleared` those from before a
    target answered the request.
    """

    crashed: set[str] = field(default_factory=set)
    alone: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)
    expires_at: timedelta = timedelta()
    changed: int = 0

    def crashes(self) -> int:
        return len(self.crashed - self.cleared)

    def standing(self) -> Standing:
        if self.crashes() >= CRASH_LIMIT and self.alone - self.cleared:
            return Standing.QUARANTINED
        return Standing.SUSPECT if self.crashes() else Standing.CLEAR


class Quarantine:
    """The suspects and the quarantined requests that this node knows."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[bytes, _Entry] = {}
        self._lines: Counter[bytes] = Counter()
        self._sequence = 0
        self._lock = threading.Lock()
        self.changed = threading.Event()

    def check(self, head: bytes, body: bytes) -> Standing:
        """Return the standing of a request that is about to be sent."""
        content = self._find_content(head, body)
        if content is None:
            return Standing.CLEAR
        with self._lock:
            self._drop_expired()
            entry = self._entries.get(content)
            if entry is None:
                return Standing.CLEAR
            standing = entry.standing()
            if standing is Standing.QUARANTINED:
                left = entry.expires_at - self._clock.monotonic()
                if left < _TTL * _RENEWAL_SHARE:
                    self._announce(entry)
        return standing

    def record_crash(self, contents: Collection[bytes], instance: str) -> None:
        """Record the requests that may have crashed a target."""
        with self._lock:
            for content in contents:
                entry = self._get_entry(content)
                if entry.crashes() >= _MAX_CRASHES:
                    continue
                entry.crashed.add(instance)
                if len(contents) == 1:
                    entry.alone.add(instance)
                self._announce(entry)
                _report(content, entry)

    def clear(self, head: bytes, body: bytes) -> None:
        """Record that a target has answered a request."""
        content = self._find_content(head, body)
        if content is None:
            return
        with self._lock:
            entry = self._entries.get(content)
            if entry is not None and entry.crashes():
                entry.cleared |= entry.crashed
                self._announce(entry)
                _report(content, entry)

    def entries_since(self, sequence: int) -> tuple[list[Any], int]:
        """Return the entries changed after a number, packed, and the newest number.

        Entries of other nodes count as changed at 0: a node tells only its own changes,
        unless the other node has just started.
        """
        with self._lock:
            self._drop_expired()
            packed = [
                [content, list(each.crashed), list(each.alone), list(each.cleared)]
                for content, each in self._entries.items()
                if each.changed > sequence
            ]
            return packed, self._sequence

    def is_empty(self) -> bool:
        """Return whether there are no entries."""
        return not self._entries

    def merge(self, packed: Iterable[list[Any]]) -> None:
        """Merge entries of another node; raise ValueError or TypeError if invalid."""
        with self._lock:
            for content, crashed, alone, cleared in packed:
                if len(content) != CONTENT_BYTES:
                    raise ValueError("not the digest of a content")
                entry = self._get_entry(content)
                before = entry.standing()
                entry.crashed.update(crashed)
                entry.alone.update(alone)
                entry.cleared.update(cleared)
                self._extend(entry)
                if entry.standing() is not before:
                    _report(content, entry)
        self.changed.set()

    def count(self, standing: Standing) -> int:
        """Return the number of entries of a standing."""
        with self._lock:
            entries = list(self._entries.values())
        return sum(entry.standing() is standing for entry in entries)

    def _find_content(self, head: bytes, body: bytes) -> bytes | None:
        """Return the content of a request, None if there can be no entry of it."""
        # Read without the lock: nearly always there are no entries.
        if not self._lines or digest_line(head) not in self._lines:
            return None
        return digest_content(head, body)

    def _get_entry(self, content: bytes) -> _Entry:
        entry = self._entries.get(content)
        if entry is None:
            entry = self._entries[content] = _Entry()
            self._lines[content[:LINE_BYTES]] += 1
            self._make_room(content)
        return entry

    def _announce(self, entry: _Entry) -> None:
        """Let the other nodes be told of an entry."""
        self._sequence += 1
        entry.changed = self._sequence
        self._extend(entry)
        self.changed.set()

    def _extend(self, entry: _Entry) -> None:
        ttl = _TTL if entry.crashes() else _CLEARED_TTL
        entry.expires_at = self._clock.monotonic() + ttl

    def _make_room(self, added: bytes) -> None:
        """Drop the entry that expires first, quarantined requests last."""
        if len(self._entries) <= _MAX_ENTRIES:
            return

        def order(content: bytes) -> tuple[bool, timedelta]:
            entry = self._entries[content]
            return entry.standing() is Standing.QUARANTINED, entry.expires_at

        self._remove(min((key for key in self._entries if key != added), key=order))

    def _drop_expired(self) -> None:
        now = self._clock.monotonic()
        expired = [key for key, each in self._entries.items() if each.expires_at <= now]
        for content in expired:
            self._remove(content)

    def _remove(self, content: bytes) -> None:
        del self._entries[content]
        line = content[:LINE_BYTES]
        self._lines[line] -= 1
        if not self._lines[line]:
            del self._lines[line]


def _report(content: bytes, entry: _Entry) -> None:
    eliot.log_message(
        "request:" + entry.standing().value,
        content=content.hex(),
        crashes=entry.crashes(),
        instances=sorted(entry.crashed),
    )
