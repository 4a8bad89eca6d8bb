"""Suspects and quarantined requests, and how nodes tell each other of them."""

from __future__ import annotations

import pytest
from builders import make_configuration, make_forward_request, make_record, make_route
from hypothesis import given
from hypothesis import strategies as st
from manual_clock import ManualClock

from cyclamenvane.mesh.configuration import CurrentConfiguration
from cyclamenvane.mesh.content import digest_content
from cyclamenvane.mesh.crash import RunningCalls
from cyclamenvane.mesh.directory import PeerDirectory
from cyclamenvane.mesh.model import Incarnation, RouteShare
from cyclamenvane.mesh.quarantine import Quarantine, Standing
from cyclamenvane.mesh.quarantine_sync import QuarantineSync

TARGET = Incarnation(1000, "i-1")


def make_head(path="/items/1"):
    return f"GET {path} HTTP/1.1\r\nhost: shop.example\r\n".encode()


HEAD = make_head()
CONTENT = digest_content(HEAD, b"")


@pytest.fixture
def quarantine(clock):
    return Quarantine(clock)


def standing(quarantine, head=HEAD, body=b""):
    return quarantine.check(head, body)


def test_requests_of_one_crash_are_suspects(quarantine):
    assert quarantine.is_empty() and standing(quarantine) is Standing.CLEAR
    others = [digest_content(make_head(f"/items/{n}"), b"") for n in range(5)]
    quarantine.record_crash([CONTENT, *others], "i-1")
    assert standing(quarantine) is Standing.SUSPECT
    assert standing(quarantine, body=b"another") is Standing.CLEAR
    assert standing(quarantine, make_head("/items/9")) is Standing.CLEAR


def test_second_crash_of_a_single_suspect_quarantines_it(quarantine):
    quarantine.record_crash([CONTENT, b"0" * 16], "i-1")
    quarantine.record_crash([CONTENT], "i-2")
    assert standing(quarantine) is Standing.QUARANTINED
    assert quarantine.count(Standing.QUARANTINED) == 1
    assert quarantine.count(Standing.SUSPECT) == 1


def test_crashes_of_several_requests_each_do_not_quarantine_a_popular_one(quarantine):
    for number in range(20):
        quarantine.record_crash([CONTENT, b"%016d" % number], f"i-{number}")
    assert standing(quarantine) is Standing.SUSPECT


def test_one_crash_of_a_single_request_does_not_quarantine_it(quarantine):
    quarantine.record_crash([CONTENT], "i-1")
    quarantine.record_crash([CONTENT], "i-1")
    assert standing(quarantine) is Standing.SUSPECT


def test_answer_clears_a_suspect_until_the_next_crash(quarantine):
    quarantine.record_crash([CONTENT], "i-1")
    quarantine.clear(HEAD, b"")
    assert standing(quarantine) is Standing.CLEAR
    quarantine.record_crash([CONTENT], "i-2")
    assert standing(quarantine) is Standing.SUSPECT


def test_request_that_was_cleared_often_can_still_be_quarantined(quarantine):
    for number in range(20):
        quarantine.record_crash([CONTENT], f"i-{number}")
        quarantine.clear(HEAD, b"")
    other = Quarantine(ManualClock())
    for instance in ("j-1", "j-2"):
        quarantine.record_crash([CONTENT], instance)
    other.merge(quarantine.entries_since(-1)[0])
    assert standing(quarantine) is standing(other) is Standing.QUARANTINED


def test_entries_expire_unless_the_request_comes_again(quarantine, clock):
    quarantine.record_crash([b"0" * 16], "i-1")
    for instance in ("i-1", "i-2"):
        quarantine.record_crash([CONTENT], instance)
    for _ in range(4):
        clock.advance(400)
        assert standing(quarantine) is Standing.QUARANTINED
    assert quarantine.count(Standing.SUSPECT) == 0
    clock.advance(601)
    assert standing(quarantine) is Standing.CLEAR and quarantine.is_empty()


def test_suspect_that_comes_again_after_minutes_is_quarantined(quarantine, clock):
    quarantine.record_crash([CONTENT, b"0" * 16], "i-1")
    clock.advance(300)
    assert standing(quarantine) is Standing.SUSPECT
    quarantine.record_crash([CONTENT], "i-2")
    assert standing(quarantine) is Standing.QUARANTINED


def test_number_of_entries_is_bounded_and_quarantined_ones_are_kept(quarantine, clock):
    for instance in ("i-1", "i-2"):
        quarantine.record_crash([CONTENT], instance)
    clock.advance(200)  # the entry is not renewed, and expires first
    for number in range(3000):
        clock.advance(0.001)
        quarantine.record_crash([b"%016d" % number], f"i-{number}")
    assert standing(quarantine) is Standing.QUARANTINED
    assert quarantine.count(Standing.SUSPECT) < 1024


