"""Real nodes and target stand-ins on loopback, for end-to-end tests."""

from __future__ import annotations

import http.client
import json
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field, replace
from datetime import timedelta

from cyclamenvane.clock import SystemClock
from cyclamenvane.node import Node
from cyclamenvane.settings import KeySettings, NodeSettings, Settings
from cyclamenvane.standins import TargetStandIn
from cyclamenvane.store import MemoryPlatform, Platform
from cyclamenvane.wire import derive_credential

KEYS = KeySettings(
    nodes="nodes-key-for-tests",
    callers="callers-key-for-tests",
    operators="operators-key-for-tests",
    targets="targets-key-for-tests",
)
TIMEOUT_S = 20.0


def make_settings(zone: str, seeds: tuple[str, ...] = ()) -> Settings:
    node = NodeSettings(
        availability_zone=zone,
        host="127.0.0.1",
        stream_port=0,
        gossip_port=0,
        front_port=0,
        control_port=0,
        seeds=seeds,
        front_loops=2,
        front_threads=32,
    )
    return Settings(node=node, keys=KEYS)


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Wait for a condition; the timeout ends a hung test and is no bound under test."""
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, f"timed out waiting for {what}"
        time.sleep(0.01)


@dataclass(frozen=True)
class Response:
    status: int
    body: bytes
    headers: dict[str, str]

    @property
    def outcome(self) -> str:
        return self.headers.get("cyclamenvane-outcome", "")

    @property
    def reason(self) -> str:
        return self.headers.get("cyclamenvane-reason", "")


def fetch(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> Response:
    connection = http.client.HTTPConnection(*address, timeout=TIMEOUT_S)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        data = response.read()
        fields = {name.lower(): value for name, value in response.getheaders()}
        return Response(response.status, data, fields)
    finally:
        connection.close()


def credential(name: str) -> str:
    secret = derive_credential(KEYS.callers.encode(), name).decode()
    return f"{name}.{secret}"


@dataclass
class Cluster:
    """Nodes that share one platform, and the targets announced to them."""

    platform: Platform = field(default_factory=lambda: MemoryPlatform(SystemClock()))
    nodes: list[Node] = field(default_factory=list)
    targets: list[TargetStandIn] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)

    def add_node(self, zone: str, platform: Platform | None = None, **settings) -> Node:
        seeds = tuple(node.view.own.name for node in self.nodes[:2])
        new_settings = make_settings(zone, seeds)
        new_settings = replace(
            new_settings, node=replace(new_settings.node, **settings)
        )
        node = Node(
            new_settings,
            SystemClock(),
            platform or self.platform,
            on_invariant_broken=lambda: self.broken.append(zone),
        )
        node.start()
        self.nodes.append(node)
        wait_until(lambda: node.ready, "a node to be ready")
        return node

    def add_target(self, node: Node, service: str, **options) -> TargetStandIn:
        target = TargetStandIn(**options).start()
        self.targets.append(target)
        self.announce(node, service, target)
        return target

    def announce(
        self, node: Node, service: str, target: TargetStandIn, leaving: bool = False
    ) -> None:
        announcement = {
            "service": service,
            "address": target.address,
            "slots": target.slots,
            "leaving": leaving,
        }
        response = self.control(node, "POST", "/targets", announcement, KEYS.targets)
        assert response.status == 200, response.body

    def control(
        self,
        node: Node,
        method: str,
        path: str,
        value: object = None,
        key: str = KEYS.operators,
    ) -> Response:
        body = None if value is None else json.dumps(value).encode()
        headers = {"Authorization": f"Bearer {key}"}
        return fetch(node.control_listener.address, method, path, body, headers)

    def accept(self, node: Node, team: str, text: str, base: int = 0) -> Response:
        value = {"team": team, "base": base, "text": text, "operator": "tests"}
        return self.control(node, "POST", "/policy/accept", value)

    def call(
        self,
        node: Node,
        method: str,
        path: str,
        body: bytes | None = None,
        caller: str = "foreman",
        **headers: str,
    ) -> Response:
        fields = {"Authorization": f"Bearer {credential(caller)}"}
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        return fetch(node.front_listener.address, method, path, body, fields)

    def wait_until_settled(self, service: str = "", targets: int = 0) -> None:
        """Wait until every node lists all nodes, and the service's targets if given."""
        count = len(self.nodes)

        def settled() -> bool:
            return all(
                len(node.view.all()) == count
                and (not service or len(node.router.directory.find(service)) == targets)
                for node in self.nodes
            )

        wait_until(settled, "every node to list all nodes and targets")

    def close(self) -> None:
        for node in self.nodes:
            node.kill()
        for target in self.targets:
            target.stop()


def stop_gracefully(node: Node, seconds: float = 10.0) -> bool:
    return node.stop(timedelta(seconds=seconds))


def run_in_parallel(count: int, work: Callable[[int], object]) -> list:
    """Call `work` with each index in a thread of its own; return the results."""
    with ThreadPoolExecutor(count) as pool:
        return list(pool.map(work, range(count)))


def put_in_force(cluster: Cluster, team: str, text: str, base: int = 0) -> None:
    """Accept a section and wait until it is in force at every node."""
    assert cluster.accept(cluster.nodes[0], team, text, base).status == 200
    version = base + 1
    wait_until(
        lambda: all(n.sections.versions().get(team) == version for n in cluster.nodes),
        "the section to be in force at every node",
    )
