"""A server restarts under its id after its clock has jumped back, and later drains."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import stand_ins as site_of  # noqa: E402

JUMP_MS = 2400  # the largest of `clock_step` in the site files
UP_S, DOWN_S = 0.8, 0.8  # of the first start, and until the second one
DRAIN_TIMEOUT_S = 2.0
STAY_S = 5.0  # that the server goes on after the acknowledgement
CALLS_PER_S = 10


def look(server, request, reader, sock):
    time.sleep(0.02)
    return 200, {}, b"seen"


def play(record) -> bool:
    routes = [site_of.make_route("look", "stock", "/look/", timeoutS=5)]
    nodes = [("a", "stock"), ("b", "stock"), ("a", "desk")]
    with site_of.Site(record, nodes, routes) as site:
        site.start()
        near, far, desk = site.nodes
        site.serve(far, "i-far", look)
        # The time of day of the VM is ahead by JUMP_MS when the server starts, and
        # jumps back before it starts again.
        ahead = JUMP_MS if site_of.trouble() else 0
        first = site.serve(near, "i-near", look, int(time.time() * 1000) + ahead)
        time.sleep(UP_S)
        first.crash()
        time.sleep(DOWN_S)
        again = site.serve(near, "i-near", look, int(time.time() * 1000))
        record.write("born", first.born, "and", again.born)
        time.sleep(7)  # calm for longer than stableWindowS
        until = [float("inf")]

        def call(number: int) -> None:
            client = site_of.Client(site, (desk, near)[number], f"l{number}x")
            while record.now() < until[0]:
                client.ask("GET", "/look/1", 2.0)
                time.sleep(1 / CALLS_PER_S)

        tasks = [threading.Thread(target=call, args=(n,)) for n in range(2)]
        for task in tasks:
            task.start()
        time.sleep(1)
        acknowledged = again.drain()
        if acknowledged is None:
            until[0] = 0.0
            raise RuntimeError("the server's leaving was not acknowledged")
        until[0] = acknowledged + DRAIN_TIMEOUT_S + STAY_S
        for task in tasks:
            task.join()
        late = [run for run in again.runs if run[0] > acknowledged + DRAIN_TIMEOUT_S]
        for at, attempt, _ in late[:5]:
            record.write("LATE", attempt, f"{at - acknowledged:.2f} s after it")
        record.write(f"{len(late)} requests reached the server too late")
        return not late


site_of.run(play, FOLDER)
