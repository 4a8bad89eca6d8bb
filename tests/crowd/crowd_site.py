"""Two daemons with low limits, their targets, and what they hold of the machine."""

from __future__ import annotations

import http.client
import itertools
import json
import socket
import threading
import time
from pathlib import Path
from types import SimpleNamespace

from daemon_process import SETTINGS, DaemonProcess
from mesh_harness import CALLER, NETWORK, POST, Mesh, make_request, route, wait_until
from target_standin import TargetStandIn, make_response

MEMORY_LIMIT_MB = 160
MAX_OPEN_FILES = 400
MAX_BODY_BYTES = 8_000_000
LARGE_RESPONSE = b"r" * 4_000_000
SLOW_S = 4.0  # how long a target works on a slow request
_IDLE_TIMEOUT_S = 60
_START_S = 20.0
_ANSWER_S = 20.0  # the time for an ordinary request, with its further attempts
_HEARTBEAT_S = 0.5
_SAMPLE_S = 0.02
_MEGABYTE = 1024 * 1024
_MAX_RETRY_AFTER_S = 2.0
_PORTS = SimpleNamespace(
    caller=17301, ready=17302, admin=17306, peer=17620, last_peer=17635
)
_ROUTES = (
    route(timeoutS=10),
    route("large", "/large/", timeoutS=10),
    route("slow", "/slow/", timeoutS=10),
    route("orders", "/orders/", timeoutS=10, **POST),
)


class CrowdNode:
    """A daemon with its target; its memory and descriptors are sampled."""

    def __init__(
        self,
        mesh: Mesh,
        number: int,
        service: str,
        directory: Path,
        max_files: int,
        memory_mb: int,
    ) -> None:
        self.host = f"{NETWORK}.{10 + number}"
        self.address = self.host, _PORTS.caller
        self.service = service
        self.target = TargetStandIn(f"i-{number}", self.host)
        self.target.script = self._answer
        self._sequence = itertools.count(1)
        store, target = mesh.store.address, self.target.address
        fields = {"name": f"n-{number}", "zone": "a", "host": self.host}
        fields |= {"service": service, "strict": "false"}
        settings = SETTINGS.format(ports=_PORTS, target=target, store=store, **fields)
        settings += f"limits.memoryLimitMb={memory_mb}\n"
        settings += f"limits.maxOpenFiles={max_files}\n"
        self.daemon = DaemonProcess(f"n-{number}", settings, directory)
        self.peak_mb = 0.0
        self.peak_descriptors = 0

    def _answer(self, sock: socket.socket, request) -> bytes | None:
        if request.target.startswith(b"/slow/"):
            time.sleep(SLOW_S)
        is_large = request.target.startswith(b"/large/")
        return make_response(request, LARGE_RESPONSE if is_large else b"whole")

    def send_heartbeat(self) -> None:
        """Send a heartbeat, as a running target does."""
        info = {"service": self.service, "zone": "a", "version": "v1", "capacity": 64}
        status = {"state": "healthy", "sequence": next(self._sequence)}
        document = {
            "address": "{}:{}".format(*self.target.address),
            "born": 1_700_000_000_000,
            "info": info,
            "status": status | {"warmupLeftS": 0},
        }
        path = f"/api/endpoints/{self.target.instance}"
        self.ask(_PORTS.admin, "PUT", path, json.dumps(document))

    def is_ready(self) -> bool:
        """Return whether the readiness probe succeeds."""
        return self.ask(_PORTS.ready, "GET", "/api/ready") == 200

    def ask(self, port: int, method: str, path: str, body: str = "") -> int:
        """Return the status of a request to the daemon, 0 without an answer."""
        connection = http.client.HTTPConnection(self.host, port, timeout=1)
        try:
            connection.request(method, path, body)
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def sample(self) -> None:
        """Update the peaks, unless the process has ended."""
        process = Path(f"/proc/{self.daemon.process_id()}")
        try:
            status = (process / "status").read_text()
            descriptors = sum(1 for _ in (process / "fd").iterdir())
        except OSError:
            return
        fields = dict(line.split(":", 1) for line in status.splitlines())
        resident = int(fields["VmRSS"].split()[0]) / 1024 if "VmRSS" in fields else 0
        unread = _count_unread(self.host, _PORTS.caller, _PORTS.peer) / _MEGABYTE
        self.peak_mb = max(self.peak_mb, resident + unread)
        self.peak_descriptors = max(self.peak_descriptors, descriptors)

    def send(self, data: bytes) -> int:
        """Send a request on a new connection; return the status, 0 without one."""
        return self._send(data)[0]

    def _send(self, data: bytes) -> tuple[int, float]:
        try:
            with socket.create_connection(self.address, 1, CALLER) as sock:
                sock.settimeout(5)
                sock.sendall(data)
                response = http.client.HTTPResponse(sock)
                response.begin()
                response.read()
                retry_after = float(response.getheader("Retry-After", "0.2"))
                return response.status, min(retry_after, _MAX_RETRY_AFTER_S)
        except (OSError, http.client.HTTPException):
            return 0, 0.2

    def is_served(self, path: str = "/items/1", body: bytes = b"") -> bool:
        """Return whether a caller that comes back as told is served."""
        until = time.monotonic() + _ANSWER_S
        method = "POST" if body else "GET"
        for number in itertools.count():
            attempt = f"ordinary-{self.host}-{time.monotonic()}-{number}"
            status, pause = self._send(make_request(path, method, body, attempt))
            if status == 200:
                return True
            if time.monotonic() + pause > until:
                return False
            time.sleep(pause)
        return False


