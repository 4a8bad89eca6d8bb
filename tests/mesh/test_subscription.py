"""Subscriptions during outages, lost history and many changes; record writes."""

from __future__ import annotations

import random
from collections import deque
from datetime import timedelta

import pytest
from expression import Error, Ok

from cyclamenvane.mesh.publication import RecordPublisher, decode_record, encode_record
from cyclamenvane.mesh.replica import StoreReplica, TableCallbacks
from cyclamenvane.mesh.rows import (
    RowChange,
    RowsError,
    RowsFailure,
    RowsPage,
    StoredRow,
    StoreVersion,
)
from cyclamenvane.mesh.store_watch import StoreWatch
from cyclamenvane.mesh.subscription import Subscription, compute_watch_timeout
from cyclamenvane.platform.store import RowsClient

from builders import make_record  # isort: skip

WATCH_TIMEOUT = timedelta(seconds=1.5)
STANDBY_TIMEOUT = timedelta(seconds=8)
UNAVAILABLE_RESULT = Error(RowsError(RowsFailure.UNAVAILABLE))
HISTORY_GONE_RESULT = Error(RowsError(RowsFailure.HISTORY_GONE))


def at(number, epoch=1):
    return StoreVersion(epoch, number)


def change(key, value=b"v"):
    return RowChange("", key, StoredRow("", key, value, at(1)))


class FakeSleep:
    """Records durations, and stops the node after a number of them."""

    def __init__(self, limit):
        self.durations, self._limit = [], limit

    def __call__(self, duration):
        self.durations.append(duration)
        return not self.is_stopped()

    def is_stopped(self):
        return len(self.durations) >= self._limit


class ScriptedStore:
    """Answers calls with given results, then with an empty read or an outage."""

    def __init__(self, reads, watches):
        self.reads, self.watches = deque(reads), deque(watches)
        self.watched_versions, self.watch_timeouts = [], []
        self.on_watch = lambda: None

    def read(self, table, part):
        return self.reads.popleft() if self.reads else Ok(RowsPage((), at(9)))

    def watch(self, table, after, wait):
        self.watched_versions.append(after.number)
        self.watch_timeouts.append(wait)
        self.on_watch()
        return self.watches.popleft() if self.watches else UNAVAILABLE_RESULT

    def interrupt(self):
        return

    def close(self):
        return


def follow(
    store,
    sleep,
    clock,
    on_result=lambda reached, detail: None,
    on_current=lambda at: None,
):
    received = []
    callbacks = TableCallbacks(
        lambda rows, version: received.append([row.key for row in rows]),
        lambda row: received.append(row.key),
    )
    store_watch = StoreWatch(["t"], clock)
    store_watch.follow_all()
    Subscription(
        store,
        "t",
        lambda: [""],
        StoreReplica({"t": callbacks}),
        store_watch,
        on_result,
        on_current,
        WATCH_TIMEOUT,
        STANDBY_TIMEOUT,
        clock,
        sleep,
    ).run()
    return received


def test_changes_follow_the_snapshot_and_are_batched(clock):
    changes = [
        Ok(RowsPage((change(key),), at(6 + n))) for n, key in enumerate("bcdefg")
    ]
    store = ScriptedStore([Ok(RowsPage((change("a"),), at(5)))], changes)
    sleep = FakeSleep(6)
    assert follow(store, sleep, clock) == [["a"], *"bcdefg"]
    assert store.watched_versions[:2] == [5, 6]
    # The faster the changes come, the more of them one read covers.
    milliseconds = [each / timedelta(milliseconds=1) for each in sleep.durations]
    assert milliseconds == [60, 120, 240, 480, 480, 480]


def test_first_change_after_a_quiet_time_is_not_delayed(clock):
    changes = [Ok(RowsPage((change(key),), at(6 + n))) for n, key in enumerate("bcd")]
    store = ScriptedStore([Ok(RowsPage((change("a"),), at(5)))], changes)
    store.on_watch = lambda: clock.advance(1.0)
    sleep = FakeSleep(3)
    follow(store, sleep, clock)
    assert set(sleep.durations) == {timedelta(milliseconds=60)}


def test_lost_history_is_replaced_by_a_snapshot(clock):
    store = ScriptedStore(
        [Ok(RowsPage((change("a"),), at(5))), Ok(RowsPage((change("c"),), at(20)))],
        [HISTORY_GONE_RESULT],
    )
    assert follow(store, FakeSleep(1), clock) == [["a"], ["c"]]
    assert store.watched_versions == [5, 20]


def test_history_that_is_gone_again_and_again_is_read_with_increasing_delays(clock):
    store = ScriptedStore([], [HISTORY_GONE_RESULT] * 30)
    sleep = FakeSleep(8)
    follow(store, sleep, clock)
    assert len(store.watched_versions) == 9
    assert sleep.durations[4] > sleep.durations[0]
    assert max(sleep.durations) <= timedelta(seconds=1)


def test_restored_store_ends_the_waits_for_other_tables(clock):
    store_watch = StoreWatch(["t", "u"], clock)
    interrupted = []
    for table in ("t", "u"):
        store_watch.on_new_epoch(table, lambda table=table: interrupted.append(table))
        store_watch.record_epoch(table, 1)
    store_watch.record_epoch("t", 1)
    assert not interrupted
    store_watch.record_epoch("t", 2)
    store_watch.record_epoch("t", 2)
    store_watch.record_epoch("u", 2)
    assert interrupted == ["u"]


