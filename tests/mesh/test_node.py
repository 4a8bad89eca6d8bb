"""Calls through real nodes: complete responses, correct refusals, no repeated run."""

from __future__ import annotations

import http.client
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from mesh_harness import POST, make_request, route, wait_until
from target_standin import make_response


def test_a_call_is_forwarded_to_another_node(pair):
    entry, remote = pair
    response = entry.call("/items/1?x=2", Cookie="c", X_Caller_Service="forged")
    assert (response.status, response.body) == (200, b"whole")
    assert response.headers["x-upstream-signature"] == "s-a1"
    (request,) = remote.target.executed
    assert request.target == b"/items/1?x=2"
    headers = dict(request.headers)
    assert headers[b"x-caller-service"] == b"desk"
    assert headers[b"cookie"] == b"c"
    assert 4000 < int(headers[b"x-deadline-ms"]) <= 5000


def test_pipelined_requests_are_answered_in_order_and_run_concurrently(pair):
    entry, remote = pair
    remote.target.delay = 0.3
    started_at = time.monotonic()
    with entry.connect() as sock:
        for number in range(4):
            sock.sendall(make_request(f"/items/{number}", attempt=f"a{number}"))
        received = b""
        while received.count(b"whole") < 4:
            received += sock.recv(65536)
    order = [received.index(b"x-attempt-id: a%d" % number) for number in range(4)]
    assert order == sorted(order)
    assert time.monotonic() - started_at < 0.9


def test_pipelined_responses_are_all_sent(pair):
    """In each round the end of a task races with the start of a wait for it."""
    entry, _ = pair
    with entry.connect() as sock:
        sock.settimeout(2)
        for turn in range(150):
            names = [f"t{turn}n{number}" for number in range(3)]
            sock.sendall(b"".join(make_request(attempt=name) for name in names))
            received = b""
            while received.count(b"whole") < 3:
                received += sock.recv(65536)


def test_a_body_arrives_unchanged(pair):
    entry, remote = pair
    body = bytes(range(256)) * 2000
    assert entry.call("/orders/", "POST", body).status == 200
    assert remote.target.executed[0].body == body


def test_expect_100_continue_is_answered(pair):
    entry, remote = pair
    request = make_request("/orders/", "POST", b"abc", Expect="100-continue")
    with entry.connect() as sock:
        sock.settimeout(2)
        sock.sendall(request[:-3])
        assert sock.recv(1000) == b"HTTP/1.1 100 Continue\r\n\r\n"
        sock.sendall(request[-3:])
        assert sock.recv(1000).startswith(b"HTTP/1.1 200")
    assert remote.target.executed[0].body == b"abc"


def test_no_route_and_no_configuration(mesh):
    member = mesh.add()
    response = member.call()
    assert response.status == 503 and "retry-after" in response.headers
    assert not member.is_ready()
    mesh.configure(route())
    mesh.wait_until_converged()
    assert member.is_ready()
    assert member.call("/other/").status == 404


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda response: response[:-1],
        lambda response: b"garbage\r\n\r\n",
        lambda response: response.replace(b"X-Upstream-Signature", b"X-Other"),
        lambda response: response.replace(b"a1", b"a0"),
        lambda response: None,
    ],
)
def test_an_invalid_response_is_not_forwarded_to_the_caller(pair, corrupt):
    entry, remote = pair

    def script(sock, request):
        remote.target.executed.append(request)
        response = corrupt(make_response(request, b"whole"))
        if response and not response.endswith(b"whole"):
            sock.sendall(response)
            return None
        return response

    remote.target.script = script
    response = entry.call("/orders/", "POST", b"x", deadline_ms=500)
    assert response.status in (502, 504)
    assert "x-upstream-signature" not in response.headers
    assert len(remote.target.executed) == 1


def test_an_extra_response_is_not_given_to_the_next_caller(pair):
    entry, remote = pair

    def script(sock, request):
        response = remote.target.execute(sock, request, request.target)
        return response + response

    remote.target.script = script
    for number in range(6):
        response = entry.call(f"/items/{number}", attempt=f"a{number}")
        assert response.body == b"/items/%d" % number


def test_a_broken_call_is_retried_only_if_idempotent(mesh):
    entry, first, second = mesh.add("desk"), mesh.add(), mesh.add()
    mesh.configure(route(), route("post", "/orders/", **POST))
    mesh.wait_until_converged()
    runs = []

    def script(sock, request):
        runs.append(request)
        return None if len(runs) == 1 else make_response(request, b"whole")

    first.target.script = second.target.script = script
    assert entry.call().status == 200
    assert len(runs) == 2
    runs.clear()
    assert entry.call("/orders/", "POST", b"x").status == 502
    assert len(runs) == 1


def test_a_call_refused_as_not_executed_is_sent_to_another_target(mesh):
    entry, first, second = mesh.add("desk"), mesh.add(), mesh.add()
    mesh.configure(route("post", "/orders/", **POST))
    mesh.wait_until_converged()

    def refuse(sock, request):
        refused.append(request)
        return make_response(request, b"", b"503 X", b"X-Not-Executed: 1\r\n")

    refused = []
    first.target.script = refuse
    for number in range(4):
        response = entry.call("/orders/", "POST", b"x", attempt=f"a{number}")
        assert response.status == 200
    second.target.script = refuse
    response = entry.call("/orders/", "POST", b"x", attempt="b")
    assert response.status == 503 and float(response.headers["retry-after"]) > 0


