"""A zone of whose nodes the store turns some away and serves the others."""

from __future__ import annotations

import time

import pytest
from mesh_harness import route, wait_until
from store_standin import StoreDoor

from cyclamenvane.mesh.store_watch import WatchState
from cyclamenvane.mesh.watchers import rank_nodes

NODES = 7
NAMES = [f"n-{number}" for number in range(NODES)]
APPLY_TIME_S = 2.0  # in which an acknowledged configuration has to be in force


@pytest.fixture
def door(mesh):
    """Return a second address of the store, for the nodes that it turns away."""
    created = StoreDoor(mesh.store)
    yield created
    created.close()


def start_zone(mesh, door, turned_away):
    """Start a zone; the nodes of these ranks use the door. None explores by chance."""
    ranked = rank_nodes(NAMES)
    behind_door = {ranked[rank] for rank in turned_away}
    for name in NAMES:
        member = mesh.add("stock", "a", door if name in behind_door else mesh.store)
        member.node.store_client._follower._selection._draw = lambda: 0.99
    mesh.configure(route())
    mesh.wait_until_converged()
    wait_until(lambda: list_watchers(mesh) == ranked[:1], 15)
    # Nodes that were watchers at first have ended the last call that they made.
    wait_until(lambda: mesh.store.waiting_feeds["op"] == 2, 12)


def list_watchers(mesh):
    return [
        member.settings.node
        for member in mesh.members
        if member.node.store_client.store_watch.state() is WatchState.CURRENT
    ]


def measure_spread(mesh, version):
    """Return the seconds after which each node had a version, if it got it."""
    took, started_at = {}, time.monotonic()
    while len(took) < NODES and time.monotonic() < started_at + 3 * APPLY_TIME_S:
        for member in mesh.members:
            if member.node.configuration.version() >= version:
                took.setdefault(member.settings.node, time.monotonic() - started_at)
        time.sleep(0.01)
    return took


@pytest.mark.parametrize(
    "turned_away",
    [range(2), range(3), range(4), range(5), range(6), [0, 1, 3, 4, 5], range(1, 6)],
    ids=str,
)
def test_new_version_is_in_force_in_time_without_any_call(mesh, door, turned_away):
    """Guards against a search for a node with the store that is left to chance."""
    start_zone(mesh, door, turned_away)
    door.turn_away()
    took = measure_spread(mesh, mesh.configure(route()))
    late = {name: took.get(name) for name in NAMES}
    assert max(took.get(name, 99.0) for name in NAMES) < APPLY_TIME_S, late


@pytest.mark.parametrize("turned_away", [range(5), range(6)], ids=str)
def test_versions_are_in_force_in_time_for_as_long_as_nodes_are_turned_away(
    mesh, door, turned_away
):
    """Guards against nodes that stop to try the store while their watchers lack it."""
    start_zone(mesh, door, turned_away)
    door.turn_away()
    for _ in range(6):
        version, written_at = mesh.configure(route()), time.monotonic()
        took = measure_spread(mesh, version)
        late = {name: took.get(name) for name in NAMES}
        assert max(took.get(name, 99.0) for name in NAMES) < APPLY_TIME_S, late
        time.sleep(max(written_at + 1.7 - time.monotonic(), 0))
