"""Which nodes answer, and what share of a rate the nodes of the local zone have.

A node counts as usable until an exchange with it fails, and again once it has answered
a probe. The share of a zone rises only when its nodes have been usable for a while:
after a partition has ended, the holders on its two sides notice that at different
times, and the one that is early must not refill for nodes that the other still serves.

A node that does not answer the local one may answer others: see `silence`. It does not
count for the share, so that nodes of one zone that do not reach each other never count
a third one twice, unless it reaches both.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import TYPE_CHECKING

from .model import Account
from .ranks import RankCache
from .silence import Check, PeerRotation, Silence
from .start import EndedNodes, JointStart, KnownNode

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["Fleet"]

# Longer than it takes all nodes to probe a node that is back.
_SHARE_RISE_DELAY = timedelta(seconds=4)
_INITIAL_PROBE_PAUSE = timedelta(milliseconds=400)  # doubled with each failure
_MAX_PROBE_PAUSE = timedelta(seconds=2)
# Longer than the directory takes to reach a node again after it has answered here.
_DIRECTORY_DELAY = timedelta(seconds=5)
_HEARD_RECENTLY = timedelta(seconds=1)
# After a failure all nodes of the zone are probed that were not heard since.
_HEARD_JUST_NOW = timedelta(milliseconds=300)
_MAX_PROBES = 32  # at once
_MAX_SAVED_PROBES = 4  # within a second
_MAX_ASKED = 8  # nodes that are asked whether they reach a silent one
_MAX_ASKED_AGAIN = 2  # those of later checks
_MAX_CHECKED = 4  # silent nodes in one round
_MAX_UNREACHED = 4  # that a request names
_NEVER = timedelta(days=-1)


class Fleet:
    """The known nodes of all zones, as the local node sees them.

    `list_nodes` returns the other nodes.
    """

    def __init__(
        self,
        local_node: str,
        get_zone: Callable[[], str],
        list_nodes: Callable[[], Iterable[KnownNode]],
        clock: Clock,
    ) -> None:
        self.local_node = local_node
        self._get_zone = get_zone
        self._list_nodes = list_nodes
        self._clock = clock
        self._lock = threading.Lock()
        self._silent: dict[str, Silence] = {}
        self._heard_at: dict[str, timedelta] = {}
        self.joint_start = JointStart(clock)
        self._ended = EndedNodes()
        self._ranks = RankCache()
        self._zone_of: dict[str, str] = {}
        self._counts: deque[tuple[timedelta, int, int]] = deque()
        self._probe_all = False
        self._rotation = PeerRotation(local_node)
        self._saved_probes = 0
        self._share = self._usable_share = 0.0
        self.refresh()

    @property
    def zone(self) -> str:
        """The zone of the local node."""
        return self._get_zone()

    def other_zones(self) -> list[str]:
        """Return the other zones with a usable node."""
        return [zone for zone in self._ranks.zones() if zone != self.zone]

    def ranked(self, account: str, zone: str) -> tuple[str, ...]:
        """Return the usable nodes of a zone, the holder of an account first."""
        return self._ranks.find(account, zone).usable

    def unreached(self, account: str, zone: str) -> tuple[str, ...]:
        """Return silent nodes of a zone that go before its first usable one."""
        return self._ranks.find(account, zone).silent[:_MAX_UNREACHED]

    def holds(self, account: str) -> bool:
        """Return whether the local node holds the bucket of an account."""
        return self.find_holder(account) == self.local_node

    def find_holder(self, account: str) -> str:
        """Return the node to ask for tokens in the local zone.

        It is another one than the holder if that one is reached through it, and empty
        if the holder runs but no way to it is known.
        """
        ranks = self._ranks.find(account, self.zone)
        first = ranks.usable[0]
        if first != self.local_node or not ranks.silent:
            return first
        now = self._clock.monotonic()
        for node in ranks.silent:
            silence = self._silent.get(node)
            if silence is None or silence.is_alive(now):
                relay = silence.relay(now) if silence is not None else ""
                return relay if self.is_usable(relay) else ""
        return first

    def silent_since(self, account: str) -> timedelta | None:
        """Return since when the local node serves in the place of silent nodes.

        It is the largest time while one of them may run, and None if there is none.
        """
        since = None
        for node in self._ranks.find(account, self.zone).silent:
            silence = self._silent.get(node)
            if silence is None or not (silence.ended or silence.starting):
                return timedelta.max
            since = silence.since if since is None else max(since, silence.since)
        return since

    def is_usable(self, node: str) -> bool:
        """Return whether the last exchange with a known node succeeded."""
        return node in self._zone_of and node not in self._silent

    def was_heard(self, node: str, within: timedelta) -> bool:
        """Return whether a node has answered or asked within a time."""
        heard_at = self._heard_at.get(node)
        return heard_at is not None and self._clock.monotonic() - heard_at <= within

    def share(self) -> float:
        """Return the share of the local zone's usable nodes in all known nodes."""
        return self._share

    def usable_share(self) -> float:
        """Return the share of the usable nodes of all zones in all known nodes."""
        return self._usable_share

    def record_answer(self, node: str) -> None:
        """Record that a node has answered a request for tokens."""
        if self._zone_of.get(node) == self.zone and not self.was_heard(
            node, _HEARD_RECENTLY
        ):
            self._saved_probes = min(_MAX_SAVED_PROBES, self._saved_probes + 1)
        self.record_heard(node)

    def record_heard(self, node: str) -> None:
        """Record that a node has answered."""
        self._heard_at[node] = self._clock.monotonic()
        if node in self._silent:
            with self._lock:
                self._silent.pop(node, None)
            self.refresh()

    def record_request(self, node: str, is_probe: bool) -> None:
        """Record that a node has sent a request.

        If it did not answer, it is probed next: it may not be reached from here. A
        probe does not save one in return: its answer may not arrive.
        """
        silence = self._silent.get(node)
        if silence is not None and not silence.starting:
            with self._lock:
                silence.record_request(self._clock.monotonic())
        elif silence is not None or not is_probe:
            self.record_heard(node)

    def record_starting(self, node: str) -> None:
        """Record that a node has answered that it grants nothing yet."""
        if not self.joint_start.record(node):
            self.record_silent(node, starting=True)

    def record_check(self, silent: str, peer: str, reached: bool) -> None:
        """Record whether another node of the zone reaches a silent one."""
        with self._lock:
            silence = self._silent.get(silent)
            if silence is not None:
                silence.record_check(peer, reached, self._clock.monotonic())

    def end_relay(self, peer: str) -> None:
        """Record that a node reaches none of the silent ones any more."""
        now = self._clock.monotonic()
        with self._lock:
            for silence in self._silent.values():
                silence.end_relay(peer, now)

    def is_zone_starting(self) -> bool:
        """Return whether no other node of the zone can grant anything yet."""
        return self.joint_start.is_possible(self.other_nodes(), self._is_silent)

    def _is_silent(self, node: str) -> bool:
        silence = self._silent.get(node)
        return (
            silence is not None
            and silence.pause > _INITIAL_PROBE_PAUSE  # more than one probe has failed
            and not self.was_heard(node, _HEARD_RECENTLY)
        )

    def start_jointly(self) -> None:
        """Count the nodes that are starting as usable: none of them holds a bucket.

        What was counted before is forgotten.
        """
        with self._lock:
            for node in self.joint_start.begin():
                self._silent.pop(node, None)
            self._counts.clear()
        self.refresh()

    def record_silent(self, node: str, starting: bool = False) -> None:
        """Record that a node did not answer, or grants nothing yet."""
        now = self._clock.monotonic()
        with self._lock:
            known = self._silent.get(node)
            if known is None:
                pause = _INITIAL_PROBE_PAUSE
                if self._zone_of.get(node) == self.zone:
                    self._probe_all = True
                self._silent[node] = Silence(now, pause, now + pause, starting)
            else:
                pause = min(known.pause * 2, _MAX_PROBE_PAUSE)
                known.record_again(starting, pause, now)
            for silence in self._silent.values():
                silence.end_relay(node, now)
        if known is None:
            self.refresh()

    def reset(self) -> None:
        """Forget the counts of the past: the node has just started."""
        with self._lock:
            self._counts.clear()
        self.refresh()

    def refresh(self) -> None:
        """Read the known nodes again."""
        now = self._clock.monotonic()
        with self._lock:
            zone = self.zone
            zone_of = {self.local_node: zone}
            usable: dict[str, list[str]] = {zone: [self.local_node]}
            listed = set()
            for node in self._list_nodes():
                listed.add(node.name)
                if self._ended.contains(node, self._heard_at.get(node.name), now):
                    continue
                zone_of[node.name] = node.zone
                if not node.reachable and not self.was_heard(
                    node.name, _DIRECTORY_DELAY
                ):
                    self._silent.setdefault(
                        node.name, Silence(now, _INITIAL_PROBE_PAUSE, now)
                    )
                if node.name not in self._silent:
                    usable.setdefault(node.zone, []).append(node.name)
            for gone in self._silent.keys() - listed:
                del self._silent[gone]
            for gone in set(self._heard_at.copy()) - listed:
                self._heard_at.pop(gone, None)
            self.joint_start.retain(listed)
            self._ended.retain(listed)
            self._zone_of = zone_of
            self._ranks.update(usable, zone_of)
            self._counts.append((now, len(usable[zone]), len(zone_of)))
            while now - self._counts[0][0] > _SHARE_RISE_DELAY:
                self._counts.popleft()
            known_nodes = max(known for _, _, known in self._counts)
            self._share = min(count for _, count, _ in self._counts) / known_nodes
            all_usable = sum(len(nodes) for nodes in usable.values())
            self._usable_share = all_usable / len(zone_of)

    def select_probes(self) -> list[str]:
        """Return the nodes to probe now.

        They are the silent ones that are due, and one node of the zone that has not
        been heard for long; after a failure, all of the zone not heard just now. Each
        answer to a request from a node not heard for long saves the next probe.
        """
        now = self._clock.monotonic()
        probes = []
        with self._lock:
            for node, silence in self._silent.items():
                if now >= silence.probe_at:
                    silence.probe_at = now + silence.pause
                    probes.append(node)
            usable = self._ranks.usable(self.zone)
            peers = [node for node in usable if node != self.local_node]
            if self._probe_all:
                self._probe_all = False
                probes += [
                    each for each in peers if not self.was_heard(each, _HEARD_JUST_NOW)
                ]
            elif self._saved_probes:
                self._saved_probes -= 1
            elif peers:
                oldest = min(peers, key=lambda each: self._heard_at.get(each, _NEVER))
                if not self.was_heard(oldest, _HEARD_RECENTLY):
                    probes.append(oldest)
        return probes[:_MAX_PROBES]

    def select_checks(self, accounts: Iterable[Account]) -> list[Check]:
        """Return whom to ask about silent nodes in whose place this one would serve."""
        now = self._clock.monotonic()
        zone = self.zone
        checks: list[Check] = []
        checked = 0
        for account in accounts:
            ranks = self._ranks.find(account.name, zone)
            if not account.rate or ranks.usable[0] != self.local_node:
                continue
            for node in ranks.silent:
                silence = self._silent.get(node)
                if silence is None or checked >= _MAX_CHECKED:
                    continue
                peers: list[str] = []
                with self._lock:
                    if silence.is_check_due(now):
                        checked += 1
                        peers = self._select_peers(silence, now)
                checks += [Check(peer, node, account) for peer in peers]
        return checks

    def _select_peers(self, silence: Silence, now: timedelta) -> list[str]:
        usable = self._ranks.usable(self.zone)
        peers = [node for node in usable if node != self.local_node]
        relay = silence.relay(now)
        count = _MAX_ASKED_AGAIN if silence.ended else _MAX_ASKED
        asked = [relay] if relay in peers else self._rotation.select(peers, count)
        silence.start_check(asked, relay not in peers and not silence.ended, now)
        return asked

    def other_nodes(self) -> list[str]:
        """Return the other nodes of the zone, usable or not."""
        zone = self.zone
        return [
            node
            for node, its_zone in list(self._zone_of.items())
            if its_zone == zone and node != self.local_node
        ]
