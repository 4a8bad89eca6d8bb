"""All servers of a small service crash and come back; their requests stay refused."""

import sys
import threading
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import stand_ins as site_of  # noqa: E402

CRASH_GAP_S, DOWN_S = 0.2, 4.5  # of three `srv_crash` of one server each
WORK_S = 0.8  # `events-calendar`: 0.47 s on average, up to 5 s
STABLE_WINDOW_S = 3.0
STEADY_S = 30.0
CALLERS, PAUSE_S = 6, 0.4
MIN_REQUESTS = 20


def show(server, request, reader, sock):
    time.sleep(WORK_S if server.node.service == "events" else 0.02)
    return 200, {}, b"page"


def play(record) -> bool:
    first = site_of.make_route("look", "stock", "/look/", timeoutS=5)
    added = site_of.make_route(
        "events-calendar", "events", "/events/", timeoutS=6, targetLatencyS=2.0,
        maxAttempts=3,
    )
    nodes = [("a", "events"), ("b", "events"), ("c", "events")]
    nodes += [("a", "stock"), ("b", "stock"), ("c", "stock")]
    with site_of.Site(record, nodes, [first]) as site:
        site.start()
        servers = [site.serve(n, f"i-{i}", show) for i, n in enumerate(site.nodes)]
        time.sleep(4)
        site.configure([first, added])
        time.sleep(4)
        results: list[tuple[float, str, int]] = []
        ends = [float("inf")]

        def call(number: int) -> None:
            path = "/look/list" if number % 2 else "/events/list"
            node = site.nodes[3 + number // 2]
            client = site_of.Client(site, node, f"c{number}x")
            while record.now() < ends[0]:
                _, answer = client.ask("GET", path, 5.0)
                served = answer.status == 200 and answer.complete
                results.append((answer.sent, path, served))
                time.sleep(PAUSE_S)

        tasks = [threading.Thread(target=call, args=(n,)) for n in range(CALLERS)]
        for task in tasks:
            task.start()
        time.sleep(4)
        crashed = servers[:3] if site_of.trouble() else []
        for server in crashed:
            server.crash()
            time.sleep(CRASH_GAP_S)
        time.sleep(DOWN_S)
        for server in crashed:
            site.serve(server.node, f"{server.instance}n", show)
        record.write("all servers are up")
        steady = record.now() + STABLE_WINDOW_S
        ends[0] = steady + STEADY_S
        for task in tasks:
            task.join()
        sent, served = Counter(), Counter()
        for at, path, is_served in results:
            if at >= steady:
                sent[path] += 1
                served[path] += is_served
        shares = {path: served[path] / sent[path] for path in sent}
        for path in sent:
            record.write(path, "served", served[path], "of", sent[path])
        if min(sent.values()) < MIN_REQUESTS:
            raise RuntimeError("too few requests")
        return shares["/events/list"] >= shares["/look/list"] / 4


site_of.run(play, FOLDER)
