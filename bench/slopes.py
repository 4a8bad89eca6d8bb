"""What one node costs as its world grows: `python -m bench.slopes --json`.

One real node process; its peers are light: real gossip over UDP, many in this
process. For each quantity the node's processor time, memory and bytes are
sampled at several sizes, and a line is fitted. Prints one JSON line.
"""

from __future__ import annotations

import json
import socket
import statistics
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

import msgpack
from hdrh.histogram import HdrHistogram

from cyclamenvane import SystemClock
from cyclamenvane.membership import (
    Gossip,
    Member,
    View,
    bind_gossip,
    pack_member,
    unpack_member,
)
from cyclamenvane.policy import Section, SectionTable, build_rulebook
from cyclamenvane.wire import ROLE_NODE, open_stream

from .field import HOST, KEYS, Field, NodeProcess
from .latency import make_http_call, run_turn

PEERS = (0, 60, 120, 240)
CONNECTIONS = (0, 400, 800, 1200)
SECTIONS = (0, 40, 80, 160)
RATES = (0, 100, 200, 400)
CHANGES = 40
SAMPLE_S = 5.0
SETTLE_S = 2.0
ZONES = ("z1", "z2", "z3", "z4", "z5", "z6")
RULES_PER_SECTION = """\
[teams.team-{n}.services.service-{n}]
deadline_ms = 2000
non_idempotent = ["POST /bookings"]
[[teams.team-{n}.services.service-{n}.importance]]
callers = ["crane-crews", "foremen"]
requests = ["GET /positions/*", "GET /lists/*"]
level = "critical"
"""


class LightPeers:
    """Peers that gossip for real and have nothing else."""

    def __init__(self, node: NodeProcess) -> None:
        self.pool = ThreadPoolExecutor(600)
        self.peers: list[Gossip] = []
        self._clock = SystemClock()
        opened = open_stream(
            (HOST, node.stream),
            ROLE_NODE,
            "slopes",
            KEYS["nodes"].encode(),
            self._clock,
            self.pool,
        )
        self.client = opened.ok
        self.digest = 0

    def ask_members(self, told: list[Member]) -> list[Member]:
        """Tell the node of members and return those it knows."""
        payload = msgpack.packb([pack_member(each) for each in told])
        raw = self.client.ask("membership.sync", payload, timedelta(seconds=5))
        return [unpack_member(each) for each in msgpack.unpackb(raw, use_list=False)]

    def grow(self, count: int) -> None:
        """Add peers up to a count; everybody knows everybody at once."""
        added = []
        while len(self.peers) < count:
            sock = bind_gossip((HOST, 0))
            number, port = len(self.peers), sock.getsockname()[1]
            own = Member(
                f"{HOST}:{port}",
                f"light{number}",
                1,
                ZONES[number % len(ZONES)],
                "r",
                HOST,
                port,
                port,
            )
            view = View(own, self._clock)
            key = KEYS["nodes"].encode()
            peer = Gossip(
                view, sock, key, self._clock, policy_digest=lambda: self.digest
            )
            self.peers.append(peer)
            added.append(peer)
        everybody = [each.view.own for each in self.peers]
        known = self.ask_members(everybody)
        for peer in self.peers:
            peer.view.merge_all([*everybody, *known])
        for peer in added:
            peer.start(self.pool)

    def drop_zone(self, zone: str) -> int:
        """End every peer of a zone at once; return how many there were."""
        gone = [each for each in self.peers if each.view.own.zone == zone]
        self.peers = [each for each in self.peers if each not in gone]
        for peer in gone:
            peer.stop()
        return len(gone)

    def stop(self) -> None:
        """End every peer."""
        for peer in self.peers:
            peer.stop()
        self.client.close()
        self.pool.shutdown(wait=False, cancel_futures=True)


def read_gossip_bytes(node: NodeProcess) -> float:
    """Return the gossip bytes that a node has sent."""
    text = node.ask("GET", "/metrics")[1].decode()
    for line in text.splitlines():
        if line.startswith("cyclamenvane_gossip_bytes "):
            return float(line.split()[1])
    return 0.0


def sample(node: NodeProcess, seconds: float = SAMPLE_S) -> dict[str, float]:
    """Return a node's processor share, bytes a second and memory."""
    cpu, sent, began = node.read_cpu_s(), read_gossip_bytes(node), time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - began
    return {
        "cpu_percent": 100 * (node.read_cpu_s() - cpu) / elapsed,
        "sent_bytes_s": (read_gossip_bytes(node) - sent) / elapsed,
        "rss_mb": node.read_rss_mb(),
    }


