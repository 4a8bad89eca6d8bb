"""Demonstration: nodes and stand-ins in one process under a surge of load."""

from __future__ import annotations

import http.client
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from datetime import timedelta

from cleo.commands.command import Command
from cleo.helpers import option

from ..clock import SystemClock
from ..http_client import HTTPConnection
from ..membership import TargetRecord
from ..node import Node
from ..policy import Edit, accept_edit
from ..settings import KeySettings, NodeSettings, Settings
from ..standins import TargetStandIn
from ..store import MemoryPlatform
from ..wire import derive_credential

__all__ = ["DemoCommand"]

_KEYS = KeySettings(
    nodes="demo-key-of-the-nodes",
    callers="demo-key-of-the-callers",
    operators="demo-key-of-the-operators",
    targets="demo-key-of-the-targets",
)
_SERVICE = "truck-tracking"
_TARGET_SLOTS = 8
_TARGET_DELAY_S = 0.02
_JOIN_TIMEOUT_S = 10.0
_POLICY = """\
[teams.tracking]
objective = "recovery"

[teams.tracking.services.truck-tracking]
deadline_ms = 500
extra_attempts = 2

[[teams.tracking.services.truck-tracking.importance]]
callers = ["crane-crews"]
level = "critical"

[[teams.tracking.services.truck-tracking.importance]]
callers = ["foremen"]
level = "low"
"""


@dataclass(frozen=True, slots=True)
class _Phase:
    name: str
    seconds: float
    crews: int
    foremen: int


_PHASES = (
    _Phase("before", 3, 6, 6),
    _Phase("surge", 6, 6, 60),
    _Phase("after", 3, 6, 6),
)


class DemoCommand(Command):
    """Runs three nodes and three targets through a surge of calls."""

    name = "demo"
    description = (
        "Run a surge of calls through real nodes and stand-ins in this process"
    )
    options = [
        option(
            "scale",
            None,
            "Factor for the length of the phases",
            flag=False,
            default="1",
        )
    ]

    def handle(self) -> int:
        """Run the phases and print a table of results for each."""
        scale = float(self.option("scale"))
        platform = MemoryPlatform(SystemClock())
        edit = Edit("demo", "tracking", 0, _POLICY, "demo")
        accept_edit(platform.table, edit, SystemClock())
        nodes = [
            _start_node(platform, zone) for zone in ("amman-1", "amman-1", "amman-2")
        ]
        targets = [_start_target(node) for node in nodes]
        try:
            _wait_joined(nodes)
            for phase in _PHASES:
                self._run_phase(phase, scale, nodes)
        finally:
            for node in nodes:
                node.kill()
            for target in targets:
                target.stop()
        runs = sum(sum(target.runs.values()) for target in targets)
        rejected = sum(target.rejected for target in targets)
        self.line(f"the targets ran {runs} requests and rejected {rejected}")
        return 0

    def _run_phase(self, phase: _Phase, scale: float, nodes: list[Node]) -> None:
        counts: dict[str, Counter[str]] = {
            "crane-crews": Counter(),
            "foremen": Counter(),
        }
        end = time.monotonic() + phase.seconds * scale
        with ThreadPoolExecutor(phase.crews + phase.foremen) as pool:
            for index in range(phase.crews + phase.foremen):
                caller = "crane-crews" if index < phase.crews else "foremen"
                node = nodes[index % len(nodes)]
                pool.submit(_send_calls, node, caller, end, counts[caller])
        self.line(f"{phase.name}: {phase.crews} crane crews, {phase.foremen} foremen")
        rows = [[caller, *_list_counts(count)] for caller, count in counts.items()]
        headers = ["caller", "served", "refused", "other", "retried by callers"]
        cells = [[str(cell) for cell in row] for row in rows]
        self.render_table(headers, cells, style="compact")  # type: ignore[arg-type]


def _list_counts(count: Counter[str]) -> list[int]:
    return [count["200"], count["503"], count["other"], count["retried"]]


def _start_node(platform: MemoryPlatform, zone: str) -> Node:
    node = NodeSettings(
        availability_zone=zone,
        host="127.0.0.1",
        stream_port=0,
        gossip_port=0,
        front_port=0,
        control_port=0,
    )
    started = Node(Settings(node=node, keys=_KEYS), SystemClock(), platform)
    started.start()
    return started


def _start_target(node: Node) -> TargetStandIn:
    target = TargetStandIn(_TARGET_SLOTS, _TARGET_DELAY_S).start()
    node.targets.announce(TargetRecord(_SERVICE, target.address, _TARGET_SLOTS))
    return target


def _wait_joined(nodes: list[Node]) -> None:
    end = time.monotonic() + _JOIN_TIMEOUT_S
    while time.monotonic() < end:
        target_counts = [len(node.router.directory.find(_SERVICE)) for node in nodes]
        if all(node.ready for node in nodes) and min(target_counts) == len(nodes):
            return
        time.sleep(0.05)


def _send_calls(node: Node, caller: str, end: float, counts: Counter[str]) -> None:
    secret = derive_credential(_KEYS.callers.encode(), caller).decode()
    headers = {"Authorization": f"Bearer {caller}.{secret}"}
    address = node.front_listener.address
    connection = HTTPConnection(*address, timeout=5)
    failed = False
    while time.monotonic() < end:
        counts["retried"] += failed
        try:
            connection.request("GET", f"/{_SERVICE}/positions/7", headers=headers)
            response = connection.getresponse()
            response.read()
            status = str(response.status)
        except (OSError, http.client.HTTPException):
            connection.close()
            status = "other"
        failed = status != "200"
        counts[status if status in ("200", "503") else "other"] += 1
        threading.Event().wait(timedelta(milliseconds=10).total_seconds())
    connection.close()
