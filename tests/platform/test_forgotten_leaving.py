"""A target that leaves stays so for the processes that follow its node's process.

These have processes that are killed, see
docs/incidents/2026-12-07-leaving-forgotten.md.
"""

from __future__ import annotations

import pytest
from leaving_site import LeavingSite
from mesh_harness import wait_until

WAYS = ["DELETE", "draining"]
WATCHED_S = 2.0


@pytest.fixture
def site(store, tmp_path):
    site = LeavingSite(store, tmp_path)
    site.start()
    yield site
    site.close()


def restart_and_send(site: LeavingSite, late: dict) -> None:
    """Restart the daemon beside the target, which then gets a late heartbeat."""
    site.restart(site.beside)
    site.wait_until_listening()
    site.send_heartbeat(late)


def check_next_start(site: LeavingSite, instance: str) -> None:
    """Check that the next incarnation of the target is used."""
    site.start_target_again(instance)
    wait_until(lambda: site.send_heartbeat() == 200)
    wait_until(lambda: site.call() == 200)


@pytest.mark.parametrize("instance", ["i-1", "i-2"], ids=["same id", "other id"])
@pytest.mark.parametrize("way", WAYS)
def test_acknowledged_leaving_outlives_the_process(site, way, instance):
    """Guards against an acknowledgement of what only one process remembers."""
    site.store.write_delay_s = 0.3
    late = site.make_heartbeat()
    assert site.leave(way) == 200
    restart_and_send(site, late)
    assert not site.count_runs(WATCHED_S)
    check_next_start(site, instance)


@pytest.mark.parametrize("way", WAYS)
def test_acknowledged_leaving_outlives_all_processes_twice(site, way):
    """Guards against a restarted node that overwrites what it has to remember."""
    late = site.make_heartbeat()
    assert site.leave(way) == 200
    site.restart(site.entry)
    restart_and_send(site, late)
    restart_and_send(site, late)
    assert not site.count_runs(WATCHED_S)
    check_next_start(site, "i-1")


@pytest.mark.parametrize("way", WAYS)
def test_leaving_is_not_acknowledged_while_the_store_is_away(site, way):
    site.store.unresponsive = True
    assert site.leave(way) not in (0, 200)
    assert not site.count_runs(WATCHED_S), "the drain time is over"
    site.store.unresponsive = False
    late = site.make_heartbeat()
    wait_until(lambda: site.leave(way) == 200)
    restart_and_send(site, late)
    assert not site.count_runs(WATCHED_S)
    check_next_start(site, "i-1")


@pytest.mark.parametrize("way", WAYS)
def test_restarted_node_passes_no_call_before_it_has_read_its_record(site, way):
    """Guards against a late heartbeat that comes before the store is back."""
    late = site.make_heartbeat()
    assert site.leave(way) == 200
    site.store.unresponsive = True
    restart_and_send(site, late)
    assert not site.count_runs(WATCHED_S)
    site.store.unresponsive = False
    assert not site.count_runs(WATCHED_S)
    check_next_start(site, "i-1")


def test_deregistration_that_reaches_a_restarted_node_first(site):
    """Guards against a next start that is refused for the end of the one before."""
    late = site.make_heartbeat()
    site.restart(site.beside)
    site.wait_until_listening()
    assert site.leave("DELETE") == 200
    site.send_heartbeat(late)
    assert not site.count_runs(WATCHED_S)
    check_next_start(site, "i-1")
