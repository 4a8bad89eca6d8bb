"""Bookings under injected faults: `python -m bench.faults --json`.

Runs three nodes on loopback, two of them with a booking target, under a steady
load of bookings. Half of the bookings carry a ticket, half a key that the caller
chose. One after the other, the platform loses responses and is down for 20 s, a node
is killed and replaced, a node is paused, sections are accepted, a target leaves,
and a node shuts down gracefully. Prints one JSON line.
"""

from __future__ import annotations

import http.client
import json
import random
import signal
import threading
import time
import uuid
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from .cluster import HOST, NodeProcess, ProcessCluster, TargetProcess, make_credential

SERVICE = "booking"
BOOKINGS_PER_S = 40.0
THREADS = 64
TARGET_DELAY_S = 0.02
SLOTS = 16
RESENDS = 4
OUTAGE_S = 20.0
PAUSE_S = 4.0
SECTIONS_ACCEPTED = 5
TIMEOUT_S = 6.0
SECTION = """\
[teams.desk.services.booking]
non_idempotent = ["POST /echo/*"]
deadline_ms = 4000
resends = 20
"""


@dataclass
class Booking:
    """One booking and the outcomes that its caller received."""

    name: str
    has_ticket: bool
    sent_at: float
    outcomes: list[str] = field(default_factory=list)
    succeeded: bool = False
    mismatched: bool = False


class BookingLoad:
    """Sends bookings at a steady mean rate; resends those of unknown outcome."""

    def __init__(self, entries: list[NodeProcess]) -> None:
        self.entries = entries
        self.bookings: list[Booking] = []
        self._stopped = threading.Event()
        self._pool = ThreadPoolExecutor(THREADS)
        self._thread = threading.Thread(target=self._run)

    def start(self) -> None:
        """Start sending bookings."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sending and wait until the bookings in flight end."""
        self._stopped.set()
        self._thread.join()
        self._pool.shutdown(wait=True)

    def _run(self) -> None:
        number = 0
        while not self._stopped.wait(random.expovariate(BOOKINGS_PER_S)):
            number += 1
            name = f"b{number}-{uuid.uuid4().hex[:8]}"
            booking = Booking(name, number % 2 == 0, time.monotonic())
            self.bookings.append(booking)
            self._pool.submit(self._run_booking, booking)

    def _run_booking(self, booking: Booking) -> None:
        key = self._fetch_ticket() if booking.has_ticket else f"key-{booking.name}"
        if not key:
            booking.outcomes.append("no-ticket")
            return
        for _ in range(1 + RESENDS):
            outcome, status, body = self._send(booking, key)
            booking.outcomes.append(outcome)
            if outcome == "done":
                booking.succeeded = status == 200
                booking.mismatched = body != f"/echo/{booking.name}\nb".encode()
                return
            if outcome == "not-run":
                return
            time.sleep(0.2)

    def _fetch_ticket(self) -> str:
        for _ in range(3):
            response = request(
                random.choice(self.entries), "GET", "/booking/-/ticket", ""
            )
            if response[1] == 200:
                return response[2].decode().strip()
            time.sleep(0.2)
        return ""

    def _send(self, booking: Booking, key: str) -> tuple[str, int, bytes]:
        entry = random.choice(self.entries)
        return request(entry, "POST", f"/booking/echo/{booking.name}", key)


def request(
    node: NodeProcess, method: str, path: str, key: str
) -> tuple[str, int, bytes]:
    """Send a request to the front of a node; return its outcome, status and body.

    A failed connection gives the outcome "unknown" and status 0.
    """
    connection = http.client.HTTPConnection(HOST, node.front_port, timeout=TIMEOUT_S)
    headers = {"Authorization": f"Bearer {make_credential('applicants')}"}
    if key:
        headers["Idempotency-Key"] = key
    try:
        connection.request(method, path, b"b" if method == "POST" else None, headers)
        response = connection.getresponse()
        outcome = response.getheader("Cyclamenvane-Outcome", "unknown")
        return outcome, response.status, response.read()
    except (OSError, http.client.HTTPException):
        return "unknown", 0, b""
    finally:
        connection.close()


def share_succeeded(bookings: list[Booking], start: float, end: float) -> float:
    """Return the share of bookings sent from start until end that succeeded."""
    sent = [each for each in bookings if start <= each.sent_at < end]
    return round(sum(each.succeeded for each in sent) / max(1, len(sent)), 3)


