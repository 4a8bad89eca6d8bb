"""Callers of a soak run: each has an account, a node and a kept connection."""

from __future__ import annotations

import http.client
import itertools
import random
import time
from threading import Event, Thread

from mesh_harness import CALLER
from soak_records import CallRecord, make_expected_body
from soak_site import NODES, PORTS, SoakSite

_TIMEOUT_S = 4.0
_FORGED_SHARE = 0.2  # of calls with an account header of the caller's own
NUMBERS = itertools.count(1)  # of the attempts of all callers


# Account, key, calls a second over all nodes, prefixes of paths.
_TRAFFIC = (
    ("steady", "steady-key-0", 20, ("/items/", "/orders/")),
    ("greedy", "greedy-key-0", 60, ("/items/",)),
    ("lowered", "lowered-key-0", 90, ("/items/",)),
    ("probe", "probe-key-0", 16, ("/orders/", "/items/", "/public/")),
    *(("probe", f"probe-key-{each}", 16, ("/items/",)) for each in (1, 2, 3)),
    ("", "never-configured", 4, ("/items/", "/orders/", "/public/")),
    ("", "", 2, ("/items/", "/public/")),
)


class Connection:
    """A caller's connection to a node, used until the node closes it."""

    def __init__(self, site: SoakSite, node: int) -> None:
        self._calls, self._node = site.seen.calls, node
        self._connection = http.client.HTTPConnection(
            *(site.nodes[node].host, PORTS.caller),
            timeout=_TIMEOUT_S,
            source_address=CALLER,
        )
        self.close = self._connection.close

    def call(self, account: str, key: str, path: str, forged: bool) -> int:
        """Send a request with a new attempt ID; return the status, 0 without one."""
        attempt = f"t{next(NUMBERS)}"
        path += attempt  # requests alike would be taken for one that crashes targets
        is_order = path.startswith("/orders/")
        method, body = ("POST", attempt.encode() * 50) if is_order else ("GET", b"")
        headers = {"Host": "shop.example", "X-Attempt-Id": attempt}
        headers |= {"X-Deadline-Ms": "2000"}
        headers |= {"Authorization": f"Token {key}"} if key else {}
        headers |= {"X-Tenant-Id": "steady"} if forged else {}
        sent, status, complete = time.monotonic(), 0, False
        try:
            self._connection.request(method, path, body, headers)
            response = self._connection.getresponse()
            data, status = response.read(), response.status
            expected = make_expected_body(method, path, attempt, body)
            complete = data == expected
            complete = complete and response.getheader("X-Attempt-Id") == attempt
        except (OSError, http.client.HTTPException):
            self.close()
        times = (sent, time.monotonic())
        record = (attempt, account, key, self._node, path, *times, status, complete)
        self._calls.append(CallRecord(*record))
        return status


def start_callers(site: SoakSite, stopped: Event, seed: int) -> list[Thread]:
    """Start the callers; they end after `stopped`."""

    def run(traffic: tuple, node: int, chance: random.Random) -> None:
        connection = Connection(site, node)
        account, key, rate, prefixes = traffic
        mean = NODES / rate
        next_at = time.monotonic() + chance.uniform(0, mean)
        while not stopped.wait(max(0.0, next_at - time.monotonic())):
            path, forged = chance.choice(prefixes), chance.random() < _FORGED_SHARE
            connection.call(account, key, path, forged)
            # A caller that was held up does not send what it missed.
            next_at = max(next_at, time.monotonic()) + mean * chance.uniform(0.5, 1.5)
        connection.close()

    threads = []
    for number, (traffic, node) in enumerate(itertools.product(_TRAFFIC, range(NODES))):
        arguments = (traffic, node, random.Random(seed * 1000 + number))
        threads.append(Thread(target=run, args=arguments, daemon=True))
        threads[-1].start()
    return threads
