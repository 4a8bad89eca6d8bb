"""Steps of the promises, on real nodes and stand-ins."""

from __future__ import annotations

import http.client
import socket
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest
from conftest import ManualClock
from harness import Cluster, credential, fetch, leave, wait_until
from platform_faults import FaultyPlatform
from pytest_bdd import given, parsers, scenarios, then, when

from cyclamenvane.calls import CONTEXT_HEADER
from cyclamenvane.policy import Section

scenarios("promises.feature")

CHAIN = ("first", "second", "third", "fourth")
EXTRA_ATTEMPTS = 2
UPLOAD_BYTES = 8_000_000


def at_once(count: int, work) -> list:
    with ThreadPoolExecutor(count) as pool:
        return list(pool.map(work, range(count)))


def accept(cluster: Cluster, team: str, text: str, base: int = 0) -> None:
    assert cluster.accept(cluster.nodes[0], team, text, base).status == 200
    wait_in_force(cluster, team, base + 1)


def wait_in_force(cluster: Cluster, team: str, version: int) -> None:
    wait_until(
        lambda: all(n.sections.versions().get(team) == version for n in cluster.nodes),
        "the section to be in force everywhere",
    )


@given(parsers.parse('a desk with nodes in the zones "{a}", "{b}" and "{c}"'))
def desk(cluster: Cluster, a: str, b: str, c: str) -> None:
    cluster.platform = FaultyPlatform(ManualClock())
    for zone in (a, b, c):
        cluster.add_node(zone)
    cluster.settle()


@given("a chain of four services whose last target fails every request")
def chain(cluster: Cluster) -> None:
    rules = "".join(
        f"[teams.desk.services.{name}]\nextra_attempts = {EXTRA_ATTEMPTS}\n"
        for name in CHAIN
    )
    accept(cluster, "desk", rules)
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


@given(parsers.parse('a "{service}" target with {slots:d} slot that takes {delay:g} s'))
@given(
    parsers.parse('a "{service}" target with {slots:d} slots that takes {delay:g} s')
)
def one_target(cluster: Cluster, service: str, slots: int, delay: float) -> None:
    rules = f"""\
[teams.{service}-team]
[teams.{service}-team.services.{service}]
deadline_ms = 10000
body_limit_kb = 16384
non_idempotent = ["POST /bookings/*"]
[[teams.{service}-team.services.{service}.importance]]
callers = ["crane-crews"]
level = "critical"
[[teams.{service}-team.services.{service}.importance]]
callers = ["foremen"]
level = "low"
"""
    accept(cluster, f"{service}-team", rules)
    cluster.add_target(cluster.nodes[0], service, slots=slots, delay_s=delay)
    cluster.settle(service, 1)


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


@given('two "stock" targets')
def two_targets(cluster: Cluster) -> None:
    accept(cluster, "desk", "[teams.desk.services.stock]\n")
    for node in cluster.nodes[:2]:
        cluster.add_target(node, "stock")
    cluster.settle("stock", 2)


@when("the first announces that it is leaving")
def announce_leaving(cluster: Cluster) -> None:
    cluster.announce(cluster.nodes[0], "stock", cluster.targets[0], leaving=True)


@when("the document marks the first as leaving")
def mark_leaving(cluster: Cluster) -> None:
    address = cluster.targets[0].address
    text = f'[teams.desk.services.stock]\nleaving = ["{address}"]\n'
    reply = cluster.accept(cluster.nodes[0], "desk", text, base=1)
    assert reply.status == 200


@then("it gets no new work and every request is served by the second")
def no_new_work(cluster: Cluster) -> None:
    # Some nodes have not heard yet: their calls cross the news, are refused as
    # not run and sent elsewhere.
    for index in range(12):
        reply = cluster.call(cluster.nodes[index % 3], "GET", f"/stock/{index}")
        assert reply.status == 200
    assert not cluster.targets[0].runs
    assert sum(cluster.targets[1].runs.values()) == 12


@when("its node is shut down while 6 requests are in flight", target_fixture="replies")
def shut_down(cluster: Cluster) -> list:
    with ThreadPoolExecutor(7) as pool:
        sending = [
            pool.submit(cluster.call, cluster.nodes[2], "GET", f"/stock/echo/{n}")
            for n in range(6)
        ]
        target = cluster.targets[0]
        wait_until(lambda: sum(target.runs.values()) == 6, "the requests to run")
        assert pool.submit(leave, cluster.nodes[0]).result()
        return [each.result() for each in sending]


@then("all 6 are answered whole")
def all_answered(replies: list) -> None:
    assert sorted(reply.body for reply in replies) == [
        f"/echo/{n}\n".encode() for n in range(6)
    ]


@when("the section of a team is accepted, then an older copy is heard again")
def accept_twice(cluster: Cluster, clock) -> None:
    accept(cluster, "desk", "[teams.desk]\n")
    older = cluster.nodes[0].sections.get("desk")
    accept(cluster, "desk", '[teams.desk]\nowner = "desk"\n', base=1)
    for node in cluster.nodes:
        node.spread.accept(older)
        node.spread.accept(Section("desk", 1, "", "stale", "x", clock.now()))


@then("the newer version is in force at every node")
def newer_in_force(cluster: Cluster) -> None:
    for node in cluster.nodes:
        assert node.sections.get("desk").version == 2
        assert 'owner = "desk"' in node.sections.get("desk").text


@given("a section that is accepted and in force")
def accepted_section(cluster: Cluster) -> None:
    accept(cluster, "desk", "[teams.desk.services.stock]\n")


@when("the platform goes down and another node starts")
def start_in_outage(cluster: Cluster) -> None:
    cluster.platform.down = True
    cluster.add_node("amman-2")


@then("the new node holds the section and serves")
def holds_section(cluster: Cluster) -> None:
    node = cluster.nodes[-1]
    assert node.sections.versions() == {"desk": 1}
    cluster.add_target(cluster.nodes[0], "stock")
    cluster.settle("stock", 1)
    assert cluster.call(node, "GET", "/stock/x").status == 200


@given(parsers.parse('a deadline of {deadline:d} ms for "{service}"'))
def shorter_deadline(cluster: Cluster, deadline: int, service: str) -> None:
    rules = f"[teams.{service}-team.services.{service}]\ndeadline_ms = {deadline}\n"
    accept(cluster, f"{service}-team", rules, base=1)


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


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()