def test_the_route_timeout_ends_a_call_at_once(mesh):
    entry, remote = mesh.add("desk"), mesh.add()
    mesh.configure(route(timeoutS=0.3))
    mesh.wait_until_converged()
    remote.target.delay = 5
    response = entry.call()
    assert response.status == 504
    assert 0.25 < response.took < 0.6
    wait_until(lambda: len(remote.target.aborted) == 1, 0.5)


def test_a_disconnect_of_the_caller_aborts_its_calls(pair):
    entry, remote = pair
    remote.target.delay = 5
    with entry.connect() as sock:
        for number in range(3):
            sock.sendall(make_request(attempt=f"a{number}"))
        wait_until(lambda: len(remote.target.executed) == 3)
    wait_until(lambda: len(remote.target.aborted) == 3, 0.5)


def test_a_draining_target_gets_no_more_calls(mesh):
    """Calls may reach it for 1 s after its announcement, the `drain_timeout` here."""
    entry, leaving, other = mesh.add("desk"), mesh.add(), mesh.add()
    mesh.configure(route())
    mesh.wait_until_converged()
    assert leaving.send_heartbeat("draining") == 200
    drained_at = time.monotonic() + 1
    for number in range(10):
        assert entry.call(attempt=f"a{number}").status == 200
    # The entry node may not have received the new state before its first call.
    assert len(leaving.target.executed) <= 1 and len(other.target.executed) >= 9
    time.sleep(drained_at - time.monotonic())
    executed = len(leaving.target.executed)
    assert other.send_heartbeat("draining") == 200 and other.deregister() == 200
    for number in range(10):
        assert entry.call(attempt=f"b{number}").status == 503
    assert (
        len(leaving.target.executed) == executed
        and len(other.target.executed) == 10 - executed
    )


def test_the_last_target_of_a_service_gets_calls_while_draining(mesh):
    entry, last = mesh.add("desk"), mesh.add()
    mesh.configure(route())
    mesh.wait_until_converged()
    assert last.send_heartbeat("draining") == 200
    assert entry.call().status == 200
    time.sleep(0.6)
    response = entry.call()
    assert response.status == 503 and float(response.headers["retry-after"]) > 0


def test_a_call_does_not_run_on_another_instance_at_the_address(pair):
    entry, remote = pair
    remote.target.instance = "i-of-another-service"
    response = entry.call("/orders/", "POST", b"x")
    assert response.status == 503 and not remote.target.executed


def test_a_target_never_gets_more_calls_than_its_slots(pair):
    entry, remote = pair
    remote.target.delay = 0.2
    socks = [entry.connect() for _ in range(40)]
    for number, sock in enumerate(socks):
        sock.sendall(make_request(attempt=f"a{number}"))
    statuses = [sock.recv(65536).split()[1] for sock in socks]
    for sock in socks:
        sock.close()
    assert remote.target.peak <= 16
    assert set(statuses) <= {b"200", b"503"} and statuses.count(b"200") >= 30


def test_malformed_and_large_requests(mesh):
    entry = mesh.add()
    mesh.configure(route(), maxHeaderBytes=500, maxBodyBytes=1000)
    mesh.wait_until_converged()
    assert entry.call(X_Large="x" * 600).status == 431
    assert entry.call(method="POST", body=b"x" * 1001).status == 413
    with entry.connect() as sock:
        sock.sendall(b"NOT HTTP\r\n\r\n")
        assert sock.recv(1000).startswith(b"HTTP/1.1 400")
    assert not entry.target.executed


def test_an_overloaded_inner_service_has_less_important_roots_refused_early(mesh):
    """Each call to desk makes a nested call to stock.

    The target of stock runs three at once in 50 ms each.
    """
    desk, stock = mesh.add("desk", "a"), mesh.add("stock", "a")
    stock.send_heartbeat(slots=4)
    mesh.configure(
        route("urgent", "/urgent/", service="desk", priority=0),
        route("plain", "/plain/", service="desk", priority=2),
        route("nested", "/nested/", service="stock", priority=1),
    )
    mesh.wait_until_converged()
    stock.target.delay = 0.05

    def script(sock, request):
        attempt = dict(request.headers)[b"x-attempt-id"].decode()
        try:
            nested = desk.call("/nested/", attempt=f"{attempt}.1")
        except (OSError, http.client.HTTPException):
            # The node may stop before the end of a call whose caller has disconnected.
            return None
        if nested.status == 200:
            return make_response(request, b"whole")
        return make_response(request, b"failed", b"500 Failed")

    desk.target.script = script
    statuses = {"urgent": [], "plain": []}

    def send_call(kind, number):
        attempt = f"{kind}{number}"
        response = desk.call(f"/{kind}/", attempt=attempt, deadline_ms=1500)
        statuses[kind].append(response.status)

    with ThreadPoolExecutor(64) as pool:
        for number in range(250):
            pool.submit(send_call, "plain", number)
            if number % 5 == 0:
                pool.submit(send_call, "urgent", number)
            time.sleep(0.01)
    served = {kind: each.count(200) / len(each) for kind, each in statuses.items()}
    assert served["urgent"] >= 0.9
    assert statuses["plain"].count(503) > statuses["plain"].count(500)
