"""Calls through nodes in two zones, over loopback, from caller to target."""

from __future__ import annotations

import pytest
from harness import Cluster, stop_gracefully, wait_until


@pytest.fixture
def path(cluster: Cluster) -> Cluster:
    first, second = cluster.add_node("amman-1"), cluster.add_node("amman-1")
    third = cluster.add_node("amman-2")
    cluster.add_target(first, "stock")
    cluster.add_target(second, "stock")
    cluster.add_target(third, "booking")
    cluster.wait_until_settled("stock", 2)
    cluster.wait_until_settled("booking", 1)
    return cluster


def test_call_through_any_node_gets_the_complete_response(path: Cluster) -> None:
    for number, node in enumerate(path.nodes):
        response = path.call(node, "POST", f"/booking/echo/{number}", b"body")
        assert response.status == 200
        assert response.body == f"/echo/{number}\nbody".encode()
        assert response.outcome == "done"


def test_large_response_is_complete(path: Cluster) -> None:
    size = 3_000_001
    response = path.call(path.nodes[0], "GET", f"/booking/bytes/{size}")
    assert response.status == 200
    assert len(response.body) == size


def test_upload_is_complete_and_limited_by_the_policy(path: Cluster) -> None:
    body = b"p" * 5_000_000
    refused = path.call(path.nodes[0], "POST", "/booking/photo", body)
    assert (refused.status, refused.reason) == (413, "body-too-large")
    assert refused.outcome == "not-run"
    section = "[teams.desk.services.booking]\nbody_limit_kb = 8192\n"
    assert path.accept(path.nodes[0], "desk", section).status == 200
    node = path.nodes[0]
    accepted = path.call(node, "POST", "/booking/photo", body)
    assert accepted.status == 200
    assert path.targets[2].received == len(body)


def test_caller_without_a_credential_is_refused(path: Cluster) -> None:
    response = path.call(path.nodes[0], "GET", "/stock/x", Authorization="Bearer a.b")
    assert (response.status, response.outcome) == (401, "not-run")
    assert not path.targets[0].runs and not path.targets[1].runs


def test_keyed_request_runs_once_through_any_node(path: Cluster) -> None:
    responses = [
        path.call(node, "POST", "/booking/echo/once", b"b", Idempotency_Key="key-1")
        for node in path.nodes
    ]
    assert {(response.status, response.body) for response in responses} == {
        (200, b"/echo/once\nb")
    }
    assert path.targets[2].runs["/echo/once"] == 1


def test_graceful_shutdown_moves_calls_to_other_targets(path: Cluster) -> None:
    first, second, third = path.nodes
    assert stop_gracefully(first)
    wait_until(
        lambda: first.view.own.name not in _member_names(third),
        "the node to leave",
    )
    for number in range(10):
        assert path.call(third, "GET", f"/stock/{number}").status == 200
    assert sum(path.targets[1].runs.values()) == 10


def _member_names(node) -> set[str]:
    return {member.name for member in node.view.all()}


def test_metrics_show_calls_targets_and_sections(path: Cluster) -> None:
    node = path.nodes[2]
    assert path.accept(node, "desk", "[teams.desk]\n").status == 200
    assert path.call(node, "GET", "/booking/x").status == 200
    text = path.control(node, "GET", "/metrics").body.decode()
    assert 'cyclamenvane_calls_total{importance="normal",outcome="done"' in text
    assert 'cyclamenvane_target_limit{service="booking"} 16.0' in text
    assert 'cyclamenvane_section_version{team="desk"} 1.0' in text
    assert 'cyclamenvane_members{standing="alive",zone="amman-1"} 2.0' in text
