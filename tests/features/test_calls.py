"""Steps of the calls, on real nodes and stand-ins."""

from __future__ import annotations

import http.client
import socket
import threading

from harness import Cluster, at_once, credential, fetch, put_in_force, wait_until
from pytest_bdd import given, parsers, scenarios, then, when

from cyclamenvane.calls import CONTEXT_HEADER

scenarios("calls.feature")

CHAIN = ("first", "second", "third", "fourth")
EXTRA_ATTEMPTS = 2
UPLOAD_BYTES = 8_000_000


@given("a chain of four services whose last target fails every request")
def chain(cluster: Cluster) -> None:
    rules = "".join(
        f"[teams.desk.services.{name}]\nextra_attempts = {EXTRA_ATTEMPTS}\n"
        for name in CHAIN
    )
    put_in_force(cluster, "desk", rules)
    for index, name in enumerate(CHAIN):
        node = cluster.nodes[index % 3]
        following = CHAIN[index + 1 : index + 2]
        cluster.add_target(node, name, call_next=make_next(node, following))
        cluster.settle(name, 1)
    for name in CHAIN:
        spare = cluster.nodes[(CHAIN.index(name) + 1) % 3]
        following = CHAIN[CHAIN.index(name) + 1 :][:1]
        cluster.add_target(spare, name, call_next=make_next(spare, following))
        cluster.settle(name, 2)


def make_next(node, following):
    def call(headers: dict[str, str]) -> tuple[int, bytes]:
        if not following:
            return 503, b"failed\n"
        token = headers.get(CONTEXT_HEADER.lower(), "")
        reply = fetch(
            node.front_listener.address,
            "GET",
            f"/{following[0]}/x",
            headers={CONTEXT_HEADER: token},
        )
        return reply.status, reply.body

    return call


@when("a foreman asks the first service once", target_fixture="replies")
def ask_once(cluster: Cluster) -> list:
    return [cluster.call(cluster.nodes[0], "GET", "/first/x")]


@then("no service ran the request more often than its allowance permits")
def bounded(cluster: Cluster, replies: list) -> None:
    assert replies[0].status >= 500
    for index in range(len(CHAIN)):
        pair = (cluster.targets[index], cluster.targets[len(CHAIN) + index])
        runs = sum(sum(target.runs.values()) for target in pair)
        assert 1 <= runs <= 1 + EXTRA_ATTEMPTS


@when("6 crane crews and 30 foremen ask at once", target_fixture="replies")
def surge(cluster: Cluster) -> list:
    def ask(index: int):
        caller = "crane-crews" if index % 6 == 5 else "foremen"
        node = cluster.nodes[index % 3]
        return caller, cluster.call(node, "GET", f"/tracking/{index}", caller=caller)

    return at_once(36, ask)


@then("every crane crew is served before any refused foreman")
def crews_first(replies: list) -> None:
    statuses: dict[str, set[int]] = {"crane-crews": set(), "foremen": set()}
    for caller, reply in replies:
        statuses[caller].add(reply.status)
    assert 503 in statuses["foremen"], "there was no surge"
    assert statuses["crane-crews"] == {200}


@when("8 callers each ask 20 times with their own words", target_fixture="replies")
def ask_with_words(cluster: Cluster) -> list:
    def ask(index: int) -> list:
        node = cluster.nodes[index % 3]
        return [
            (f"{index}-{n}", cluster.call(node, "GET", f"/stock/echo/{index}-{n}").body)
            for n in range(20)
        ]

    return [pair for pairs in at_once(8, ask) for pair in pairs]


@then("each gets back exactly its own words")
def own_words(replies: list) -> None:
    assert len(replies) == 160
    assert all(body == f"/echo/{words}\n".encode() for words, body in replies)


@given('a "stock" target that breaks its answers off', target_fixture="broken")
def broken_target(cluster: Cluster):
    listening = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        while True:
            try:
                connection, _ = listening.accept()
            except OSError:
                return
            connection.recv(65536)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
            connection.close()

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    host, port = listening.getsockname()
    said = {"service": "stock", "address": f"{host}:{port}", "slots": 4}
    node = cluster.nodes[0]
    key = node.settings.keys.targets
    assert cluster.control(node, "POST", "/targets", said, key).status == 200
    cluster.settle("stock", 1)
    yield listening
    listening.close()


@when("a foreman asks it", target_fixture="replies")
def ask_broken(cluster: Cluster, broken) -> list:
    return [cluster.call(node, "GET", "/stock/x") for node in cluster.nodes]


@then("the answer is an error and no part of it is passed off as whole")
def whole_error(replies: list) -> None:
    for reply in replies:
        assert (reply.status, reply.reason) == (502, "target-failed")
        assert b"half" not in reply.body


@given(parsers.parse('a deadline of {deadline:d} ms for "{service}"'))
def shorter_deadline(cluster: Cluster, deadline: int, service: str) -> None:
    rules = f"[teams.{service}-team.services.{service}]\ndeadline_ms = {deadline}\n"
    put_in_force(cluster, f"{service}-team", rules, base=1)


@when(
    parsers.parse('a foreman asks "{service}" at node {entry:d}'),
    target_fixture="replies",
)
def ask_at(cluster: Cluster, service: str, entry: int) -> list:
    return [cluster.call(cluster.nodes[entry], "GET", f"/{service}/x")]


@then(parsers.parse('the answer is "{reason}"'))
def reason_is(replies: list, reason: str) -> None:
    assert [reply.reason for reply in replies] == [reason]


@when("a caller leaves while its request runs")
def leave_early(cluster: Cluster) -> None:
    for node in (cluster.nodes[2], cluster.nodes[0]):
        connection = http.client.HTTPConnection(*node.front_listener.address)
        headers = {"Authorization": f"Bearer {credential('foremen')}"}
        connection.request("GET", "/stock/x", headers=headers)
        gate = cluster.nodes[0].targets.find("stock").gate
        wait_until(lambda: gate.state().in_flight == 1, "the request to run")
        connection.close()
        wait_until(lambda: gate.state().in_flight == 0, "the slot to be free")


@then("the slot is free at once")
def slot_free(cluster: Cluster) -> None:
    wait_until(lambda: not cluster.nodes[0].execution.under_way, "the call to end")


@when(parsers.parse("a caller at node {entry:d} gives up a large answer half-way"))
def give_up_answer(cluster: Cluster, entry: int) -> None:
    node = cluster.nodes[entry]
    connection = http.client.HTTPConnection(*node.front_listener.address)
    headers = {"Authorization": f"Bearer {credential('foremen')}"}
    connection.request("GET", f"/vault/bytes/{10 * UPLOAD_BYTES}", headers=headers)
    response = connection.getresponse()
    assert response.status == 200 and response.read(1000)
    response.close()
    connection.close()
    gate = cluster.nodes[0].targets.find("vault").gate
    wait_until(lambda: gate.state().in_flight == 0, "the slot to be free")
    wait_until(lambda: not cluster.nodes[0].execution.under_way, "its call to end")


@when("4 uploads of 8 MB are sent at once", target_fixture="replies")
def upload(cluster: Cluster) -> list:
    body = b"p" * UPLOAD_BYTES

    def send(index: int):
        return cluster.call(cluster.nodes[index % 3], "POST", "/vault/photo", body)

    return at_once(4, send)


@then("all of them arrive whole")
def uploads_whole(cluster: Cluster, replies: list) -> None:
    assert [reply.status for reply in replies] == [200] * 4
    assert cluster.targets[0].received == 4 * UPLOAD_BYTES
