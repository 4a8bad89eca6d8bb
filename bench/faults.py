"""Bookings while things fail: `python -m bench.faults --json`.

Real nodes on loopback, two of them before booking targets, under a steady load
of bookings. Half of the bookings carry a ticket, half a key that the caller
chose. In turn: the platform loses answers, is down for 20 s, a node is killed
and replaced, a node is paused, a target leaves, a node ends in good order, and
sections are accepted. Prints one JSON line.
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

from .field import HOST, Field, NodeProcess, TargetProcess, make_credential

SERVICE = "booking"
RATE = 40.0
WORKERS = 64
DELAY_S = 0.02
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
    """One booking and what its caller was told."""

    name: str
    ticketed: bool
    at: float
    told: list[str] = field(default_factory=list)
    served: bool = False
    crossed: bool = False


class Callers:
    """Sends bookings at a steady rate until told to stop."""

    def __init__(self, entries: list[NodeProcess]) -> None:
        self.entries = entries
        self.bookings: list[Booking] = []
        self._stopped = threading.Event()
        self._pool = ThreadPoolExecutor(WORKERS)
        self._thread = threading.Thread(target=self._run)

    def start(self) -> None:
        """Start sending."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sending and wait for what is under way."""
        self._stopped.set()
        self._thread.join()
        self._pool.shutdown(wait=True)

    def _run(self) -> None:
        number = 0
        while not self._stopped.wait(random.expovariate(RATE)):
            number += 1
            name = f"b{number}-{uuid.uuid4().hex[:8]}"
            booking = Booking(name, number % 2 == 0, time.monotonic())
            self.bookings.append(booking)
            self._pool.submit(self._serve, booking)

    def _serve(self, booking: Booking) -> None:
        key = self._take_ticket() if booking.ticketed else f"key-{booking.name}"
        if not key:
            booking.told.append("no-ticket")
            return
        for _ in range(1 + RESENDS):
            outcome, status, body = self._send(booking, key)
            booking.told.append(outcome)
            if outcome == "done":
                booking.served = status == 200
                booking.crossed = body != f"/echo/{booking.name}\nb".encode()
                return
            if outcome == "not-run":
                return
            time.sleep(0.2)

    def _take_ticket(self) -> str:
        for _ in range(3):
            told = request(random.choice(self.entries), "GET", "/booking/-/ticket", "")
            if told[1] == 200:
                return told[2].decode().strip()
            time.sleep(0.2)
        return ""

    def _send(self, booking: Booking, key: str) -> tuple[str, int, bytes]:
        entry = random.choice(self.entries)
        return request(entry, "POST", f"/booking/echo/{booking.name}", key)


def request(
    node: NodeProcess, method: str, path: str, key: str
) -> tuple[str, int, bytes]:
    """Return outcome, status and body of one request at a node's front."""
    connection = http.client.HTTPConnection(HOST, node.front, timeout=TIMEOUT_S)
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


def share_served(bookings: list[Booking], begin: float, end: float) -> float:
    """Return the share of the bookings of a time that were served."""
    found = [each for each in bookings if begin <= each.at < end]
    return round(sum(each.served for each in found) / max(1, len(found)), 3)


def time_acceptance(started: Field) -> tuple[float, int]:
    """Accept sections; return the longest time until in force, and reverts."""
    longest, reverts = 0.0, 0
    for number in range(SECTIONS_ACCEPTED):
        began = time.monotonic()
        started.accept(f"team-{number}", f"[teams.team-{number}]\n")
        seen: set[int] = set()
        while len(seen) < len(started.nodes):
            for node in started.nodes:
                held = read_versions(node).get(f"team-{number}", 0)
                if held:
                    seen.add(node.stream)
                elif node.stream in seen:
                    reverts += 1
            time.sleep(0.005)
        longest = max(longest, time.monotonic() - began)
    return round(longest, 3), reverts


