"""A store that is restored from an older copy, and gives out versions again."""

from __future__ import annotations

import json
import time
from dataclasses import replace

import pytest
from mesh_harness import POST, route, wait_until

from cyclamenvane.mesh.publication import NODES_TABLE, decode_record, encode_record

# Calm nodes have to follow the store again within the platform's stable window, and a
# version has to be in force two seconds after its acknowledgement.
STABLE_WINDOW_S = 3.0
APPLY_S = 2.0


@pytest.fixture
def zone(mesh):
    """Four nodes of one zone with a configuration."""
    for _ in range(4):
        mesh.add("stock", "a")
    mesh.configure(route())
    mesh.wait_until_converged()
    return mesh


def wait_until_in_force(mesh, version, seconds):
    deadline = time.monotonic() + seconds
    for member in mesh.members:
        node = member.node
        wait_until(
            lambda: node.configuration.version() == version,
            deadline - time.monotonic(),
        )


def stored_record(mesh, member):
    row = mesh.store.read_row(NODES_TABLE, member.zone, member.settings.node)
    return decode_record(row) if row is not None else None


def knows(member, other):
    names = [peer.record.node for peer in member.node.directory.peers()]
    return other.settings.node in names


@pytest.mark.parametrize("lost_versions", [0, 1, 3])
def test_versions_are_in_force_in_time_after_the_store_was_restored(
    zone, lost_versions
):
    """The first version afterwards gets the row version of a lost one."""
    copy = zone.store.copy()
    for _ in range(lost_versions):
        zone.configure(route())
    zone.wait_until_converged()
    zone.store.restore(copy)
    for _ in range(3):
        wait_until_in_force(zone, zone.configure(route()), STABLE_WINDOW_S)
        time.sleep(0.2)


def test_lost_version_stays_in_force_after_the_store_was_restored(zone):
    copy = zone.store.copy()
    lost = zone.configure(route())
    zone.wait_until_converged()
    zone.store.restore(copy)
    zone.store.put("other", "", "k", b"v")
    deadline = time.monotonic() + STABLE_WINDOW_S
    while time.monotonic() < deadline:
        assert {each.node.configuration.version() for each in zone.members} == {lost}
        time.sleep(0.05)


def test_version_is_in_force_in_time_though_no_call_failed_during_the_restore(zone):
    """The versions that the nodes ask for exist again when they ask."""
    copy = zone.store.copy()
    zone.configure(route())
    zone.wait_until_converged()
    with zone.store.paused():
        lost = zone.store.version
        zone.store.restore(copy)
        while zone.store.version <= lost:
            zone.store.put("other", "", "k", b"v")
        version = zone.configure(route())
        zone.store.put("other", "", "k", b"v")
    wait_until_in_force(zone, version, STABLE_WINDOW_S)


def test_versions_are_in_force_in_time_after_two_restores_in_a_row(zone):
    copies = [zone.store.copy()]
    zone.configure(route())
    zone.wait_until_converged()
    copies.append(zone.store.copy())
    zone.configure(route())
    zone.wait_until_converged()
    for copy in reversed(copies):
        zone.store.restore(copy)
        time.sleep(0.3)
    wait_until_in_force(zone, zone.configure(route()), STABLE_WINDOW_S)


def test_invalid_configuration_written_again_is_not_put_in_force(zone):
    copy = zone.store.copy()
    version = zone.configure(route())
    zone.wait_until_converged()
    zone.store.restore(copy)
    zone.store.put("op", "", "config", json.dumps({"version": "r999"}).encode())
    time.sleep(1.0)
    assert {each.node.configuration.version() for each in zone.members} == {version}
    wait_until_in_force(zone, zone.configure(route()), STABLE_WINDOW_S)


def test_node_whose_record_was_lost_stays_known_and_writes_it_again(zone):
    copy = zone.store.copy()
    started = zone.add("stock", "a")
    zone.wait_until_converged()
    zone.store.restore(copy)
    deadline = time.monotonic() + STABLE_WINDOW_S
    while time.monotonic() < deadline:
        assert all(knows(each, started) for each in zone.members[:-1])
        time.sleep(0.02)
    assert stored_record(zone, started) == started.node.record()


def test_node_that_is_gone_is_forgotten_after_its_record_was_lost(zone):
    copy = zone.store.copy()
    gone = zone.add("stock", "a")
    zone.wait_until_converged()
    gone.node.kill()
    zone.members.remove(gone)
    zone.store.restore(copy)
    for member in zone.members:
        wait_until(lambda: not knows(member, gone), 3 * STABLE_WINDOW_S)
    gone.target.close()


def test_announced_shutdown_that_was_lost_is_written_again(zone):
    copy = zone.store.copy()
    leaving = zone.members[0]
    leaving.send_heartbeat("draining")
    wait_until(lambda: stored_record(zone, leaving).leaving)
    zone.store.restore(copy)
    wait_until(lambda: stored_record(zone, leaving).leaving, STABLE_WINDOW_S)


def lose_shutdown(mesh):
    """Restore the store to before a target's shutdown; return the killed member."""
    leaving, *others = mesh.members
    copy = mesh.store.copy()
    leaving.send_heartbeat("draining")
    name = leaving.settings.node
    for member in others:
        wait_until(lambda: member.node.directory.find(name).record.leaving)
    leaving.node.kill()
    mesh.store.restore(copy)
    return leaving


def test_lost_shutdown_is_written_again_for_a_node_that_is_gone(zone):
    leaving = lose_shutdown(zone)
    wait_until(lambda: stored_record(zone, leaving).leaving, STABLE_WINDOW_S)


def test_restarted_node_knows_a_shutdown_that_the_store_has_lost(zone):
    """A late heartbeat must not make the target serving again."""
    leaving = lose_shutdown(zone)
    leaving.restart()
    wait_until(lambda: stored_record(zone, leaving).leaving, STABLE_WINDOW_S)
    time.sleep(0.5)
    leaving.send_heartbeat()
    assert not leaving.node.registration.is_serving()


def test_record_overwritten_by_a_late_write_is_written_again(zone):
    """The version that a lost call expected was given out to another write."""
    member = zone.members[0]
    current = member.node.record()
    late = encode_record(replace(current, slots=1))
    zone.store.put(NODES_TABLE, member.zone, member.settings.node, late)
    wait_until(lambda: stored_record(zone, member) == current, STABLE_WINDOW_S)


def test_calls_are_served_while_the_store_is_restored(zone):
    copy = zone.store.copy()
    zone.configure(route(), route("post", "/orders/", **POST))
    zone.add("stock", "b")
    zone.wait_until_converged()
    zone.store.restore(copy)
    deadline = time.monotonic() + 2.0
    while time.monotonic() < deadline:
        for member in zone.members:
            assert member.call(attempt=member.host).status == 200
        assert zone.members[0].call("/orders/1", "POST").status == 200


def test_calls_to_a_restored_store_are_few(zone):
    """Each node that follows the store reads its tables once."""
    copy = zone.store.copy()
    zone.configure(route())
    zone.wait_until_converged()
    zone.store.calls.clear()
    zone.store.restore(copy)
    time.sleep(STABLE_WINDOW_S)
    assert len(zone.store.calls) <= 10 * len(zone.members)
