"""Starts platform, nodes and targets as processes on loopback, for benchmarks."""

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
_SETTLE_S = 30.0
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
    """Return a free port."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


def make_credential(name: str) -> str:
    """Return the credential of a caller."""
    secret = derive_credential(KEYS["callers"].encode(), name).decode()
    return f"{name}.{secret}"


@dataclass
class NodeProcess:
    """A node that runs as a process."""

    process: subprocess.Popen
    zone: str
    stream: int
    front: int
    control: int

    def read_rss_mb(self) -> float:
        """Return the memory that the process holds, in MB."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(text.split("VmRSS:")[1].split()[0]) / 1024

    def read_cpu_s(self) -> float:
        """Return the processor time that the process has used, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")")[1]
        user, system = fields.split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")

    def ask(self, method: str, path: str, value: object = None, key: str = "operators"):
        """Return status and value of a request to the control listener."""
        connection = http.client.HTTPConnection(HOST, self.control, timeout=10)
        body = None if value is None else json.dumps(value).encode()
        headers = {"Authorization": f"Bearer {KEYS[key]}"}
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            data = response.read()
            kind = response.getheader("Content-Type", "")
            return response.status, json.loads(data) if "json" in kind else data
        finally:
            connection.close()


@dataclass
class TargetProcess:
    """A target stand-in that runs as a process; commands go to its input."""

    process: subprocess.Popen
    address: str
    slots: int

    def tell(self, command: str) -> dict:
        """Send a command and return what the target answers."""
        self.process.stdin.write(command + "\n")
        self.process.stdin.flush()
        return json.loads(self.process.stdout.readline())


@dataclass
class Field:
    """The processes of one benchmark, ended together."""

    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))
    processes: list[subprocess.Popen] = field(default_factory=list)
    nodes: list[NodeProcess] = field(default_factory=list)
    platform: PlatformStandIn = field(default_factory=PlatformStandIn)

    def __enter__(self) -> Field:
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
        seeds = ", ".join(f'"{HOST}:{each.stream}"' for each in self.nodes[:3])
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
            log=self.folder / f"node-{ports[0]}.log",
        )
        path = self.folder / f"node-{ports[0]}.toml"
        path.write_text(text)
        process = self._spawn("-m", "cyclamenvane.cli", "node", "--settings", str(path))
        node = NodeProcess(process, zone, *ports)
        self.nodes.append(node)
        _wait_port(node.control)
        wait_for(lambda: node.ask("GET", "/ready")[0] == 200, "a ready node")
        return node

    def add_target(
        self, node: NodeProcess, service: str, slots: int, delay_s: float = 0.0, *more
    ) -> TargetProcess:
        """Start a target beside a node and announce it."""
        target = self.start_target(slots, delay_s, *more)
        self.announce(node, service, target)
        return target

    def start_target(self, slots: int, delay_s: float, *more: str) -> TargetProcess:
        """Start a target without a node."""
        arguments = ["-m", "bench.target", str(slots), str(delay_s), *more]
        process = self._spawn(*arguments)
        address = json.loads(process.stdout.readline())["address"]
        return TargetProcess(process, address, slots)

    def announce(
        self, node: NodeProcess, service: str, target: TargetProcess, **more
    ) -> None:
        """Announce a target to its node."""
        said = {"service": service, "address": target.address, "slots": target.slots}
        status, value = node.ask("POST", "/targets", {**said, **more}, "targets")
        assert status == 200, value

    def accept(self, team: str, text: str, base: int = 0) -> None:
        """Accept a section at the first node."""
        value = {"team": team, "base": base, "text": text, "operator": "bench"}
        status, told = self.nodes[0].ask("POST", "/policy/accept", value)
        assert status == 200, told

    def settle(self) -> None:
        """Wait until every node knows every other and the sections agree."""

        def settled() -> bool:
            for node in self.nodes:
                _, told = node.ask("GET", "/zones")
                zones = told["zones"]
                if sum(each["nodes"] for each in zones) != len(self.nodes):
                    return False
                if not all(each["complete"] for each in zones):
                    return False
            return True

        wait_for(settled, "nodes that know each other")

    def _spawn(self, *arguments: str) -> subprocess.Popen:
        process = subprocess.Popen(
            [sys.executable, *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=(self.folder / "errors.log").open("a"),
            text=True,
        )
        self.processes.append(process)
        return process


def wait_for(condition, what: str) -> None:
    """Wait for a condition, and give up with an error after a while."""
    end = time.monotonic() + _SETTLE_S
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(f"gave up waiting for {what}")
        time.sleep(0.05)


def _wait_port(port: int) -> None:
    def answers() -> bool:
        try:
            socket.create_connection((HOST, port), 1).close()
        except OSError:
            return False
        return True

    wait_for(answers, f"port {port}")
