"""Selection of watchers: few, agreed on without talking, replaced when they fail."""

from __future__ import annotations

from collections import Counter

import pytest
from builders import make_record

from cyclamenvane.mesh.watchers import WatcherSelection, rank_nodes


class Zone:
    """The nodes of one zone, each with its own selection."""

    def __init__(self, clock, size, draw=lambda: 0.99):
        self.clock = clock
        self.records = {f"n-{at}": make_record(f"n-{at}") for at in range(size)}
        self.ranked = rank_nodes(self.records)
        self.selections = {
            node: WatcherSelection(
                node, lambda node=node: self.others(node), clock, draw
            )
            for node in self.records
        }

    def others(self, node):
        return [each for each in self.records.values() if each.node != node]

    def followed(self, node):
        record = self.selections[node].select()
        return record.node if record else node

    def watchers(self):
        return {node for node in self.records if self.followed(node) == node}


@pytest.mark.parametrize(
    ("size", "watchers"), [(1, 1), (2, 1), (6, 1), (39, 1), (64, 1), (200, 4)]
)
def test_number_of_watchers_hardly_grows_with_the_zone(clock, size, watchers):
    assert len(Zone(clock, size).watchers()) == watchers


def test_followers_spread_over_the_watchers_that_all_agree_on(clock):
    zone = Zone(clock, 120)
    followed = Counter(zone.followed(node) for node in zone.records)
    assert set(followed) == set(zone.ranked[:2])
    assert min(followed.values()) >= 40


def test_silent_watcher_is_replaced_and_tried_again_later(clock):
    zone = Zone(clock, 10)
    first, second, third = zone.ranked[:3]
    selection = zone.selections[zone.ranked[-1]]
    selection.record_silence(first)
    selection.record_silence(second)
    assert selection.select().node == third
    clock.advance(1.1)
    assert selection.select().node == first
    # Each failure doubles the pause.
    selection.record_silence(first)
    clock.advance(1.1)
    assert selection.select().node == second


def test_store_is_followed_when_no_watcher_answers(clock):
    zone = Zone(clock, 10)
    selection = zone.selections[zone.ranked[-1]]
    for _ in range(4):
        watcher = selection.select()
        assert watcher is not None
        selection.record_silence(watcher.node)
    assert selection.select() is None
    clock.advance(7)
    assert selection.select() is not None


def test_node_that_is_asked_follows_the_store_for_a_while(clock):
    zone = Zone(clock, 10)
    last = zone.ranked[-1]
    zone.selections[last].record_request()
    assert zone.followed(last) == last
    clock.advance(5.1)
    assert zone.followed(last) != last


def test_watchers_without_the_store_are_replaced_by_the_next_two(clock):
    zone = Zone(clock, 10)
    first, second, third = zone.ranked[:3]
    selection = zone.selections[zone.ranked[-1]]
    selection.record_store_lost(first)
    selection.record_store_lost(second)
    assert selection.select().node == third
    # The local node steps back as well, although another node asked it.
    zone.selections[first].record_request()
    zone.selections[first].record_store_lost(first)
    assert zone.followed(first) == second
    clock.advance(3.1)
    assert zone.followed(first) == first


def test_outage_of_the_store_is_not_tried_by_all_nodes(clock):
    zone = Zone(clock, 40)
    for node, selection in zone.selections.items():
        for watcher in zone.ranked:
            selection.record_store_lost(watcher)
    assert len(zone.watchers()) <= 4


def test_some_nodes_try_the_store_when_the_watchers_have_lost_it(clock):
    zone = Zone(clock, 40, draw=lambda: 0.01)
    selection = zone.selections[zone.ranked[-1]]
    selection.record_store_lost(zone.ranked[0])
    assert selection.select() is None


def test_first_nodes_in_rank_try_the_store_once_when_a_watcher_has_lost_it(clock):
    """Guards against many calls to a store that is down for all nodes."""
    zone = Zone(clock, 40)
    for _ in range(3):
        for selection in zone.selections.values():
            selection.record_store_lost(zone.ranked[0])
        clock.advance(0.3)
    exploring = [node for node in zone.ranked if zone.selections[node].is_exploring()]
    assert exploring == zone.ranked[1:16]
    assert all(zone.selections[node].is_standby() for node in exploring)
    assert len(zone.watchers()) <= 2
    clock.advance(0.2)
    for node in exploring:
        zone.selections[node].record_store_lost(zone.ranked[0])
        assert not zone.selections[node].is_exploring()


@pytest.mark.parametrize("by_itself", [True, False])
def test_node_tries_the_store_again_after_it_was_reached(clock, by_itself):
    zone = Zone(clock, 40)
    first, second, third = zone.ranked[:3]
    selection = zone.selections[third]
    selection.record_store_lost(first)
    clock.advance(1.1)
    assert not selection.is_exploring()
    if by_itself:
        selection.record_store_reached()
        clock.advance(4.9)
        assert selection.is_exploring()
        clock.advance(0.2)
        assert not selection.is_exploring()
    else:
        selection.record_answer(second)
    selection.record_store_lost(first)
    assert selection.is_exploring()


def test_node_without_rows_asks_another_node_for_them(clock):
    zone = Zone(clock, 10)
    first, second = zone.ranked[:2]
    selection = zone.selections[first]
    assert selection.select(has_rows=False).node == second
    assert selection.select() is None
    assert Zone(clock, 1).selections["n-0"].select(has_rows=False) is None


def test_next_in_rank_is_the_standby(clock):
    zone = Zone(clock, 10)
    for selection in zone.selections.values():
        selection.select()
    standby = [node for node in zone.ranked if zone.selections[node].is_standby()]
    assert standby == [zone.ranked[1]]
    alone = Zone(clock, 1).selections["n-0"]
    alone.select()
    assert not alone.is_standby()


def test_standby_steps_up_when_the_watcher_is_silent(clock):
    zone = Zone(clock, 10)
    first, second, third = zone.ranked[:3]
    for node in (second, third):
        zone.selections[node].record_silence(first)
    assert zone.followed(second) == second
    zone.selections[third].select()
    assert zone.selections[third].is_standby()