def time_acceptance(cluster: ProcessCluster) -> tuple[float, int]:
    """Accept sections; return the longest time until one is in force everywhere.

    The time is in seconds. Also returns how often a node lost a section again.
    """
    longest, reverts = 0.0, 0
    for number in range(SECTIONS_ACCEPTED):
        began = time.monotonic()
        cluster.accept(f"team-{number}", f"[teams.team-{number}]\n")
        seen: set[int] = set()
        while len(seen) < len(cluster.nodes):
            for node in cluster.nodes:
                version = read_versions(node).get(f"team-{number}", 0)
                if version:
                    seen.add(node.stream_port)
                elif node.stream_port in seen:
                    reverts += 1
            time.sleep(0.005)
        longest = max(longest, time.monotonic() - began)
    return round(longest, 3), reverts


def read_versions(node: NodeProcess) -> dict[str, int]:
    """Return the version of each team's section in force at a node."""
    _, status = node.request_control("GET", "/status")
    return {each["team"]: each["version"] for each in status["sections"]}


def time_leaving(
    cluster: ProcessCluster, node: NodeProcess, target: TargetProcess
) -> float:
    """Announce a target as leaving; return the seconds until its last new request."""
    began = time.monotonic()
    cluster.announce(node, SERVICE, target, leaving=True)
    last, runs = 0.0, target.send_command("count")["runs"]
    while time.monotonic() - began < 4.0:
        now = target.send_command("count")["runs"]
        if now != runs:
            last, runs = time.monotonic() - began, now
        time.sleep(0.01)
    return round(last, 3)


def main() -> None:
    """Inject every fault and print the results."""
    with ProcessCluster() as cluster:
        first, second, third = (cluster.add_node(zone) for zone in ("z1", "z2", "z3"))
        first_target = cluster.add_target(first, SERVICE, SLOTS, TARGET_DELAY_S)
        second_target = cluster.add_target(second, SERVICE, SLOTS, TARGET_DELAY_S)
        cluster.accept("desk", SECTION)
        cluster.wait_until_settled()
        entries = [first, third]
        load = BookingLoad(entries)
        load.start()
        platform, table = cluster.platform, cluster.platform.platform.table
        time.sleep(2)
        writes = table.writes + platform.platform.objects.writes
        baseline_start = time.monotonic()
        time.sleep(6)
        baseline_end = time.monotonic()
        writes = table.writes + platform.platform.objects.writes - writes
        baseline = [
            b for b in load.bookings if baseline_start <= b.sent_at < baseline_end
        ]
        platform.lose_responses = 20
        time.sleep(2)
        platform.down = True
        outage_start = time.monotonic()
        time.sleep(OUTAGE_S)
        platform.down = False
        outage_end = time.monotonic()
        time.sleep(2)
        second.process.send_signal(signal.SIGKILL)
        cluster.nodes.remove(second)
        replacement = cluster.add_node("z2")
        cluster.announce(replacement, SERVICE, second_target)
        time.sleep(4)
        first.process.send_signal(signal.SIGSTOP)
        time.sleep(PAUSE_S)
        first.process.send_signal(signal.SIGCONT)
        time.sleep(3)
        in_force_s, reverts = time_acceptance(cluster)
        leave_s = time_leaving(cluster, first, first_target)
        cluster.announce(first, SERVICE, first_target, leaving=False)
        time.sleep(1)
        shutdown_start = time.monotonic()
        replacement.process.send_signal(signal.SIGTERM)
        clean_end = replacement.process.wait(timeout=70) == 0
        shutdown_end = time.monotonic()
        time.sleep(1)
        load.stop()
        runs: Counter[str] = Counter()
        for target in (first_target, second_target):
            runs.update(target.send_command("paths")["paths"])
    bookings = load.bookings
    with_tickets = [each for each in bookings if each.has_ticket]
    with_keys = [each for each in bookings if not each.has_ticket]
    during_shutdown = [
        each for each in bookings if shutdown_start <= each.sent_at < shutdown_end
    ]
    last_outcomes = Counter(
        outcome for each in bookings for outcome in each.outcomes[-1:]
    )
    result = {
        "bookings": len(bookings),
        "told": dict(last_outcomes),
        "double_effects": sum(count > 1 for count in runs.values()),
        "false_not_run": sum(
            "not-run" in each.outcomes and runs[f"/echo/{each.name}"] > 0
            for each in bookings
        ),
        "cross_answers": sum(each.mismatched for each in bookings),
        "cut_in_flight": sum(
            each.outcomes[-1:] == ["unknown"] for each in during_shutdown
        ),
        "clean_end": clean_end,
        "leave_s": leave_s,
        "in_force_s": in_force_s,
        "reverts": reverts,
        "store_writes_per_booking": round(writes / max(1, len(baseline)), 2),
        "availability_store_down": share_succeeded(bookings, outage_start, outage_end),
        "availability_tickets": share_succeeded(with_tickets, outage_start, outage_end),
        "availability_chosen_keys": share_succeeded(
            with_keys, outage_start, outage_end
        ),
        "availability_overall": share_succeeded(bookings, 0, time.monotonic()),
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
