"""A store that stops answering on open connections and later answers again."""

from __future__ import annotations

import time

import pytest
from mesh_harness import route, wait_until

STABLE_WINDOW_S = 3.0  # within which the fleet has to have recovered


@pytest.mark.parametrize("silence_s", [0.5, 10.0])
def test_version_written_after_a_silence_of_the_store_is_in_force_in_time(
    mesh, silence_s
):
    member = mesh.add("stock", "a")
    mesh.configure(route())
    mesh.wait_until_converged()
    wait_until(lambda: mesh.store.waiting_feeds["op"] == 1)
    mesh.store.start_silence()
    time.sleep(silence_s)
    mesh.store.end_silence()
    version = mesh.configure(route())
    wait_until(lambda: member.node.configuration.version() == version, STABLE_WINDOW_S)


def test_followers_get_a_version_in_time_after_a_silence_of_the_store(mesh):
    for _ in range(4):
        mesh.add("stock", "a")
    mesh.configure(route())
    mesh.wait_until_converged()
    mesh.store.start_silence()
    time.sleep(4.0)
    mesh.store.end_silence()
    version, started_at = mesh.configure(route()), time.monotonic()
    for member in mesh.members:
        wait_until(lambda: member.node.configuration.version() == version)
    assert time.monotonic() - started_at < STABLE_WINDOW_S
