"""A target stand-in as a process: `python -m bench.target SLOTS DELAY_S [NEXT]`.

NEXT is `host:port/service/path`, which each request then calls through a node.
Commands on standard input, one JSON line of answer each: `delay S` changes the
delay, `count` gives what was run, `paths PREFIX` the runs of each path.
"""

from __future__ import annotations

import http.client
import json
import sys
import threading

from cyclamenvane.calls import CONTEXT_HEADER
from cyclamenvane.standins import TargetStandIn

_LOCAL = threading.local()


def make_next(place: str):
    """Return what makes the further call of each request."""
    address, _, path = place.partition("/")
    host, port = address.split(":")

    def call(token: str) -> tuple[int, bytes]:
        connection = getattr(_LOCAL, "connection", None)
        if connection is None:
            connection = http.client.HTTPConnection(host, int(port), timeout=30)
            _LOCAL.connection = connection
        try:
            connection.request("GET", f"/{path}", headers={CONTEXT_HEADER: token})
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            _LOCAL.connection = None
            return 599, b""

    return call


def main() -> None:
    """Serve until standard input ends."""
    slots, delay_s = int(sys.argv[1]), float(sys.argv[2])
    following = make_next(sys.argv[3]) if len(sys.argv) > 3 else None
    target = TargetStandIn(slots, delay_s, following).start()
    print(json.dumps({"address": target.address}), flush=True)
    for line in sys.stdin:
        print(json.dumps(run_command(target, line.split())), flush=True)


def run_command(target: TargetStandIn, words: list[str]) -> dict:
    """Carry out one command and return its answer."""
    if words[0] == "delay":
        target.delay_s = float(words[1])
        return {"delay_s": target.delay_s}
    if words[0] == "paths":
        runs = {k: v for k, v in target.runs.items() if k.startswith(words[1])}
        return {"runs": runs}
    return {
        "runs": sum(target.runs.values()),
        "busy_s": target.busy_s,
        "shed": target.shed,
        "received": target.received,
    }


if __name__ == "__main__":
    main()