@given(st.data())
def test_entries_can_be_merged_in_any_order(data):
    """The clock stands still, so nothing expires."""
    nodes = [Quarantine(ManualClock()) for _ in range(3)]
    for _ in range(data.draw(st.integers(1, 8))):
        node = data.draw(st.sampled_from(nodes))
        if data.draw(st.booleans()):
            count = data.draw(st.integers(1, 2))
            instance = data.draw(st.sampled_from(["i-1", "i-2", "i-3"]))
            node.record_crash([CONTENT, b"0" * 16][:count], instance)
        else:
            node.clear(HEAD, b"")
    packed = [node.entries_since(-1)[0] for node in nodes]
    for node in nodes:
        for entries in data.draw(st.permutations(packed)):
            node.merge(entries)
    assert len({standing(node) for node in nodes}) == 1


def test_merged_entries_are_only_told_to_new_nodes(quarantine, clock):
    other = Quarantine(clock)
    other.record_crash([CONTENT], "i-1")
    entries, newest = other.entries_since(0)
    assert len(entries) == newest == 1 and other.entries_since(newest)[0] == []
    quarantine.merge(entries)
    assert quarantine.entries_since(0)[0] == []
    assert quarantine.entries_since(-1)[0] == entries


@pytest.mark.parametrize("frame", [[1], [[b"c"]], [[b"c", 1, 2, 3]], 7, [None]])
def test_invalid_entries_are_rejected(quarantine, frame):
    with pytest.raises((ValueError, TypeError)):
        quarantine.merge(frame)


class Target:
    """A target whose connections can be refused."""

    def __init__(self, quarantine):
        self.accepts = True
        self.probes = 0
        self.running = RunningCalls(quarantine, self._probe)

    def _probe(self):
        self.probes += 1
        return self.accepts

    def begin(self, path="/items/1", suspect=False, incarnation=TARGET):
        request = make_forward_request(head=make_head(path))
        return self.running.begin(request, incarnation, suspect)


@pytest.fixture
def target(quarantine):
    return Target(quarantine)


def test_broken_exchange_with_a_target_that_accepts_connections_is_no_crash(
    target, quarantine
):
    assert not target.running.has_crashed_target(target.begin(), False)
    assert quarantine.is_empty()


def test_end_of_a_leaving_target_is_no_crash(target, quarantine):
    target.accepts = False
    assert not target.running.has_crashed_target(target.begin(), True)
    assert quarantine.is_empty() and not target.probes


def test_calls_that_ran_during_a_crash_are_suspects_and_later_ones_are_not(
    target, quarantine
):
    numbers = [target.begin(f"/items/{n}") for n in range(3)]
    target.running.end(target.begin("/items/8"))
    target.accepts = False
    assert all(target.running.has_crashed_target(n, False) for n in numbers)
    assert target.probes == 1
    # Sent on a connection that the crash had ended.
    later = target.begin("/items/9")
    assert not target.running.has_crashed_target(later, False)
    assert quarantine.count(Standing.SUSPECT) == 3


def test_calls_beside_a_suspect_do_not_become_suspects(target, quarantine):
    beside, suspect = target.begin("/items/2"), target.begin(suspect=True)
    target.accepts = False
    assert not target.running.has_crashed_target(beside, False)
    assert target.running.has_crashed_target(suspect, False)
    assert standing(quarantine, make_head("/items/2")) is Standing.CLEAR
    assert standing(quarantine) is Standing.SUSPECT


class FakePeers:
    """Records the frames sent to nodes; those in `silent` do not answer."""

    def __init__(self):
        self.sent, self.silent = [], set()

    def request(self, address, frame, watch, timeout):
        if address in self.silent:
            return None
        self.sent.append((address[0], len(frame[1])))
        return [frame[0]]


@pytest.fixture
def sync(quarantine, clock):
    """A sync of a node of `stock`, with nodes of three services."""
    directory, peers = PeerDirectory("n-0", clock), FakePeers()
    configuration = CurrentConfiguration(lambda *_: None)
    shares = (RouteShare("stock", 1.0), RouteShare("spare", 1.0))
    configuration.apply(make_configuration(routes=[make_route(shares=shares)]), "test")
    for node, service in (("n-1", "stock"), ("n-2", "spare"), ("n-3", "desk")):
        directory.apply(make_record(node, service=service, address=(node, 1)))
    created = QuarantineSync(
        quarantine, lambda: "stock", configuration, directory, peers, clock, None
    )
    created.peers, created.directory = peers, directory
    return created


def test_nodes_that_share_a_route_are_told_once_of_a_crash(sync, quarantine):
    quarantine.record_crash([CONTENT], "i-1")
    sync._tell_peers(None)
    sync._tell_peers(None)
    assert sorted(sync.peers.sent) == [("n-1", 1), ("n-2", 1)]


def test_silent_node_is_told_later_and_a_restarted_one_everything(
    sync, quarantine, clock
):
    sync.peers.silent.add(("n-1", 1))
    quarantine.record_crash([CONTENT], "i-1")
    quarantine.merge([[b"0" * 16, ["i-2"], [], []]])
    sync._tell_peers(None)
    assert sync.peers.sent == [("n-2", 1)]
    sync.peers.silent.clear()
    clock.advance(1.1)
    sync._tell_peers(None)
    assert sync.peers.sent[1:] == [("n-1", 1)]
    restarted = make_record("n-2", service="spare", address=("n-2", 1), session=2)
    sync.directory.apply(restarted)
    sync._tell_peers(None)
    assert sync.peers.sent[2:] == [("n-2", 2)]