def fit(sizes: tuple[int, ...], samples: list[dict[str, float]]) -> dict:
    """Return, for each quantity, the fitted line and its largest error."""
    lines = {}
    for name in samples[0]:
        values = [each[name] for each in samples]
        slope, base = statistics.linear_regression(sizes, values)
        errors = [abs(base + slope * x - y) for x, y in zip(sizes, values)]
        lines[name] = {
            "base": round(base, 4),
            "slope": round(slope, 7),
            "error": round(max(errors), 4),
        }
    return lines


def measure_peers(node: NodeProcess, peers: LightPeers) -> tuple[dict, dict]:
    """Grow the peers at rest, then let a zone go at once."""
    samples = []
    for count in PEERS:
        peers.grow(count)
        time.sleep(SETTLE_S + count / 20)
        samples.append(sample(node))
    gone = peers.drop_zone("z2")
    churn = sample(node, 10.0)
    return fit(PEERS, samples), {"nodes_gone": gone, **churn}


def measure_connections(node: NodeProcess) -> dict:
    """Grow the silent connections of callers."""
    held: list[socket.socket] = []
    samples = []
    for count in CONNECTIONS:
        while len(held) < count:
            held.append(socket.create_connection((HOST, node.front)))
        time.sleep(SETTLE_S)
        samples.append(sample(node))
    for sock in held:
        sock.close()
    return fit(CONNECTIONS, samples)


def measure_sections(started: Field, node: NodeProcess) -> tuple[dict, dict]:
    """Grow the sections of the document, then count what one change costs."""
    samples, number = [], 0
    for count in SECTIONS:
        while number < count:
            started.accept(f"team-{number}", RULES_PER_SECTION.format(n=number))
            number += 1
        time.sleep(SETTLE_S)
        samples.append(sample(node))
    cpu, began = node.read_cpu_s(), time.monotonic()
    for change in range(CHANGES):
        started.accept("team-0", RULES_PER_SECTION.format(n=0), base=1 + change)
    spent = node.read_cpu_s() - cpu
    elapsed = time.monotonic() - began
    return fit(SECTIONS, samples), {
        "cpu_ms_each": round(1000 * spent / CHANGES, 2),
        "seconds_each": round(elapsed / CHANGES, 4),
    }


def measure_adoption() -> dict:
    """Count what putting one changed section of 160 in force costs a node."""
    sections = SectionTable(lambda _: build_rulebook(sections.all()))
    now = SystemClock().now()
    for number in range(SECTIONS[-1]):
        text = RULES_PER_SECTION.format(n=number)
        sections.adopt(Section(f"team-{number}", 1, text, "e", "o", now))
    text = RULES_PER_SECTION.format(n=0)
    began = time.process_time()
    for version in range(2, 2 + CHANGES):
        changed = f"{text}# version {version}\n"
        sections.adopt(Section("team-0", version, changed, "e", "o", now))
    spent = time.process_time() - began
    return {"cpu_ms_each": round(1000 * spent / CHANGES, 3)}


def measure_calls(node: NodeProcess) -> dict:
    """Grow the calls a second that enter at the target's own node."""
    samples = []
    for rate in RATES:
        if not rate:
            samples.append(sample(node))
            continue
        calls = [make_http_call(node.front, "/echo/x") for _ in range(8)]
        load = threading.Thread(
            target=lambda: [
                run_turn(calls, rate, HdrHistogram(1, 60_000_000, 3)) for _ in range(4)
            ]
        )
        load.start()
        samples.append(sample(node))
        load.join()
    return fit(RATES, samples)


def main() -> None:
    """Measure every slope and print one JSON line."""
    with Field() as started:
        node = started.add_node("z1")
        started.add_target(node, "echo", 110)
        peers = LightPeers(node)
        by_peers, zone_gone = measure_peers(node, peers)
        peers.stop()
    with Field() as started:
        node = started.add_node("z1")
        started.add_target(node, "echo", 110)
        by_sections, change = measure_sections(started, node)
        by_calls = measure_calls(node)
        by_connections = measure_connections(node)
        reads = started.platform.platform.table.reads
        began = time.monotonic()
        time.sleep(10)
        reads = (started.platform.platform.table.reads - reads) / (
            time.monotonic() - began
        )
    result = {
        "peers": by_peers,
        "zone_gone": {k: round(v, 3) for k, v in zone_gone.items()},
        "connections": by_connections,
        "calls_a_second": by_calls,
        "sections": by_sections,
        "change_accepted": change,
        "change_adopted": measure_adoption(),
        "platform_reads_s_one_node_zone": round(reads, 2),
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
