"""Steps of changes.feature, with real nodes and target stand-ins."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

from harness import Cluster, put_in_force, stop_gracefully, wait_until
from pytest_bdd import given, scenarios, then, when

from cyclamenvane.policy import Section

scenarios("changes.feature")


@given('two "stock" targets')
def start_two_targets(cluster: Cluster) -> None:
    put_in_force(cluster, "desk", "[teams.desk.services.stock]\n")
    for node in cluster.nodes[:2]:
        cluster.add_target(node, "stock")
    cluster.wait_until_settled("stock", 2)


@when("the first target is announced as leaving")
def announce_leaving(cluster: Cluster) -> None:
    cluster.announce(cluster.nodes[0], "stock", cluster.targets[0], leaving=True)


@when("the policy document marks the first target as leaving")
def mark_leaving(cluster: Cluster) -> None:
    address = cluster.targets[0].address
    text = f'[teams.desk.services.stock]\nleaving = ["{address}"]\n'
    response = cluster.accept(cluster.nodes[0], "desk", text, base=1)
    assert response.status == 200


@then("it receives no new requests and the second target serves every request")
def check_only_second_serves(cluster: Cluster) -> None:
    # Nodes that have not received the change yet may still call the first target.
    # Such calls are rejected as not run and sent to the second target.
    for index in range(12):
        response = cluster.call(cluster.nodes[index % 3], "GET", f"/stock/{index}")
        assert response.status == 200
    assert not cluster.targets[0].runs
    assert sum(cluster.targets[1].runs.values()) == 12


@when(
    "its node is shut down while 6 requests are in flight", target_fixture="responses"
)
def shut_down(cluster: Cluster) -> list:
    with ThreadPoolExecutor(7) as pool:
        futures = [
            pool.submit(cluster.call, cluster.nodes[2], "GET", f"/stock/echo/{n}")
            for n in range(6)
        ]
        target = cluster.targets[0]
        wait_until(lambda: sum(target.runs.values()) == 6, "the requests to run")
        assert pool.submit(stop_gracefully, cluster.nodes[0]).result()
        return [each.result() for each in futures]


@then("all 6 receive complete responses")
def check_all_complete(responses: list) -> None:
    assert sorted(response.body for response in responses) == [
        f"/echo/{n}\n".encode() for n in range(6)
    ]


@when("a new version of a section is accepted and older versions arrive again")
def accept_new_version(cluster: Cluster, clock) -> None:
    put_in_force(cluster, "desk", "[teams.desk]\n")
    old_section = cluster.nodes[0].sections.get("desk")
    put_in_force(cluster, "desk", '[teams.desk]\nowner = "desk"\n', base=1)
    for node in cluster.nodes:
        node.section_sync.apply(old_section)
        node.section_sync.apply(Section("desk", 1, "", "stale", "x", clock.now()))


@then("the newer version is in force at every node")
def check_newer_in_force(cluster: Cluster) -> None:
    for node in cluster.nodes:
        assert node.sections.get("desk").version == 2
        assert 'owner = "desk"' in node.sections.get("desk").text


@given("a section that is accepted and in force")
def accept_section(cluster: Cluster) -> None:
    put_in_force(cluster, "desk", "[teams.desk.services.stock]\n")


@when("the platform is down and another node starts")
def start_node_in_outage(cluster: Cluster) -> None:
    cluster.platform.down = True
    cluster.add_node("amman-2")


@then("the new node has the section in force and serves requests")
def check_new_node(cluster: Cluster) -> None:
    node = cluster.nodes[-1]
    assert node.sections.versions() == {"desk": 1}
    cluster.add_target(cluster.nodes[0], "stock")
    cluster.wait_until_settled("stock", 1)
    assert cluster.call(node, "GET", "/stock/x").status == 200
