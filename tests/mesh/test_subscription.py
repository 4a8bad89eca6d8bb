"""Following a table through outages, lost history and many changes."""

from __future__ import annotations

import random
from collections import deque
from datetime import timedelta

import pytest
from expression import Error, Ok

from cyclamenvane.mesh.publication import Publication, decode_record, encode_record
from cyclamenvane.mesh.rows import (
    RowChange,
    RowsError,
    RowsFailure,
    RowsPage,
    StoredRow,
)
from cyclamenvane.mesh.subscription import Subscription
from cyclamenvane.platform.store import RowsClient

from builders import make_record  # isort: skip

DOWN = Error(RowsError(RowsFailure.UNAVAILABLE))
GONE = Error(RowsError(RowsFailure.HISTORY_GONE))


def change(key, value=b"v"):
    return RowChange("", key, StoredRow("", key, value, 1))


class Pauses:
    """Counts pauses, and ends the node after some of them."""

    def __init__(self, most):
        self.taken, self._most = [], most

    def __call__(self, duration):
        self.taken.append(duration)
        return not self.has_ended()

    def has_ended(self):
        return len(self.taken) >= self._most


class ScriptedStore:
    """Answers calls from a script, then as if nothing changed."""

    def __init__(self, reads, watches):
        self.reads, self.watches = deque(reads), deque(watches)
        self.asked = []

    def read(self, table, part):
        return self.reads.popleft() if self.reads else Ok(RowsPage((), 9))

    def watch(self, table, after, wait):
        self.asked.append(after)
        return self.watches.popleft() if self.watches else DOWN

    def close(self):
        return


def follow(store, pauses):
    seen = []
    Subscription(
        store,
        "t",
        lambda: [""],
        lambda rows: seen.append([row.key for row in rows]),
        lambda row: seen.append(row.key),
        lambda reached, detail: None,
        lambda: timedelta(seconds=7),
        pauses,
    ).run()
    return seen


def test_changes_follow_the_snapshot_and_are_gathered():
    store = ScriptedStore(
        [Ok(RowsPage((change("a"),), 5))], [Ok(RowsPage((change("b"),), 6))]
    )
    pauses = Pauses(2)
    assert follow(store, pauses) == [["a"], "b"]
    assert store.asked[:2] == [5, 6]
    assert pauses.taken[0] == timedelta(seconds=7)


def test_lost_history_is_made_up_for_by_a_snapshot():
    store = ScriptedStore(
        [Ok(RowsPage((change("a"),), 5)), Ok(RowsPage((change("c"),), 20))], [GONE]
    )
    assert follow(store, Pauses(1)) == [["a"], ["c"]]
    assert store.asked == [5, 20]


def test_an_outage_is_waited_out_with_growing_pauses():
    random.seed(1)
    store = ScriptedStore([DOWN] * 6 + [Ok(RowsPage((change("a"),), 5))], [])
    pauses = Pauses(8)
    assert follow(store, pauses) == [["a"]]
    assert max(pauses.taken) <= timedelta(seconds=1)
    assert pauses.taken[4] > pauses.taken[0]


@pytest.fixture
def written(store):
    """Return what is stored of a record, and a way to publish one."""

    def publish(record, rounds=1):
        client = RowsClient(store.address, timedelta(seconds=1))
        made = Publication(client, lambda: record, Pauses(10**6))
        for _ in range(rounds):
            made._write()
        client.close()
        rows = [row for place, row in store.rows.items() if place[2] == record.node]
        return made, rows

    return publish


def test_a_record_is_written_over_an_earlier_run(written):
    written(make_record("n", run=1))
    _, rows = written(make_record("n", run=2))
    assert len(rows) == 1


def test_a_lost_answer_does_not_undo_a_newer_record(written, store):
    made, _ = written(make_record("n", run=1))
    store.lose_answers = True
    assert not made._write()
    store.lose_answers = False
    assert made._write()


def test_records_of_other_writers_are_no_records():
    record = make_record("n")
    assert decode_record(encode_record(record)) == record
    assert decode_record(b"\xff\xff") is None
    assert decode_record(b"\x93\x01\x02\x03") is None
