"""The latency that each entry point adds to a call: `python -m bench.latency --json`.

Direct calls and calls through the nodes alternate in one run, at a fixed rate over
eight connections. `http` enters at another node than the target's, `local` at the
target's own node, `embedded` through the client library in the calling process.
`--idle N` keeps N idle connections open at the node of `http`.
"""

from __future__ import annotations

import http.client
import json
import socket
import sys
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from hdrh.histogram import HdrHistogram

from cyclamenvane import Caller, CallerSettings, SystemClock
from cyclamenvane.wire import derive_credential

from .cluster import HOST, KEYS, ProcessCluster, make_credential

RATES = (190, 400, 800)
CONNECTIONS = 8
ROUND_S = 2.0
ROUNDS = 3
CALLER = "bench"
_MAX_LATENCY_US = 60_000_000
_ZONE = "z1"

Call = Callable[[], None]


def make_http_call(port: int, path: str) -> Call:
    """Return a function that makes calls over one persistent connection."""
    connection = http.client.HTTPConnection(HOST, port, timeout=10)
    connection.connect()
    connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    headers = {"Authorization": f"Bearer {make_credential(CALLER)}"}

    def call() -> None:
        connection.request("GET", path, headers=headers)
        response = connection.getresponse()
        data = response.read()
        assert response.status == 200 and data == b"ok\n", (response.status, data)

    return call


def make_embedded_call(caller: Caller) -> Call:
    """Return a function that makes calls through the embedded caller."""

    def call() -> None:
        response = caller.call("echo", "GET", "/x")
        assert response.status == 200 and response.body == b"ok\n", response

    return call


def run_round(calls: list[Call], rate: int, histogram: HdrHistogram) -> None:
    """Make calls at a total rate per second for one round, one thread for each call."""
    interval_s = len(calls) / rate
    started_at = time.perf_counter() + 0.05
    lock = threading.Lock()

    def work(index: int) -> None:
        due = started_at + index * interval_s / len(calls)
        while due < started_at + ROUND_S:
            wait_s = due - time.perf_counter()
            if wait_s > 0:
                time.sleep(wait_s)
            start = time.perf_counter()
            calls[index]()
            latency_us = int((time.perf_counter() - start) * 1e6)
            with lock:
                histogram.record_value(latency_us)
            due += interval_s

    with ThreadPoolExecutor(len(calls)) as pool:
        for future in [pool.submit(work, index) for index in range(len(calls))]:
            future.result()


def measure(
    entry_points: dict[str, list[Call]], rate: int
) -> dict[str, dict[str, float]]:
    """Return p50 and p99 of each entry point in ms, measured in alternating rounds."""
    histograms = {name: HdrHistogram(1, _MAX_LATENCY_US, 3) for name in entry_points}
    for _ in range(ROUNDS):
        for name, calls in entry_points.items():
            run_round(calls, rate, histograms[name])
    return {
        name: {
            "p50": each.get_value_at_percentile(50) / 1000,
            "p99": each.get_value_at_percentile(99) / 1000,
        }
        for name, each in histograms.items()
    }


def open_idle_connections(port: int, count: int) -> list[socket.socket]:
    """Open connections that send nothing."""
    return [socket.create_connection((HOST, port)) for _ in range(count)]


def main() -> None:
    """Measure the added latencies and print one JSON line."""
    idle_count = (
        int(sys.argv[sys.argv.index("--idle") + 1]) if "--idle" in sys.argv else 0
    )
    with ProcessCluster() as cluster:
        local_node, remote_node = cluster.add_node(_ZONE), cluster.add_node(_ZONE)
        target = cluster.add_target(local_node, "echo", slots=110)
        cluster.wait_until_settled()
        secret = derive_credential(KEYS["callers"].encode(), CALLER).decode()
        settings = CallerSettings(
            CALLER, secret, _ZONE, (f"{HOST}:{local_node.stream_port}",)
        )
        pool = ThreadPoolExecutor(64)
        caller = Caller(settings, SystemClock(), pool)
        caller.start()
        idle_connections = open_idle_connections(remote_node.front_port, idle_count)
        port = int(target.address.split(":")[1])
        entry_points = {
            "direct": [make_http_call(port, "/x") for _ in range(CONNECTIONS)],
            "http": [
                make_http_call(remote_node.front_port, "/echo/x")
                for _ in range(CONNECTIONS)
            ],
            "local": [
                make_http_call(local_node.front_port, "/echo/x")
                for _ in range(CONNECTIONS)
            ],
            "embedded": [make_embedded_call(caller) for _ in range(CONNECTIONS)],
        }
        result: dict = {"idle_connections": len(idle_connections), "rates": {}}
        for rate in RATES:
            latencies = measure(entry_points, rate)
            direct = latencies.pop("direct")
            result["rates"][rate] = {
                name: {
                    "p50_added_ms": round(each["p50"] - direct["p50"], 3),
                    "p99_added_ms": round(each["p99"] - direct["p99"], 3),
                }
                for name, each in latencies.items()
            } | {"direct": direct}
        result["rss_mb"] = [
            round(node.read_rss_mb(), 1) for node in (local_node, remote_node)
        ]
        caller.stop()
        pool.shutdown(wait=False, cancel_futures=True)
    print(json.dumps(result))


if __name__ == "__main__":
    main()
