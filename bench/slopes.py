"""Resources that one node uses as its load grows: `python -m bench.slopes --json`.

Runs one node process. Its peers only gossip: many share this process and send real
gossip over UDP. For each quantity, such as peers or sections, the node's processor
time, memory and sent bytes are sampled at several sizes and a line is fitted.
Prints one JSON line.
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
from cyclamenvane.policy import Section, SectionTable, build_rule_set
from cyclamenvane.wire import ROLE_NODE, open_stream

from .cluster import HOST, KEYS, NodeProcess, ProcessCluster
from .latency import make_http_call, run_round

PEER_COUNTS = (0, 60, 120, 240)
CONNECTION_COUNTS = (0, 400, 800, 1200)
SECTION_COUNTS = (0, 40, 80, 160)
CALL_RATES = (0, 100, 200, 400)
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


class GossipPeers:
    """Peers that run the real gossip protocol and nothing else."""

    def __init__(self, node: NodeProcess) -> None:
        self.pool = ThreadPoolExecutor(600)
        self.peers: list[Gossip] = []
        self._clock = SystemClock()
        opened = open_stream(
            (HOST, node.stream_port),
            ROLE_NODE,
            "slopes",
            KEYS["nodes"].encode(),
            self._clock,
            self.pool,
        )
        self.client = opened.ok
        self.digest = 0

    def sync_members(self, members: list[Member]) -> list[Member]:
        """Send members to the node and return those in its view."""
        payload = msgpack.packb([pack_member(each) for each in members])
        raw = self.client.query("membership.sync", payload, timedelta(seconds=5))
        return [unpack_member(each) for each in msgpack.unpackb(raw, use_list=False)]

    def grow(self, count: int) -> None:
        """Add peers up to a count; every member is in every view at once."""
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
        members = [each.view.own for each in self.peers]
        known = self.sync_members(members)
        for peer in self.peers:
            peer.view.merge_all([*members, *known])
        for peer in added:
            peer.start(self.pool)

    def stop_zone(self, zone: str) -> int:
        """Stop every peer of a zone at once; return how many there were."""
        stopped = [each for each in self.peers if each.view.own.zone == zone]
        self.peers = [each for each in self.peers if each not in stopped]
        for peer in stopped:
            peer.stop()
        return len(stopped)

    def stop(self) -> None:
        """Stop every peer."""
        for peer in self.peers:
            peer.stop()
        self.client.close()
        self.pool.shutdown(wait=False, cancel_futures=True)


def read_gossip_bytes(node: NodeProcess) -> float:
    """Return the number of gossip bytes that a node has sent."""
    text = node.request_control("GET", "/metrics")[1].decode()
    for line in text.splitlines():
        if line.startswith("cyclamenvane_gossip_bytes "):
            return float(line.split()[1])
    return 0.0


def sample(node: NodeProcess, seconds: float = SAMPLE_S) -> dict[str, float]:
    """Return a node's processor use, gossip bytes sent per second and memory."""
    cpu, sent, started_at = node.read_cpu_s(), read_gossip_bytes(node), time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - started_at
    return {
        "cpu_percent": 100 * (node.read_cpu_s() - cpu) / elapsed,
        "sent_bytes_s": (read_gossip_bytes(node) - sent) / elapsed,
        "rss_mb": node.read_rss_mb(),
    }


def fit_lines(sizes: tuple[int, ...], samples: list[dict[str, float]]) -> dict:
    """Return the fitted line of each sampled value and its largest error."""
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


def measure_peers(node: NodeProcess, peers: GossipPeers) -> tuple[dict, dict]:
    """Sample at each number of idle peers, then after every peer of a zone stops."""
    samples = []
    for count in PEER_COUNTS:
        peers.grow(count)
        time.sleep(SETTLE_S + count / 20)
        samples.append(sample(node))
    stopped = peers.stop_zone("z2")
    after_stop = sample(node, 10.0)
    return fit_lines(PEER_COUNTS, samples), {"nodes_gone": stopped, **after_stop}


def measure_connections(node: NodeProcess) -> dict:
    """Sample at each number of idle caller connections."""
    connections: list[socket.socket] = []
    samples = []
    for count in CONNECTION_COUNTS:
        while len(connections) < count:
            connections.append(socket.create_connection((HOST, node.front_port)))
        time.sleep(SETTLE_S)
        samples.append(sample(node))
    for sock in connections:
        sock.close()
    return fit_lines(CONNECTION_COUNTS, samples)


def measure_sections(cluster: ProcessCluster, node: NodeProcess) -> tuple[dict, dict]:
    """Sample at each number of policy sections, then measure the cost of a change."""
    samples, number = [], 0
    for count in SECTION_COUNTS:
        while number < count:
            cluster.accept(f"team-{number}", RULES_PER_SECTION.format(n=number))
            number += 1
        time.sleep(SETTLE_S)
        samples.append(sample(node))
    cpu, started_at = node.read_cpu_s(), time.monotonic()
    for change in range(CHANGES):
        cluster.accept("team-0", RULES_PER_SECTION.format(n=0), base=1 + change)
    used_s = node.read_cpu_s() - cpu
    elapsed = time.monotonic() - started_at
    return fit_lines(SECTION_COUNTS, samples), {
        "cpu_ms_each": round(1000 * used_s / CHANGES, 2),
        "seconds_each": round(elapsed / CHANGES, 4),
    }


def measure_adoption() -> dict:
    """Measure the processor time for adopting one changed section out of 160."""
    sections = SectionTable(lambda _: build_rule_set(sections.all()))
    now = SystemClock().now()
    for number in range(SECTION_COUNTS[-1]):
        text = RULES_PER_SECTION.format(n=number)
        sections.apply(Section(f"team-{number}", 1, text, "e", "o", now))
    text = RULES_PER_SECTION.format(n=0)
    started_at = time.process_time()
    for version in range(2, 2 + CHANGES):
        changed = f"{text}# version {version}\n"
        sections.apply(Section("team-0", version, changed, "e", "o", now))
    used_s = time.process_time() - started_at
    return {"cpu_ms_each": round(1000 * used_s / CHANGES, 3)}


def measure_calls(node: NodeProcess) -> dict:
    """Sample at each rate of calls that enter at the target's own node."""
    samples = []
    for rate in CALL_RATES:
        if not rate:
            samples.append(sample(node))
            continue
        calls = [make_http_call(node.front_port, "/echo/x") for _ in range(8)]
        load = threading.Thread(
            target=lambda: [
                run_round(calls, rate, HdrHistogram(1, 60_000_000, 3)) for _ in range(4)
            ]
        )
        load.start()
        samples.append(sample(node))
        load.join()
    return fit_lines(CALL_RATES, samples)


def main() -> None:
    """Fit every line and print one JSON line."""
    with ProcessCluster() as cluster:
        node = cluster.add_node("z1")
        cluster.add_target(node, "echo", 110)
        peers = GossipPeers(node)
        by_peers, after_stop = measure_peers(node, peers)
        peers.stop()
    with ProcessCluster() as cluster:
        node = cluster.add_node("z1")
        cluster.add_target(node, "echo", 110)
        by_sections, change = measure_sections(cluster, node)
        by_calls = measure_calls(node)
        by_connections = measure_connections(node)
        reads = cluster.platform.platform.table.reads
        started_at = time.monotonic()
        time.sleep(10)
        reads = (cluster.platform.platform.table.reads - reads) / (
            time.monotonic() - started_at
        )
    result = {
        "peers": by_peers,
        "zone_gone": {k: round(v, 3) for k, v in after_stop.items()},
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
