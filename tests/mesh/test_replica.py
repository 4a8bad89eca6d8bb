"""Updates of the replica from several sources, in any order."""

from __future__ import annotations

import threading
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cyclamenvane.mesh.replica import StoreReplica, TableCallbacks, TableUpdate
from cyclamenvane.mesh.rows import RowChange, StoredRow

NO_WAIT = timedelta()


def put(key, version, value=b"v"):
    return RowChange("", key, StoredRow("", key, value, version), version)


def delete(key, version):
    return RowChange("", key, None, version)


class Recorder:
    """A replica of one table, and the keys that its callbacks left."""

    def __init__(self):
        self.rows = {}
        self.replica = StoreReplica({"t": TableCallbacks(self._replace, self._change)})

    def _replace(self, changes, version):
        self.rows = {each.key: each.version for each in changes}

    def _change(self, change):
        if change.row:
            self.rows[change.key] = change.version
        else:
            self.rows.pop(change.key, None)

    def snapshot(self, version, *changes):
        self.replica.apply(TableUpdate("t", True, changes, version))

    def update(self, version, *changes):
        self.replica.apply(TableUpdate("t", False, changes, version))

    def updates_since(self, version):
        (update,) = self.replica.wait_for_updates({"t": version}, NO_WAIT)
        return update


@pytest.fixture
def recorder():
    return Recorder()


def test_changes_before_the_first_snapshot_are_ignored(recorder):
    recorder.update(5, put("a", 5))
    assert recorder.rows == {} and recorder.replica.versions() == {"t": None}
    assert recorder.replica.wait_for_updates({"t": None}, NO_WAIT) == []


def test_older_updates_do_not_replace_newer_ones(recorder):
    recorder.snapshot(5, put("a", 5))
    recorder.update(9, put("a", 8), delete("b", 9))
    recorder.update(7, put("a", 7), put("b", 6))
    recorder.snapshot(5, put("a", 5), put("c", 4))
    assert recorder.rows == {"a": 8, "c": 4}
    assert recorder.replica.versions() == {"t": 9}


def test_snapshot_removes_rows_deleted_unseen(recorder):
    recorder.snapshot(5, put("a", 3), put("b", 4))
    recorder.snapshot(20, put("b", 4), put("c", 12))
    assert recorder.rows == {"b": 4, "c": 12}
    update = recorder.updates_since(10)
    assert not update.complete
    assert [(each.key, each.row is None) for each in update.changes] == [
        ("c", False),
        ("a", True),
    ]


def test_follower_behind_the_first_snapshot_gets_all_rows(recorder):
    recorder.snapshot(50, put("a", 3), put("b", 49))
    recorder.update(60, delete("b", 55))
    for version in (None, 40):
        update = recorder.updates_since(version)
        assert update.complete and update.version == 60
        assert [each.key for each in update.changes] == ["a"]


def test_follower_ahead_gets_nothing(recorder):
    recorder.snapshot(5, put("a", 5))
    update = recorder.updates_since(9)
    assert update.changes == () and update.version == 5 and not update.complete


def test_waiting_follower_gets_a_change_at_once(recorder):
    recorder.snapshot(5)
    timer = threading.Timer(0.05, lambda: recorder.update(6, put("a", 6)))
    timer.start()
    (update,) = recorder.replica.wait_for_updates({"t": 5}, timedelta(seconds=5))
    assert [each.key for each in update.changes] == ["a"]
    timer.join()


@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), min_size=1, max_size=12),
    st.data(),
)
def test_followers_converge_whatever_they_miss(history, data):
    """Two watchers at different versions serve a follower in random order."""
    store, versions = {}, []
    watchers = [Recorder(), Recorder()]
    for watcher in watchers:
        watcher.snapshot(0)
    follower = Recorder()
    for version, (key, present) in enumerate(history, start=1):
        change = put(key, version) if present else delete(key, version)
        versions.append(change)
        store = {k: v for k, v in store.items() if k != key}
        if present:
            store[key] = version
        for watcher in watchers:
            if data.draw(st.booleans()):
                missing = [
                    each
                    for each in versions
                    if each.version > watcher.replica.versions()["t"]
                ]
                watcher.update(version, *missing)
        source = data.draw(st.sampled_from(watchers))
        known = follower.replica.versions()["t"]
        follower.replica.apply(source.updates_since(known))
    for watcher in watchers:
        watcher.update(len(history), *versions)
    known = follower.replica.versions()["t"]
    follower.replica.apply(watchers[0].updates_since(known))
    assert follower.rows == store
