"""Another address of the store in the settings is used without a restart."""

from __future__ import annotations

from dataclasses import replace

import pytest
from mesh_harness import route, wait_until
from store_standin import StoreStandIn


def move_store(mesh) -> StoreStandIn:
    """Return the mesh's earlier store; the one at another address has its rows."""
    earlier, moved = mesh.store, StoreStandIn()
    copy = earlier.copy()
    moved.version, moved.rows, moved.history = copy.version, copy.rows, copy.history
    mesh.store = moved
    for member in mesh.members:
        member.settings = replace(member.settings, store=moved.address)
        member.node.reload(member.settings)
    return earlier


@pytest.mark.parametrize("answers", [True, False], ids=["answering", "silent"])
def test_configuration_at_another_address_is_in_force(mesh, answers):
    """Guards against calls that go on to the address of the start."""
    members = [mesh.add("stock", zone) for zone in ("a", "a", "a", "b")]
    mesh.configure(route())
    mesh.wait_until_converged()
    if not answers:
        mesh.store.start_silence()
    earlier = move_store(mesh)
    mesh.configure(route(), route("added", "/added/"))
    mesh.wait_until_converged()
    assert all(each.call("/added/1").status == 200 for each in members)
    earlier.end_silence()
    earlier.close()


def test_shutdown_is_stored_at_another_address(mesh):
    member = mesh.add()
    mesh.configure(route())
    mesh.wait_until_converged()
    row_key = ("cyclamenvane-nodes", "a", member.settings.node)
    wait_until(lambda: row_key in mesh.store.rows)
    earlier = move_store(mesh)
    stored = mesh.store.rows[row_key]
    earlier.close()
    wait_until(lambda: member.send_heartbeat("draining") == 200)
    assert mesh.store.rows[row_key] != stored
