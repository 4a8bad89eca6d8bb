"""Updates of the replica from several sources, in any order."""

from __future__ import annotations

import threading
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cyclamenvane.mesh.replica import StoreReplica, TableCallbacks, TableUpdate
from cyclamenvane.mesh.rows import RowChange, StoredRow, StoreVersion

NO_WAIT = timedelta()


def at(number, epoch=1):
    return StoreVersion(epoch, number)


def put(key, number, value=b"v", epoch=1):
    version = at(number, epoch)
    return RowChange("", key, StoredRow("", key, value, version), version)


def delete(key, number, epoch=1):
    return RowChange("", key, None, at(number, epoch))


class Recorder:
    """A replica of one table, and the keys that its callbacks left."""

    def __init__(self):
        self.rows = {}
        self.replica = StoreReplica({"t": TableCallbacks(self._replace, self._change)})

    def _replace(self, changes, version):
        self.rows = {each.key: each.version.number for each in changes}

    def _change(self, change):
        if change.row:
            self.rows[change.key] = change.version.number
        else:
            self.rows.pop(change.key, None)

    def snapshot(self, number, *changes, epoch=1):
        self.replica.apply(TableUpdate("t", True, changes, at(number, epoch)))

    def update(self, number, *changes, epoch=1):
        self.replica.apply(TableUpdate("t", False, changes, at(number, epoch)))

    def version(self):
        return self.replica.versions()["t"]

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
    assert recorder.version() == at(9)


def test_snapshot_removes_rows_deleted_unseen(recorder):
    recorder.snapshot(5, put("a", 3), put("b", 4))
    recorder.snapshot(20, put("b", 4), put("c", 12))
    assert recorder.rows == {"b": 4, "c": 12}
    update = recorder.updates_since(at(10))
    assert not update.complete
    assert [(each.key, each.row is None) for each in update.changes] == [
        ("c", False),
        ("a", True),
    ]


def test_follower_behind_the_first_snapshot_gets_all_rows(recorder):
    recorder.snapshot(50, put("a", 3), put("b", 49))
    recorder.update(60, delete("b", 55))
    for version in (None, at(40)):
        update = recorder.updates_since(version)
        assert update.complete and update.version == at(60)
        assert [each.key for each in update.changes] == ["a"]


def test_follower_ahead_gets_nothing(recorder):
    recorder.snapshot(5, put("a", 5))
    update = recorder.updates_since(at(9))
    assert update.changes == () and update.version == at(5) and not update.complete


def test_waiting_follower_gets_a_change_at_once(recorder):
    recorder.snapshot(5)
    timer = threading.Timer(0.05, lambda: recorder.update(6, put("a", 6)))
    timer.start()
    (update,) = recorder.replica.wait_for_updates({"t": at(5)}, timedelta(seconds=5))
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
                    each for each in versions if each.version > watcher.version()
                ]
                watcher.update(version, *missing)
        source = data.draw(st.sampled_from(watchers))
        known = follower.version()
        follower.replica.apply(source.updates_since(known))
    for watcher in watchers:
        watcher.update(len(history), *versions)
    known = follower.version()
    follower.replica.apply(watchers[0].updates_since(known))
    assert follower.rows == store


def test_restored_store_replaces_newer_numbers(recorder):
    recorder.snapshot(5, put("a", 3), put("b", 5), put("c", 4))
    recorder.snapshot(4, put("a", 3, epoch=2), put("c", 4, epoch=2), epoch=2)
    assert recorder.rows == {"a": 3, "c": 4}
    recorder.update(5, put("c", 5, epoch=2), epoch=2)
    assert recorder.rows == {"a": 3, "c": 5} and recorder.version() == at(5, 2)


def test_late_update_of_an_earlier_epoch_is_ignored(recorder):
    recorder.snapshot(5, put("a", 3))
    recorder.snapshot(4, put("a", 3, epoch=2), epoch=2)
    recorder.update(9, put("a", 8), put("b", 9))
    recorder.snapshot(9, put("a", 8), put("b", 9))
    assert recorder.rows == {"a": 3} and recorder.version() == at(4, 2)


def test_changes_of_a_restored_store_wait_for_its_rows(recorder):
    recorder.snapshot(5, put("a", 3))
    recorder.update(6, put("b", 6, epoch=2), epoch=2)
    assert recorder.rows == {"a": 3} and recorder.version() == at(5)


def test_follower_of_the_earlier_epoch_gets_all_rows(recorder):
    recorder.snapshot(5, put("a", 3), put("b", 5))
    recorder.snapshot(4, put("a", 3, epoch=2), epoch=2)
    recorder.update(9, put("c", 9, epoch=2), epoch=2)
    update = recorder.updates_since(at(50))
    assert update.complete and sorted(each.key for each in update.changes) == ["a", "c"]
    update = recorder.updates_since(at(4, 2))
    assert not update.complete and [each.key for each in update.changes] == ["c"]


def test_follower_in_a_later_epoch_than_its_watcher_gets_nothing(recorder):
    recorder.snapshot(50, put("a", 3))
    update = recorder.updates_since(at(4, 2))
    assert not update.complete and update.changes == ()


@given(
    st.lists(
        st.tuples(st.sampled_from(["abc", "ab", "restore"]), st.booleans()), max_size=12
    ),
    st.data(),
)
def test_followers_converge_though_the_store_is_restored(history, data):
    """Two watchers read a store that loses its newest changes now and then."""
    rows, version, copies = {}, at(0), [({}, 0)]
    watchers, follower = [Recorder(), Recorder()], Recorder()

    def read_all(watcher):
        changes = [put(key, row.number, epoch=row.epoch) for key, row in rows.items()]
        watcher.snapshot(version.number, *changes, epoch=version.epoch)

    for keys, present in history:
        if keys == "restore":
            copied, number = data.draw(st.sampled_from(copies))
            version = at(number, version.epoch + 1)
            rows = {key: at(row, version.epoch) for key, row in copied.items()}
            copies = [each for each in copies if each[1] <= number]
        else:
            key = data.draw(st.sampled_from(keys))
            version = at(version.number + 1, version.epoch)
            rows = {each: row for each, row in rows.items() if each != key}
            if present:
                rows[key] = version
            copied = {each: row.number for each, row in rows.items()}
            copies.append((copied, version.number))
        for watcher in watchers:
            if data.draw(st.booleans()):
                read_all(watcher)
        source = data.draw(st.sampled_from(watchers))
        for update in source.replica.wait_for_updates(
            {"t": follower.version()}, NO_WAIT
        ):
            follower.replica.apply(update)
    for watcher in watchers:
        read_all(watcher)
    follower.replica.apply(watchers[0].updates_since(follower.version()))
    assert follower.rows == {key: row.number for key, row in rows.items()}