class CrowdSite:
    """A node that callers use, a node beside the target that serves them, a store."""

    def __init__(
        self,
        directory: Path,
        max_files: int = MAX_OPEN_FILES,
        memory_mb: int = MEMORY_LIMIT_MB,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self.max_files, self.memory_mb = max_files, memory_mb
        self._mesh = Mesh()  # for its store and configuration; it has no members
        self._mesh.configure(
            *_ROUTES, maxBodyBytes=max_body_bytes, idleTimeoutS=_IDLE_TIMEOUT_S
        )
        services = ("desk", "stock")
        self.nodes = [
            CrowdNode(self._mesh, number, service, directory, max_files, memory_mb)
            for number, service in enumerate(services)
        ]
        self.entry = self.nodes[0]
        self._closed = threading.Event()
        self._tasks = [
            threading.Thread(target=each, daemon=True)
            for each in (self._send_heartbeats, self._sample)
        ]

    def start(self) -> None:
        """Start the daemons and wait until calls are served."""
        for node in self.nodes:
            node.daemon.start()
        wait_until(lambda: all(each.is_ready() for each in self.nodes), _START_S)
        for task in self._tasks:
            task.start()
        wait_until(lambda: self.entry.is_served(), _START_S)

    def _send_heartbeats(self) -> None:
        while not self._closed.wait(_HEARTBEAT_S):
            for node in self.nodes:
                node.send_heartbeat()

    def _sample(self) -> None:
        while not self._closed.wait(_SAMPLE_S):
            for node in self.nodes:
                node.sample()

    def list_problems(self) -> list[str]:
        """Return what is over its bound, and the processes that have ended."""
        problems = []
        for node in self.nodes:
            name = node.service
            if not node.daemon.is_running():
                problems.append(f"{name}: the process has ended")
            if node.peak_mb > self.memory_mb:
                problems.append(f"{name}: {node.peak_mb:.0f} MB of {self.memory_mb}")
            if node.peak_descriptors > self.max_files:
                problems.append(
                    f"{name}: {node.peak_descriptors} descriptors of {self.max_files}"
                )
        return problems

    def close(self) -> None:
        """End all processes and tasks."""
        self._closed.set()
        for task in self._tasks:
            if task.is_alive():
                task.join()
        for node in self.nodes:
            if node.daemon.is_running():
                node.daemon.kill()
            node.target.crash()
        self._mesh.close()


def _count_unread(host: str, *ports: int) -> int:
    """Return the bytes that the kernel holds unread for a node's connections."""
    octets = bytes(map(int, host.split(".")))
    prefix = octets[::-1].hex().upper()
    addresses = {f"{prefix}:{port:04X}" for port in ports}
    unread = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, _, state, queues, *_ = line.split()
        if local in addresses and state != "0A":  # the queue of a listener has no bytes
            unread += int(queues.split(":")[1], 16)
    return unread