def test_an_outage_is_retried_with_increasing_delays(clock):
    random.seed(1)
    store = ScriptedStore(
        [UNAVAILABLE_RESULT] * 6 + [Ok(RowsPage((change("a"),), at(5)))], []
    )
    sleep = FakeSleep(8)
    assert follow(store, sleep, clock) == [["a"]]
    assert max(sleep.durations) <= timedelta(seconds=1)
    assert sleep.durations[4] > sleep.durations[0]


def test_a_failure_is_reported_with_how_long_the_call_had_waited(clock):
    store = ScriptedStore([Ok(RowsPage((), at(5)))], [])
    store.on_watch = lambda: clock.advance(2.5)
    results = []
    follow(store, FakeSleep(1), clock, lambda *result: results.append(result))
    assert results == [(True, "t"), (False, "t: unavailable after 2500 ms ")]


def test_retry_does_not_let_the_store_wait(clock):
    answer = Ok(RowsPage((), at(5)))
    store = ScriptedStore([answer], [UNAVAILABLE_RESULT, UNAVAILABLE_RESULT, answer])
    follow(store, FakeSleep(3), clock)
    assert store.watch_timeouts == [
        WATCH_TIMEOUT,
        timedelta(),
        timedelta(),
        WATCH_TIMEOUT,
    ]


@pytest.mark.parametrize("recovery_s", [2, 3, 6])
def test_lost_answer_is_noticed_within_the_recovery_time(recovery_s):
    recovery_time, call_timeout = timedelta(seconds=recovery_s), timedelta(seconds=1)
    timeout = compute_watch_timeout(recovery_time, call_timeout)
    assert timeout > timedelta()
    assert timeout + call_timeout < recovery_time


def test_a_short_recovery_time_does_not_make_the_calls_continuous():
    timeout = compute_watch_timeout(timedelta(), timedelta(seconds=1))
    assert timeout >= timedelta(milliseconds=500)


def make_publisher(client, record) -> RecordPublisher:
    return RecordPublisher(
        client, lambda: record, lambda record: None, FakeSleep(10**6)
    )


@pytest.fixture
def publish_record(store):
    """Return a function that publishes a record and returns the stored rows."""

    def publish(record, rounds=1):
        client = RowsClient(store.address, timedelta(seconds=1))
        publisher = make_publisher(client, record)
        for _ in range(rounds):
            publisher._write()
        client.close()
        rows = [row for row_key, row in store.rows.items() if row_key[2] == record.node]
        return publisher, rows

    return publish


def test_a_record_replaces_that_of_an_earlier_process(publish_record):
    publish_record(make_record("n", session=1))
    _, rows = publish_record(make_record("n", session=2))
    assert len(rows) == 1


def test_a_lost_answer_does_not_undo_a_newer_record(publish_record, store):
    publisher, _ = publish_record(make_record("n", session=1))
    publisher.request_rewrite(
        at(store.version)
    )  # an unchanged record would not be written
    store.lose_responses = True
    assert not publisher._write()
    store.lose_responses = False
    assert publisher._write()


def test_unchanged_record_is_written_once(publish_record, store):
    publish_record(make_record("n"), rounds=3)
    assert store.calls.count("/api/rows-tx") == 1


def test_record_written_after_an_older_snapshot_is_not_written_again(
    publish_record, store
):
    publisher, _ = publish_record(make_record("n"))
    publisher.request_rewrite(at(store.version - 1))
    assert publisher._write()
    assert store.calls.count("/api/rows-tx") == 1
    publisher.request_rewrite(at(store.version))
    assert publisher._write()
    assert store.calls.count("/api/rows-tx") == 2


def test_record_lost_by_a_restored_store_is_written_again(publish_record, store):
    copy = store.copy()
    publisher, _ = publish_record(make_record("n"))
    store.restore(copy)
    publisher.request_rewrite(at(copy.version, epoch=2))
    assert publisher._write()
    assert store.calls.count("/api/rows-tx") == 2
    assert publisher._write()
    assert store.calls.count("/api/rows-tx") == 2


def test_record_acknowledged_just_before_a_restore_is_written_again(store):
    """The nodes have read the restored store before the acknowledgement arrives."""
    client = RowsClient(store.address, timedelta(seconds=1))
    publisher = make_publisher(client, make_record("n"))
    copy, write = store.copy(), client.write

    def write_and_restore(writes):
        result = write(writes)
        store.restore(copy)
        publisher.request_rewrite(at(copy.version, epoch=2))
        return result

    client.write = write_and_restore
    assert publisher._write()
    client.write = write
    assert publisher._write()
    assert len(store.rows) == 1
    client.close()


def test_known_row_version_saves_the_read(store):
    client = RowsClient(store.address, timedelta(seconds=1))
    publisher = make_publisher(client, make_record("n"))
    publisher.offer_row(at(0), None)
    assert publisher._write()
    assert store.calls == ["/api/rows-tx"]
    client.close()


def test_invalid_data_is_not_decoded_as_a_record():
    record = make_record("n")
    assert decode_record(encode_record(record)) == record
    assert decode_record(b"\xff\xff") is None
    assert decode_record(b"\x93\x01\x02\x03") is None
