"""Embedded caller against real nodes."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

import pytest
from harness import KEYS, Cluster, wait_until

from cyclamenvane import Caller, CallerSettings, Outcome, SystemClock
from cyclamenvane.calls import CallContext, Importance, sign_context
from cyclamenvane.effects import Ticket
from cyclamenvane.wire import derive_credential

SECTION = """\
[teams.desk.services.booking]
non_idempotent = ["POST /bookings/*"]
"""


@pytest.fixture
def desk(cluster: Cluster) -> Cluster:
    for zone in ("z1", "z2"):
        cluster.add_target(cluster.add_node(zone), "booking")
    assert cluster.accept(cluster.nodes[0], "desk", SECTION).status == 200
    cluster.wait_until_settled("booking", 2)
    return cluster


@pytest.fixture
def caller(desk: Cluster):
    secret = derive_credential(KEYS.callers.encode(), "dispatch").decode()
    names = tuple(node.view.own.name for node in desk.nodes)
    pool = ThreadPoolExecutor(16)
    embedded_caller = Caller(
        CallerSettings("dispatch", secret, "z1", names), SystemClock(), pool
    )
    assert embedded_caller.start()
    yield embedded_caller
    embedded_caller.stop()
    pool.shutdown(wait=False, cancel_futures=True)


def test_response_is_complete_and_from_the_local_zone(desk, caller) -> None:
    for number in range(5):
        response = caller.call("booking", "GET", f"/echo/{number}")
        assert response.body == f"/echo/{number}\n".encode()
    assert sum(desk.targets[0].runs.values()) == 5


def test_booking_gets_a_ticket_automatically(desk, caller) -> None:
    response = caller.call("booking", "POST", "/bookings/1", body=b"b")
    assert (response.status, response.outcome) == (200, Outcome.DONE)
    assert sum(target.runs["/bookings/1"] for target in desk.targets) == 1


def test_booking_runs_on_another_target_when_its_own_leaves(desk, caller) -> None:
    desk.nodes[0].targets.mark_leaving()
    response = caller.call("booking", "POST", "/bookings/2", body=b"b")
    assert (response.status, response.outcome) == (200, Outcome.DONE)
    assert desk.targets[1].runs["/bookings/2"] == 1


def test_forged_context_gives_no_importance(desk, caller) -> None:
    context = CallContext("r", "crane-crews", Importance.CRITICAL, 1, 9)
    token = sign_context(context, b"not the key of the nodes")
    seen: list[str] = []
    desk.targets[0].call_next = lambda headers: (
        seen.append(headers["cyclamenvane-caller"]) or (200, b"")
    )
    assert caller.call("booking", "GET", "/x", token=token).status == 200
    assert seen == ["dispatch"]


def test_wrong_credential_opens_no_stream(desk) -> None:
    names = (desk.nodes[0].view.own.name,)
    pool = ThreadPoolExecutor(4)
    settings = CallerSettings("dispatch", "0" * 32, "z1", names)
    caller = Caller(settings, SystemClock(), pool)
    assert not caller.refresh()
    caller.stop()
    pool.shutdown(wait=False)


def test_caller_fetches_accepted_sections(desk, caller) -> None:
    text = SECTION + 'idempotent = ["POST /notes"]\n'
    assert desk.accept(desk.nodes[1], "desk", text, base=1).status == 200
    wait_until(
        lambda: caller.refresh() and caller.has_section("desk", 2), "the section"
    )


def test_outcome_under_another_name_is_unknown(desk, caller) -> None:
    desk.platform.objects.put("outcomes/gone/closed", b"")
    ticket = Ticket("gone", 0, "nonce")
    assert caller._find_outcome("dispatch", ticket).outcome is Outcome.NOT_RUN
    assert caller._find_outcome("crane-crews", ticket).outcome is Outcome.UNKNOWN
