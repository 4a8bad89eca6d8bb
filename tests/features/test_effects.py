"""Steps of the bookings, on real nodes and stand-ins."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

from harness import Cluster, at_once, wait_until
from pytest_bdd import scenarios, then, when

scenarios("effects.feature")


@when(
    "20 bookings are sent at once, each with its own ticket", target_fixture="replies"
)
def ticketed(cluster: Cluster) -> list:
    def book(index: int):
        node = cluster.nodes[index % 3]
        ticket = cluster.call(node, "GET", "/booking/-/ticket").body.decode().strip()
        path = f"/bookings/{index}"
        reply = cluster.call(
            node, "POST", f"/booking{path}", b"b", Idempotency_Key=ticket
        )
        return path, reply

    return at_once(20, book)


@then('each booking told "done" ran once and each told "not-run" never ran')
def truthful(cluster: Cluster, replies: list) -> None:
    runs = cluster.targets[0].runs
    outcomes = {reply.outcome for _, reply in replies}
    assert outcomes == {"done", "not-run"}
    for path, reply in replies:
        assert runs[path] == (1 if reply.outcome == "done" else 0)


@when("the same booking is sent at every node at once", target_fixture="replies")
def same_booking(cluster: Cluster) -> list:
    return at_once(9, lambda index: book_once(cluster, cluster.nodes[index % 3]))


def book_once(cluster: Cluster, node):
    return cluster.call(
        node, "POST", "/booking/bookings/once", b"b", Idempotency_Key="same-key"
    )


@when(
    "the streams between nodes are cut while a booking runs", target_fixture="replies"
)
def cut_streams(cluster: Cluster) -> list:
    with ThreadPoolExecutor(1) as pool:
        sending = pool.submit(book_once, cluster, cluster.nodes[2])
        target = cluster.targets[0]
        wait_until(lambda: sum(target.runs.values()) == 1, "the booking to run")
        cluster.nodes[2].peers.close()
        return [sending.result()]


@then("it ran once and every answer is the same")
def ran_once(cluster: Cluster, replies: list) -> None:
    assert sum(cluster.targets[0].runs.values()) == 1
    assert {(reply.status, reply.outcome, reply.body) for reply in replies} == {
        (200, "done", b"ok\n")
    }
