"""A platform stand-in with node and target processes on loopback, for benchmarks."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

from cyclamenvane.standins import PlatformStandIn
from cyclamenvane.wire import derive_credential

HOST = "127.0.0.1"
KEYS = {
    "nodes": "bench-key-of-nodes",
    "callers": "bench-key-of-callers",
    "operators": "bench-key-of-operators",
    "targets": "bench-key-of-targets",
}
_TIMEOUT_S = 30.0
_SETTINGS = """\
[node]
availability_zone = "{zone}"
host = "{host}"
stream_port = {stream}
gossip_port = {stream}
front_port = {front}
control_port = {control}
seeds = [{seeds}]
{extra}
[keys]
{keys}
[platform]
kind = "http"
address = "{platform}"
[log]
path = "{log}"
"""


def find_port() -> int:
    """Return a free TCP port."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


def make_credential(name: str) -> str:
    """Return the credential of a caller."""
    secret = derive_credential(KEYS["callers"].encode(), name).decode()
    return f"{name}.{secret}"


@dataclass
class NodeProcess:
    """A node process and the ports of its listeners."""

    process: subprocess.Popen
    zone: str
    stream_port: int
    front_port: int
    control_port: int

    def read_rss_mb(self) -> float:
        """Return the resident memory of the process in MB."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(text.split("VmRSS:")[1].split()[0]) / 1024

    def read_cpu_s(self) -> float:
        """Return the processor time used by the process in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")")[1]
        user, system = fields.split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")

    def request_control(
        self, method: str, path: str, value: object = None, key: str = "operators"
    ):
        """Send a request to the control listener; return its status and body.

        A JSON body is decoded, any other is returned as bytes.
        """
        connection = http.client.HTTPConnection(HOST, self.control_port, timeout=10)
        body = None if value is None else json.dumps(value).encode()
        headers = {"Authorization": f"Bearer {KEYS[key]}"}
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            data = response.read()
            content_type = response.getheader("Content-Type", "")
            return response.status, json.loads(data) if "json" in content_type else data
        finally:
            connection.close()


@dataclass
class TargetProcess:
    """A target stand-in process, controlled by commands on its standard input."""

    process: subprocess.Popen
    address: str
    slots: int

    def send_command(self, command: str) -> dict:
        """Send a command and return the decoded response."""
        self.process.stdin.write(command + "\n")
        self.process.stdin.flush()
        return json.loads(self.process.stdout.readline())


@dataclass
class ProcessCluster:
    """The platform, nodes and targets of one benchmark, stopped on exit."""

    directory: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))
    processes: list[subprocess.Popen] = field(default_factory=list)
    nodes: list[NodeProcess] = field(default_factory=list)
    platform: PlatformStandIn = field(default_factory=PlatformStandIn)

    def __enter__(self) -> ProcessCluster:
        threading.Thread(target=self.platform.run, daemon=True).start()
        return self

    def __exit__(self, *_: object) -> None:
        self.platform.stop()
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()

    def add_node(self, zone: str, extra: str = "") -> NodeProcess:
        """Start a node and wait until it is ready."""
        ports = [find_port() for _ in range(3)]
        seeds = ", ".join(f'"{HOST}:{each.stream_port}"' for each in self.nodes[:3])
        text = _SETTINGS.format(
            zone=zone,
            host=HOST,
            stream=ports[0],
            front=ports[1],
            control=ports[2],
            seeds=seeds,
            extra=extra,
            keys="\n".join(f'{name} = "{key}"' for name, key in KEYS.items()),
            platform=self.platform.address,
            log=self.directory / f"node-{ports[0]}.log",
        )
        path = self.directory / f"node-{ports[0]}.toml"
        path.write_text(text)
        process = self._spawn("-m", "cyclamenvane.cli", "node", "--settings", str(path))
        node = NodeProcess(process, zone, *ports)
        self.nodes.append(node)
        _wait_for_port(node.control_port)
        wait_for(
            lambda: node.request_control("GET", "/ready")[0] == 200,
            "the node to be ready",
        )
        return node

    def add_target(
        self,
        node: NodeProcess,
        service: str,
        slots: int,
        delay_s: float = 0.0,
        *options,
    ) -> TargetProcess:
        """Start a target and announce it to a node."""
        target = self.start_target(slots, delay_s, *options)
        self.announce(node, service, target)
        return target

    def start_target(self, slots: int, delay_s: float, *options: str) -> TargetProcess:
        """Start a target without announcing it to a node."""
        arguments = ["-m", "bench.target", str(slots), str(delay_s), *options]
        process = self._spawn(*arguments)
        address = json.loads(process.stdout.readline())["address"]
        return TargetProcess(process, address, slots)

    def announce(
        self, node: NodeProcess, service: str, target: TargetProcess, **fields
    ) -> None:
        """Announce a target to a node, with further fields such as `leaving`."""
        announcement = {
            "service": service,
            "address": target.address,
            "slots": target.slots,
        }
        status, body = node.request_control(
            "POST", "/targets", {**announcement, **fields}, "targets"
        )
        assert status == 200, body

    def accept(self, team: str, text: str, base: int = 0) -> None:
        """Accept a policy section at the first node."""
        value = {"team": team, "base": base, "text": text, "operator": "bench"}
        status, body = self.nodes[0].request_control("POST", "/policy/accept", value)
        assert status == 200, body

    def wait_until_settled(self) -> None:
        """Wait until every node lists all nodes and every zone has all sections."""

        def settled() -> bool:
            for node in self.nodes:
                _, body = node.request_control("GET", "/zones")
                zones = body["zones"]
                if sum(each["nodes"] for each in zones) != len(self.nodes):
                    return False
                if not all(each["complete"] for each in zones):
                    return False
            return True

        wait_for(settled, "every node to list all nodes")

    def _spawn(self, *arguments: str) -> subprocess.Popen:
        process = subprocess.Popen(
            [sys.executable, *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=(self.directory / "errors.log").open("a"),
            text=True,
        )
        self.processes.append(process)
        return process


def wait_for(condition, what: str) -> None:
    """Wait until a condition holds; raise TimeoutError after 30 s."""
    deadline = time.monotonic() + _TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"timed out waiting for {what}")
        time.sleep(0.05)


def _wait_for_port(port: int) -> None:
    def accepts_connections() -> bool:
        try:
            socket.create_connection((HOST, port), 1).close()
        except OSError:
            return False
        return True

    wait_for(accepts_connections, f"port {port} to accept connections")