def read_versions(node: NodeProcess) -> dict[str, int]:
    """Return the versions in force at a node."""
    _, told = node.ask("GET", "/status")
    return {each["team"]: each["version"] for each in told["sections"]}


def time_leaving(started: Field, node: NodeProcess, target: TargetProcess) -> float:
    """Announce a departure; return the time until the last new work came."""
    began = time.monotonic()
    started.announce(node, SERVICE, target, leaving=True)
    last, runs = 0.0, target.tell("count")["runs"]
    while time.monotonic() - began < 4.0:
        now = target.tell("count")["runs"]
        if now != runs:
            last, runs = time.monotonic() - began, now
        time.sleep(0.01)
    return round(last, 3)


def main() -> None:
    """Run every fault and print the figures."""
    with Field() as started:
        first, second, third = (started.add_node(zone) for zone in ("z1", "z2", "z3"))
        one = started.add_target(first, SERVICE, SLOTS, DELAY_S)
        two = started.add_target(second, SERVICE, SLOTS, DELAY_S)
        started.accept("desk", SECTION)
        started.settle()
        entries = [first, third]
        callers = Callers(entries)
        callers.start()
        platform, table = started.platform, started.platform.platform.table
        time.sleep(2)
        writes = table.writes + platform.platform.objects.writes
        quiet_from = time.monotonic()
        time.sleep(6)
        quiet_to = time.monotonic()
        writes = table.writes + platform.platform.objects.writes - writes
        served = [b for b in callers.bookings if quiet_from <= b.at < quiet_to]
        platform.lose_answers = 20
        time.sleep(2)
        platform.down = True
        outage_from = time.monotonic()
        time.sleep(OUTAGE_S)
        platform.down = False
        outage_to = time.monotonic()
        time.sleep(2)
        second.process.send_signal(signal.SIGKILL)
        started.nodes.remove(second)
        replaced = started.add_node("z2")
        started.announce(replaced, SERVICE, two)
        time.sleep(4)
        first.process.send_signal(signal.SIGSTOP)
        time.sleep(PAUSE_S)
        first.process.send_signal(signal.SIGCONT)
        time.sleep(3)
        in_force_s, reverts = time_acceptance(started)
        leave_s = time_leaving(started, first, one)
        started.announce(first, SERVICE, one, leaving=False)
        time.sleep(1)
        ending_from = time.monotonic()
        replaced.process.send_signal(signal.SIGTERM)
        clean = replaced.process.wait(timeout=70) == 0
        ending_to = time.monotonic()
        time.sleep(1)
        callers.stop()
        runs: Counter[str] = Counter()
        for target in (one, two):
            runs.update(target.tell("paths")["paths"])
    bookings = callers.bookings
    tickets = [each for each in bookings if each.ticketed]
    chosen = [each for each in bookings if not each.ticketed]
    ending = [each for each in bookings if ending_from <= each.at < ending_to]
    told = Counter(outcome for each in bookings for outcome in each.told[-1:])
    result = {
        "bookings": len(bookings),
        "told": dict(told),
        "double_effects": sum(count > 1 for count in runs.values()),
        "false_not_run": sum(
            "not-run" in each.told and runs[f"/echo/{each.name}"] > 0
            for each in bookings
        ),
        "cross_answers": sum(each.crossed for each in bookings),
        "cut_in_flight": sum(each.told[-1:] == ["unknown"] for each in ending),
        "clean_end": clean,
        "leave_s": leave_s,
        "in_force_s": in_force_s,
        "reverts": reverts,
        "store_writes_per_booking": round(writes / max(1, len(served)), 2),
        "availability_store_down": share_served(bookings, outage_from, outage_to),
        "availability_tickets": share_served(tickets, outage_from, outage_to),
        "availability_chosen_keys": share_served(chosen, outage_from, outage_to),
        "availability_overall": share_served(bookings, 0, time.monotonic()),
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
