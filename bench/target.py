"""A target stand-in as a process: `python -m bench.target SLOTS DELAY_S ...`.

Optional arguments: CONNECTIONS, the limit of concurrent connections, then the
destination of a further call that each request makes:
`node:HOST:PORT/SERVICE/PATH` (through a node, forwarding the context) or
`naive:HOST:PORT,HOST:PORT` (directly to targets, with three retries).

Reads commands from standard input and prints one JSON line for each: `delay S`
changes the delay, `count` prints totals, `paths` the runs of each path, `roots` the
runs and busy time of each root request.
"""

from __future__ import annotations

import http.client
import json
import random
import sys
import threading
from collections.abc import Callable

from cyclamenvane.calls import CONTEXT_HEADER
from cyclamenvane.standins import TargetStandIn
from cyclamenvane.standins.target import ROOT_HEADER, Headers, Served

NAIVE_RETRIES = 3
_TIMEOUT_S = 60.0
_THREAD_LOCAL = threading.local()


def send(address: str, path: str, headers: Headers) -> Served:
    """Send a GET request on this thread's connection to an address.

    Returns status 599 if the connection fails.
    """
    connections = _THREAD_LOCAL.__dict__.setdefault("connections", {})
    connection = connections.get(address)
    if connection is None:
        host, port = address.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=_TIMEOUT_S)
        connections[address] = connection
    try:
        connection.request("GET", path, headers=headers)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        connection.close()
        connections.pop(address)
        return 599, b""


def make_next_call(destination: str) -> Callable[[Headers], Served]:
    """Return a function that makes the further call of a request."""
    kind, _, rest = destination.partition(":")
    if kind == "naive":
        return make_naive_call(rest.split(","))
    address, _, path = rest.partition("/")

    def call(headers: Headers) -> Served:
        token = headers.get(CONTEXT_HEADER.lower(), "")
        return send(address, f"/{path}", {CONTEXT_HEADER: token})

    return call


def make_naive_call(addresses: list[str]) -> Callable[[Headers], Served]:
    """Return a call to random targets: three retries, no limits, no deadline."""

    def call(headers: Headers) -> Served:
        forwarded = {ROOT_HEADER: headers.get(ROOT_HEADER, "")}
        for _ in range(1 + NAIVE_RETRIES):
            response = send(random.choice(addresses), "/x", forwarded)
            if response[0] == 200:
                break
        return response

    return call


def main() -> None:
    """Serve, and run commands until standard input ends."""
    slots, delay_s = int(sys.argv[1]), float(sys.argv[2])
    connections = int(sys.argv[3]) if len(sys.argv) > 3 else 1000
    call_next = make_next_call(sys.argv[4]) if len(sys.argv) > 4 else None
    target = TargetStandIn(slots, delay_s, call_next, connections).start()
    print(json.dumps({"address": target.address}), flush=True)
    for line in sys.stdin:
        print(json.dumps(run_command(target, line.split())), flush=True)


def run_command(target: TargetStandIn, words: list[str]) -> dict:
    """Run one command, given as a list of words, and return its response."""
    if words[0] == "delay":
        target.delay_s = float(words[1])
        return {"delay_s": target.delay_s}
    if words[0] == "roots":
        return {"runs": target.runs_by_root, "busy_s": target.busy_by_root}
    if words[0] == "paths":
        return {"paths": target.runs}
    return {
        "runs": sum(target.runs.values()),
        "busy_s": target.busy_s,
        "shed": target.rejected,
        "received": target.received,
    }


if __name__ == "__main__":
    main()
