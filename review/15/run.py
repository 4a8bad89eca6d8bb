"""The node that follows the store for its zone is partitioned from the store."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import stand_ins as site_of  # noqa: E402

ROUNDS = 2
CUT_S = 5.5  # of `core_cut`, count 1
CALM_S = 11.0  # between the rounds, in which the node takes over again
CHANGE_S = 0.1  # from the begin of a cut to a change of the configuration
ASK_S = 5.0  # within which the node calls the store again
CONFIG_APPLY_S = 2.0
PAUSE_S = 0.25  # between the requests of a caller
# As in one zone of wrwh-mesh, in the order of the nodes' numbers.
SERVICES = ("stock", "book", "stock", "book", "vault", "stock", "fleet")


def look(server, request, reader, sock):
    time.sleep(0.01)
    return 200, {}, server.node.service.encode()


def wait_for_call(store, node: str) -> None:
    """Wait until a node has just asked the store for a newer configuration."""
    key = node, "op"
    before = store.asked_at.get(key)
    if not site_of.wait_until(lambda: store.asked_at.get(key) != before, ASK_S):
        raise RuntimeError(f"{node} does not follow the configuration")


def play(record) -> bool:
    def make_routes(service: str) -> list[dict]:
        return [
            site_of.make_route("look", service, "/look/"),
            site_of.make_route("book", "book", "/book/"),
            site_of.make_route("vault", "vault", "/vault/"),
            site_of.make_route("fleet", "fleet", "/fleet/"),
        ]

    nodes = [("a", service) for service in SERVICES]
    nodes += [("b", "stock"), ("b", "book"), ("b", "vault")]
    with site_of.Site(record, nodes, make_routes("stock")) as site:
        site.start()
        for number, node in enumerate(site.nodes):
            site.serve(node, f"i-{number}", look)
        time.sleep(10)  # the calls from the start of the nodes have ended
        answers: list[tuple[float, str, str]] = []
        ends = [float("inf")]

        def call(node) -> None:
            client = site_of.Client(site, node, node.name.replace("-", "") + "x")
            while record.now() < ends[0]:
                _, answer = client.ask("GET", "/look/1", 1.0)
                answers.append((answer.sent, node.name, answer.body.decode()))
                time.sleep(PAUSE_S)

        zone = [node for node in site.nodes if node.zone == "a"]
        callers = [node for node in zone if node.service in ("stock", "book")]
        tasks = [threading.Thread(target=call, args=(node,)) for node in callers]
        for task in tasks:
            task.start()
        changes: list[tuple[float, str, list[str]]] = []
        names = {node.name for node in zone}
        entries = {node.name for node in callers}
        for number in range(ROUNDS):
            time.sleep(1)
            cut: list[str] = []
            if site_of.trouble():
                # Of the zone, the one that follows all of the store's tables; if there
                # are several, one that no caller uses.
                readers = site.store.readers("cyclamenvane-nodes") & names
                cut = sorted(readers, key=lambda name: (name in entries, name))[:1]
                wait_for_call(site.store, cut[0])
                record.write("cut from the store:", *cut)
                site.store.cut.update(cut)
            time.sleep(CHANGE_S)
            service = ("book", "stock")[number % 2]
            site.configure(make_routes(service))
            changes.append((record.now(), service, cut))
            time.sleep(CUT_S - CHANGE_S)
            site.store.cut.clear()
            time.sleep(CALM_S)
        ends[0] = record.now()
        for task in tasks:
            task.join()
        late = 0
        for at, service, cut in changes:
            stale = [
                sent - at
                for sent, entry, by in answers
                if at + CONFIG_APPLY_S < sent < at + CUT_S + 1
                and by not in ("", service)
                and entry not in cut
            ]
            last = max(stale, default=0.0)
            record.write(f"{len(stale)} requests stale, the last {last:.2f} s after it")
            late += len(stale)
        return not late


site_of.run(play, FOLDER)
