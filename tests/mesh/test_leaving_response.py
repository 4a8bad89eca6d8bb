"""Targets that say in their responses that they are leaving."""

from __future__ import annotations

import time

from mesh_harness import call_for, route, wait_until


def test_call_begun_after_the_drain_timeout_does_not_reach_a_target_that_says_it_leaves(
    mesh,
):
    entry = mesh.add("desk", "a")
    leaving, other = mesh.add("stock", "a"), mesh.add("stock", "b")
    mesh.configure(route())
    mesh.wait_until_converged()
    leaving.target.header_lines = b"Server-Leaving: 1\r\n"
    wait_until(lambda: "server-leaving" in entry.call().headers)
    time.sleep(entry.settings.drain_timeout.total_seconds())
    reached = len(leaving.target.executed)
    leaving.send_heartbeat()
    responses = call_for(1.0, entry, other)
    assert len(leaving.target.executed) == reached
    assert {each.status for each in responses} == {200}
