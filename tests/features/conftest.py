"""Steps shared by the features."""

from __future__ import annotations

from harness import Cluster, put_in_force
from manual_clock import ManualClock
from platform_faults import FaultyPlatform
from pytest_bdd import given, parsers


@given(parsers.parse('a cluster with nodes in the zones "{a}", "{b}" and "{c}"'))
def start_nodes(cluster: Cluster, a: str, b: str, c: str) -> None:
    cluster.platform = FaultyPlatform(ManualClock())
    for zone in (a, b, c):
        cluster.add_node(zone)
    cluster.wait_until_settled()


@given(
    parsers.parse(
        'a "{service}" target with {slots:d} slot that takes {delay:g} s per request'
    )
)
@given(
    parsers.parse(
        'a "{service}" target with {slots:d} slots that takes {delay:g} s per request'
    )
)
def start_target(cluster: Cluster, service: str, slots: int, delay: float) -> None:
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
    put_in_force(cluster, f"{service}-team", rules)
    cluster.add_target(cluster.nodes[0], service, slots=slots, delay_s=delay)
    cluster.wait_until_settled(service, 1)
