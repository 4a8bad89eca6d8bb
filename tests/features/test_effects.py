"""Steps of effects.feature, with real nodes and target stand-ins."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

from harness import Cluster, run_in_parallel, wait_until
from pytest_bdd import scenarios, then, when

scenarios("effects.feature")


@when(
    "20 bookings are sent at once, each with its own ticket", target_fixture="responses"
)
def send_with_tickets(cluster: Cluster) -> list:
    def book(index: int):
        node = cluster.nodes[index % 3]
        ticket = cluster.call(node, "GET", "/booking/-/ticket").body.decode().strip()
        path = f"/bookings/{index}"
        response = cluster.call(
            node, "POST", f"/booking{path}", b"b", Idempotency_Key=ticket
        )
        return path, response

    return run_in_parallel(20, book)


@then('each booking with outcome "done" ran once and each with "not-run" never ran')
def check_outcomes(cluster: Cluster, responses: list) -> None:
    runs = cluster.targets[0].runs
    outcomes = {response.outcome for _, response in responses}
    assert outcomes == {"done", "not-run"}
    for path, response in responses:
        assert runs[path] == (1 if response.outcome == "done" else 0)


@when("the same booking is sent to every node at once", target_fixture="responses")
def send_same_booking(cluster: Cluster) -> list:
    return run_in_parallel(
        9, lambda index: send_booking(cluster, cluster.nodes[index % 3])
    )


def send_booking(cluster: Cluster, node):
    return cluster.call(
        node, "POST", "/booking/bookings/once", b"b", Idempotency_Key="same-key"
    )


@when(
    "the streams between nodes are closed while a booking runs",
    target_fixture="responses",
)
def close_streams(cluster: Cluster) -> list:
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(send_booking, cluster, cluster.nodes[2])
        target = cluster.targets[0]
        wait_until(lambda: sum(target.runs.values()) == 1, "the booking to run")
        cluster.nodes[2].peers.close()
        return [future.result()]


@then("it ran once and every response is the same")
def check_ran_once(cluster: Cluster, responses: list) -> None:
    assert sum(cluster.targets[0].runs.values()) == 1
    assert {
        (response.status, response.outcome, response.body) for response in responses
    } == {(200, "done", b"ok\n")}
