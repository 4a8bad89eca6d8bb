"""Daemons, targets, links and the store of a soak run."""

from __future__ import annotations

import http.client
import itertools
import json
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from types import SimpleNamespace

import soak_records as records
from daemon_process import SETTINGS, DaemonProcess
from faulty_link import FaultyLink
from mesh_harness import NETWORK, POST, Mesh, accepts_connections, route, wait_until
from target_standin import TargetStandIn

NODES = 8
PROCESS_KINDS = ("pause", "kill", "stop")  # failures in which a daemon does not run
_HEARTBEAT_S = 0.5
_START_S = 20.0  # of all daemons on a busy machine
_RATES = {"steady": 40.0, "greedy": 20.0, "lowered": 30.0, "probe": 0.0}
_LOWERED_RATE = 8.0
_ROUTES = (
    route("items", "/items/"),
    route("orders", "/orders/", service="desk", **POST),
    route("public", "/public/", public=True),
)
# Apart from the ports of other tests; each node has an address of its own.
PORTS = SimpleNamespace(
    caller=16301, ready=16302, admin=16306, peer=16620, last_peer=16635
)
_TARGET_LINK_PORT, _STORE_LINK_PORT = 16700, 16701


class SoakNode:
    """A daemon with its target and its links."""

    def __init__(self, site: SoakSite, number: int, directory: Path) -> None:
        self._number = number
        self.host = f"{NETWORK}.{10 + number}"
        self._zone = "ab"[number % 2]
        self._service = ("stock", "desk")[number // 2 % 2]
        self.target = TargetStandIn(f"i-{number}-1", self.host, delay=0.01)
        self.target.script = self._answer
        self._incarnation, self.has_crashed = 1, False
        target, store = (self.host, _TARGET_LINK_PORT), (self.host, _STORE_LINK_PORT)
        self.target_link = FaultyLink(target, self.target.address)
        self.store_link = FaultyLink(store, site.mesh.store.address)
        fields = {"name": f"n-{number}", "zone": self._zone, "host": self.host}
        fields |= {"service": self._service, "strict": str(site.strict).lower()}
        settings = SETTINGS.format(ports=PORTS, target=target, store=store, **fields)
        self.daemon = DaemonProcess(f"n-{number}", settings, directory)
        self._sequence = itertools.count(1)

    def _answer(self, sock: socket.socket, request) -> bytes | None:
        method, path = request.method.decode(), request.target.decode()
        attempt = records.find_attempt(request)
        body = records.make_expected_body(method, path, attempt, request.body or b"")
        return self.target.execute(sock, request, body)

    def start(self) -> None:
        """Start the daemon and wait until it runs, with or without a configuration."""
        self.daemon.start()
        wait_until(lambda: accepts_connections((self.host, PORTS.caller)), _START_S)

    def crash_target(self) -> None:
        """End the target."""
        self.has_crashed = True
        self.target_link.close()
        self.target.crash()

    def start_target(self) -> None:
        """Start another incarnation of the target."""
        self._incarnation += 1
        self.target.start_again(f"i-{self._number}-{self._incarnation}")
        self.target_link.open()
        self.has_crashed = False

    def send_heartbeat(self) -> None:
        """Send a heartbeat, as a running target does."""
        info = {"service": self._service, "zone": self._zone, "version": "v1"}
        status = {"state": "healthy", "warmupLeftS": 0}
        document = {
            "address": f"{self.host}:{_TARGET_LINK_PORT}",
            "born": 1_700_000_000_000 + self._incarnation,
            "info": info | {"capacity": 32},
            "status": status | {"sequence": next(self._sequence)},
        }
        path = f"/api/endpoints/{self.target.instance}"
        self._request(PORTS.admin, "PUT", path, json.dumps(document))

    def is_ready(self) -> bool:
        """Return whether the readiness probe succeeds."""
        return self._request(PORTS.ready, "GET", "/api/ready") == 200

    def _request(self, port: int, method: str, path: str, body: str = "") -> int:
        """Return the status, 0 if the daemon does not answer."""
        connection = http.client.HTTPConnection(self.host, port, timeout=0.5)
        try:
            connection.request(method, path, body)
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()


class SoakSite:
    """All nodes, the store and the operator who writes the configuration."""

    def __init__(self, directory: Path, strict: bool) -> None:
        self.strict = strict
        self.seen = records.Observations()
        self.mesh = Mesh()  # for its store and configurations; it has no members
        self._lock = threading.Lock()
        self._rates = dict(_RATES)
        self._keys = {f"{name}-key-0": name for name in _RATES}
        # Callers use these keys until they are removed, and after it.
        self.removable_keys = [f"probe-key-{number}" for number in (1, 2, 3)]
        self._keys |= dict.fromkeys(self.removable_keys, "probe")
        self.write_configuration()
        self.nodes = [SoakNode(self, number, directory) for number in range(NODES)]
        self._closed = threading.Event()
        self._executor = ThreadPoolExecutor(NODES)

    def start(self) -> None:
        """Start the daemons and wait until they are ready."""
        for node in self.nodes:
            node.daemon.start()
            self._executor.submit(self._send_heartbeats, node)
        wait_until(lambda: all(node.is_ready() for node in self.nodes), _START_S)
        self.copy = self.mesh.store.copy()

    def _send_heartbeats(self, node: SoakNode) -> None:
        while not self._closed.wait(_HEARTBEAT_S):
            if not node.has_crashed:
                node.send_heartbeat()

    def disturb(self, node: int, start: float, end: float, kind: str) -> None:
        """Note that a node, or all of them for -1, was disturbed."""
        numbers = range(NODES) if node < 0 else (node,)
        restored, process = kind == "store_restore", kind in PROCESS_KINDS
        self.seen.disturbances.extend(
            records.Disturbance(number, start, end, restored, process)
            for number in numbers
        )

    def lower_rate(self) -> None:
        """Lower the rate of an account that sends more than its rate."""
        self._rates["lowered"] = _LOWERED_RATE
        self.write_configuration()

    def remove_key(self) -> None:
        """Remove a key that callers use."""
        if self.removable_keys:
            del self._keys[self.removable_keys.pop()]
        self.write_configuration()

    def write_configuration(self) -> None:
        """Write a version of the configuration to the store."""
        with self._lock:
            rates, keys = dict(self._rates), dict(self._keys)
            tenants = [
                {"name": name, "priority": 1, "ratePerS": rate, "burst": rate}
                | {"apiKeys": [key for key, owner in keys.items() if owner == name]}
                for name, rate in rates.items()
            ]
            self.mesh.configure(*_ROUTES, tenants=tenants)
            self.seen.changes.append(
                records.AccountChange(time.monotonic(), rates, keys)
            )

    def close(self) -> list[str]:
        """End all processes and connections; return the problems of processes."""
        self._closed.set()
        for node in self.nodes:
            node.daemon.kill()
        self._executor.shutdown()
        for node in self.nodes:
            node.crash_target()
            self.seen.runs += zip(node.target.executed, node.target.executed_at)
            node.store_link.close()
        self.mesh.store.end_silence()
        self.mesh.close()
        return [text for node in self.nodes for text in node.daemon.problems]
