"""Callers of a soak run that send several requests before the first response."""

from __future__ import annotations

import http.client
import random
import socket
import time
from threading import Event, Thread

from mesh_harness import CALLER, make_request
from soak_callers import NUMBERS
from soak_records import CallRecord, make_expected_body
from soak_site import PORTS, SoakSite

_TIMEOUT_S = 4.0
_MAX_REQUESTS = 6
_MEAN_GAP_S = 0.15
_ACCOUNT, _KEY = "probe", "probe-key-0"


def start_pipelines(site: SoakSite, stopped: Event, seed: int) -> list[Thread]:
    """Start a pipelining caller for each node; they end after `stopped`."""
    threads = []
    for node in range(len(site.nodes)):
        chance = random.Random(seed * 1000 + 500 + node)
        arguments = (site, node, stopped, chance)
        threads.append(Thread(target=_run, args=arguments, daemon=True))
        threads[-1].start()
    return threads


def _run(site: SoakSite, node: int, stopped: Event, chance: random.Random) -> None:
    address = site.nodes[node].host, PORTS.caller
    while not stopped.wait(chance.uniform(0, 2 * _MEAN_GAP_S)):
        try:
            with socket.create_connection(address, _TIMEOUT_S, CALLER) as sock:
                while _send_together(sock, site, node, chance):
                    if stopped.wait(chance.uniform(0, 2 * _MEAN_GAP_S)):
                        return
        except OSError:
            continue  # the node does not run; requests without a response are recorded


def _send_together(sock, site: SoakSite, node: int, chance: random.Random) -> bool:
    """Send requests together, and read their responses; return whether to go on."""
    attempts = [f"p{next(NUMBERS)}" for _ in range(chance.randint(1, _MAX_REQUESTS))]
    headers = {"Authorization": f"Token {_KEY}"}
    sent, open_ = time.monotonic(), True
    stream = sock.makefile("rb")
    try:
        for attempt in attempts:
            path = f"/items/{attempt}"
            request = make_request(path, attempt=attempt, deadline_ms=2000, **headers)
            sock.sendall(request)
    except OSError:
        open_ = False
    for attempt in attempts:
        path, status, complete = f"/items/{attempt}", 0, False
        try:
            if open_ and (line := stream.readline()):
                fields = http.client.parse_headers(stream)
                length = int(fields["Content-Length"])
                body = stream.read(length)
                if len(body) == length:
                    status = int(line.split()[1])
                    complete = body == make_expected_body("GET", path, attempt, b"")
                open_ = status > 0 and fields["Connection"] != "close"
            else:
                open_ = False
        except OSError:
            open_ = False
        times = sent, time.monotonic()
        follows = attempt != attempts[0]
        record = attempt, _ACCOUNT, _KEY, node, path, *times, status, complete, follows
        site.seen.calls.append(CallRecord(*record))
    stream.close()
    return open_
