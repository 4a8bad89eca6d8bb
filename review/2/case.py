"""Servers shed requests, and now and then send a second copy of an answer late."""

from __future__ import annotations

import collections
import itertools
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    CannotRun,
    make_answer,
    make_body,
    make_request,
    make_route,
    read_answer,
    run_case,
)

TRAFFIC_S = 90.0
WORK_S = 0.015
SHED_SHARE, SHED_S, SHED_EACH_S = 0.55, 8.5, 9.0
SECOND_SHARE, SECOND_S, SECOND_EACH_S = 0.03, 5.0, 5.2
NUMBERS = itertools.count(1)


class Faulty:
    """A server's handling of requests while it is in trouble.

    It sheds part of the requests with an answer that says so, and does not run them. A
    second copy of an answer comes where the next answer on the connection is expected.
    """

    def __init__(self, server, record, started: float) -> None:
        self._server, self._record, self._started = server, record, started
        self._chance = random.Random(server.service)
        self._copies: dict = {}
        self.sent_copies = 0

    def handle(self, sock, request) -> bool:
        server = self._server
        copy = self._copies.pop(sock, None)
        if copy is not None:
            self.sent_copies += 1
            attempt, data = copy
            self._record.write(f"server {server.instance} answers {attempt} again")
            sock.sendall(data)
        if request.headers.get("x-expected-instance") != server.instance:
            sock.sendall(make_answer(request, b"", b"421 Misdirected Request"))
            return True
        if self._draw(SHED_SHARE, SHED_S, SHED_EACH_S):
            self._record.write(f"server {server.instance} sheds {request.attempt}")
            lines = b"X-Not-Executed: 1\r\n"
            data = make_answer(request, b"", b"503 Service Unavailable", lines)
        else:
            self._record.write(f"server {server.instance} runs {request.attempt}")
            server.runs.append((self._record.now(), request.attempt))
            time.sleep(WORK_S)
            data = make_answer(request, make_body(request.path))
        sock.sendall(data)
        if self._draw(SECOND_SHARE, SECOND_S, SECOND_EACH_S):
            self._copies[sock] = request.attempt, data
        return True

    def _draw(self, share: float, lasts: float, each: float) -> bool:
        passed = (time.monotonic() - self._started) % each
        return TROUBLE and passed < lasts and self._chance.random() < share


def play(deployment) -> int:
    record = deployment.record
    entry, vouchers = deployment.add_node("desk"), deployment.add_node("vouchers")
    deployment.configure(make_route("/grant/", "vouchers", "non_idempotent"))
    deployment.start()
    started = time.monotonic()
    faulty = Faulty(vouchers.server, record, started)
    vouchers.server.handle = faulty.handle
    statuses: dict[str, int] = {}
    while time.monotonic() < started + TRAFFIC_S:
        with entry.connect() as sock, sock.makefile("rb") as stream:
            sock.settimeout(8.0)
            while time.monotonic() < started + TRAFFIC_S:
                attempt = f"v{next(NUMBERS):05d}"
                path = f"/grant/{attempt}"
                sock.sendall(make_request(path, attempt, 5000, "POST", b"one"))
                record.write(f"client sends {attempt}")
                answer = read_answer(stream)
                statuses[attempt] = answer.status if answer else 0
                record.write(f"client gets {statuses[attempt]} for {attempt}")
                if answer is None or answer.closes():
                    break
    time.sleep(0.5)
    if sum(status == 200 for status in statuses.values()) < 100:
        raise CannotRun("too few requests were answered")
    runs = collections.Counter(attempt for _, attempt in vouchers.server.runs)
    twice = [attempt for attempt, count in runs.items() if count > 1]
    refused = [
        attempt
        for attempt, status in statuses.items()
        if status in (408, 421, 429, 503) and runs[attempt]
    ]
    record.write(f"run more than once: {' '.join(twice)}")
    record.write(f"answered as not run and yet run: {' '.join(refused)}")
    summary = (
        f"sent {len(statuses)}, second copies {faulty.sent_copies}, run more than once "
        f"{len(twice)}, answered as not run and yet run {len(refused)}"
    )
    record.write(summary)
    print(summary)
    return BROKEN if twice else HELD


sys.exit(run_case(Path(__file__).resolve().parent, play))
