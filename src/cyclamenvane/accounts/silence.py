"""Nodes that do not answer the local one, and whether they have ended.

A broken link looks like a node that has ended. So other nodes of the zone are asked
whether they reach it, and the local node serves in its place only if none of them does.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from .holders import rank_holders
from .model import Account

__all__ = ["Check", "PeerRotation", "Silence"]

# How long it counts that another node reaches this one; it is asked again each second.
_RELAY_TIME = timedelta(milliseconds=2500)
_RELAY_CHECK_INTERVAL = timedelta(seconds=1)
_ENDED_CHECK_INTERVAL = timedelta(seconds=2)
# Longer than a node of a small zone takes until it sends a request to each other one.
_ALIVE_TIME = timedelta(milliseconds=2500)
_CHECK_LIMIT = timedelta(seconds=1)  # after which a check is started again


@dataclass(frozen=True)
class Check:
    """A question to `peer`: does it reach `silent`, which may hold an account?"""

    peer: str
    silent: str
    account: Account


@dataclass
class Silence:
    """A node that did not answer; `ended` if no node that was asked reaches it.

    `starting` is a node that has answered that it grants nothing yet.
    """

    since: timedelta
    pause: timedelta
    probe_at: timedelta
    starting: bool = False
    ended: bool = False
    _alive_until: timedelta = timedelta()
    _relay: str = ""
    _relay_until: timedelta = timedelta()
    _asked: set[str] = field(default_factory=set)
    _asked_all: bool = False
    _check_at: timedelta = timedelta()

    def relay(self, now: timedelta) -> str:
        """Return a node that reaches this one, empty if none is known."""
        return self._relay if now < self._relay_until else ""

    def is_alive(self, now: timedelta) -> bool:
        """Return whether the node is known to run."""
        if self.starting:
            return False
        return now < self._alive_until or bool(self.relay(now))

    def record_again(self, starting: bool, pause: timedelta, now: timedelta) -> None:
        """Record that the node still does not answer, or grants nothing yet."""
        if self.starting and not starting:
            self.since = now
        self.starting = starting
        self.pause = pause
        self.probe_at = now + pause

    def record_request(self, now: timedelta) -> None:
        """Record that the node has sent a request."""
        self._alive_until = now + _ALIVE_TIME
        self.probe_at = now
        self.ended = False

    def is_check_due(self, now: timedelta) -> bool:
        """Return whether to ask other nodes now."""
        if self._asked or self.ended or self.relay(now):
            return now >= self._check_at
        return not self.starting

    def start_check(self, peers: list[str], asked_all: bool, now: timedelta) -> None:
        """Record that some nodes are asked, or all those of a first check."""
        self._asked = set(peers)
        self._asked_all = asked_all
        self._check_at = now + _CHECK_LIMIT
        self._end_check(now)

    def record_check(self, peer: str, reached: bool, now: timedelta) -> None:
        """Record what a node has answered, or that it did not."""
        asked = peer in self._asked
        self._asked.discard(peer)
        if reached:
            self._relay, self._relay_until = peer, now + _RELAY_TIME
            self.ended = False
            self._check_at = now + _RELAY_CHECK_INTERVAL
        else:
            self.end_relay(peer, now)
        if asked:
            self._end_check(now)

    def end_relay(self, peer: str, now: timedelta) -> None:
        """Record that a node does not reach this one any more."""
        if self._relay and self._relay == peer:
            self._relay = ""
            self._relay_until = timedelta()
            # A node that ended counts as silent from now on only.
            self.since = now

    def _end_check(self, now: timedelta) -> None:
        if self._asked or self.relay(now):
            return
        if self._asked_all:
            self.ended = True
        self._check_at = now + _ENDED_CHECK_INTERVAL


class PeerRotation:
    """Selects nodes to ask: others than neighbours do, and the next ones each time."""

    def __init__(self, local_node: str) -> None:
        self._local_node = local_node
        self._next = 0

    def select(self, peers: list[str], count: int) -> list[str]:
        """Return up to `count` of the peers."""
        order = list(rank_holders(self._local_node, peers))
        first = self._next % max(1, len(order))
        selected = (order[first:] + order[:first])[:count]
        self._next += len(selected)
        return selected
