"""Client of the row store against a stand-in with injected faults."""

from __future__ import annotations

import socket
import threading
import time
from datetime import timedelta

import pytest

from cyclamenvane.http_client import HTTPConnection
from cyclamenvane.mesh.message import RequestReader
from cyclamenvane.mesh.model import CallerLimits
from cyclamenvane.mesh.rows import RowsFailure, RowWrite, StoreVersion
from cyclamenvane.platform.store import RowsClient

TIMEOUT = timedelta(milliseconds=300)


@pytest.fixture
def client(store):
    rows_client = RowsClient(store.address, TIMEOUT)
    yield rows_client
    rows_client.close()


def keys(page):
    return [change.key for change in page.ok.changes]


def test_rows_are_written_and_read_in_order(client, store):
    for key in ("b", "a", "c"):
        assert client.write([RowWrite("t", "p", key, key.encode(), 0)]).is_ok()
    page = client.read("t", "p")
    assert keys(page) == ["a", "b", "c"]
    assert page.ok.changes[0].row.value == b"a"
    assert page.ok.version == StoreVersion(1, 3)
    assert keys(client.read("t", "other")) == []


def test_read_returns_the_rows_of_several_pages(client, store, monkeypatch):
    monkeypatch.setattr("cyclamenvane.platform.store._PAGE_ROWS", 3)
    for number in range(10):
        store.put("t", "", f"k{number}", b"v")
    assert keys(client.read("t", "")) == [f"k{number}" for number in range(10)]


def test_write_requires_the_expected_version(client):
    version = client.write([RowWrite("t", "", "k", b"1", 0)]).ok
    conflict = client.write([RowWrite("t", "", "k", b"2", 0)])
    assert conflict.error.failure is RowsFailure.CONFLICT
    assert client.write([RowWrite("t", "", "k", b"2", version.number)]).is_ok()


def test_watch_returns_on_the_first_change(client, store):
    store.put("t", "", "k", b"1")
    threading.Timer(0.1, store.put, ("t", "", "k", b"2")).start()
    page = client.watch("t", StoreVersion(1, store.version), timedelta(seconds=5))
    assert page.ok.changes[0].row.value == b"2"
    client.write([RowWrite("t", "", "k", None)])
    deletion = client.watch("t", page.ok.version, timedelta(seconds=5))
    assert deletion.ok.changes[0].row is None


def test_watch_without_changes_ends_after_its_wait(client, store):
    store.put("t", "", "k", b"1")
    page = client.watch("t", StoreVersion(1, store.version), timedelta(milliseconds=50))
    assert page.ok.changes == () and page.ok.version.number == store.version


def test_watch_from_discarded_history_fails(client, store):
    store.put("t", "", "k", b"1")
    store.discard_history()
    page = client.watch("t", StoreVersion(1, 0), TIMEOUT)
    assert page.error.failure is RowsFailure.HISTORY_GONE


@pytest.mark.parametrize("status", [429, 503])
def test_call_rejected_by_a_busy_store_has_no_effect(client, store, status):
    store.status = status
    written = client.write([RowWrite("t", "", "k", b"1")])
    assert written.error.failure is RowsFailure.UNAVAILABLE
    assert not store.rows


def test_lost_answer_leaves_the_outcome_unknown(client, store):
    store.lose_responses = True
    written = client.write([RowWrite("t", "", "k", b"1", 0)])
    assert written.error.failure is RowsFailure.UNKNOWN
    store.lose_responses = False
    assert keys(client.read("t", "")) == ["k"]


def test_call_to_an_unresponsive_store_times_out(client, store):
    store.unresponsive = True
    read = client.read("t", "")
    assert read.error.failure is RowsFailure.UNKNOWN
    store.unresponsive = False
    assert client.read("t", "").is_ok()


def test_refused_connection_means_unavailable():
    client = RowsClient(("127.0.0.1", 9), TIMEOUT)
    assert client.read("t", "").error.failure is RowsFailure.UNAVAILABLE


def test_endless_response_is_bounded(client, store, monkeypatch):
    monkeypatch.setattr("cyclamenvane.platform.store._MAX_RESPONSE_BYTES", 1000)
    store.put("t", "", "k", b"v" * 2000)
    result = client.read("t", "")
    assert result.error.failure is RowsFailure.UNKNOWN
    monkeypatch.undo()
    assert keys(client.read("t", "")) == ["k"]


def test_version_names_the_epoch_of_a_restored_store(client, store):
    store.put("t", "", "k", b"1")
    store.restore(store.copy())
    page = client.read("t", "")
    assert page.ok.version == page.ok.changes[0].version == StoreVersion(2, 1)
    assert client.write([RowWrite("t", "", "k", b"2", 1)]).ok == StoreVersion(2, 2)


def test_watch_from_a_version_that_a_restored_store_lacks_fails(client, store):
    copy = store.copy()
    store.put("t", "", "k", b"1")
    store.restore(copy)
    page = client.watch("t", StoreVersion(1, 1), TIMEOUT)
    assert page.error.failure is RowsFailure.HISTORY_GONE and page.error.epoch == 2


def test_watch_from_a_version_of_the_earlier_epoch_fails(client, store):
    """The store has a version of that number again."""
    copy = store.copy()
    store.put("t", "", "k", b"1")
    store.restore(copy)
    for value in (b"2", b"3"):
        store.put("t", "", "k", value)
    page = client.watch("t", StoreVersion(1, 1), TIMEOUT)
    assert page.error.failure is RowsFailure.HISTORY_GONE
    assert client.watch("t", StoreVersion(2, 1), TIMEOUT).is_ok()


def test_read_fails_if_the_store_is_restored_between_two_pages(
    client, store, monkeypatch
):
    monkeypatch.setattr("cyclamenvane.platform.store._PAGE_ROWS", 2)
    for number in range(4):
        store.put("t", "", f"k{number}", b"v")
    read, pages = store.read, []

    def read_and_restore(query):
        pages.append(read(query))
        if len(pages) == 2:
            store.restore(store.copy())
        return pages[-1]

    store.read = read_and_restore
    assert client.read("t", "").error.failure is RowsFailure.HISTORY_GONE
    assert len(keys(client.read("t", ""))) == 4


def test_interrupted_watch_fails_at_once(client, store):
    store.put("t", "", "k", b"1")
    client.interrupt()
    threading.Timer(0.1, client.interrupt).start()
    started_at = time.monotonic()
    page = client.watch("t", StoreVersion(1, store.version), timedelta(seconds=5))
    assert page.error.failure is RowsFailure.UNKNOWN
    assert time.monotonic() - started_at < 1.0
    assert client.read("t", "").is_ok()


def test_call_after_the_store_has_closed_the_connection_opens_another(client, store):
    """Guards against an exception that ended the daemon: a response with
    `Connection: close`, as a store sends that is stopping, leaves no socket."""
    store.closes_connections = True
    assert client.write([RowWrite("t", "", "k", b"1", 0)]).is_ok()
    assert keys(client.read("t", "")) == ["k"]
    store.status = 503
    assert client.read("t", "").error.failure is RowsFailure.UNAVAILABLE
    assert client.read("t", "").error.failure is RowsFailure.UNAVAILABLE


class RepeatingStore:
    """Refuses the first call, and writes the refusal again before the next response.

    With `at_once`, it does so right after the refusal.
    """

    _HEAD = b"HTTP/1.1 %s\r\nStore-Era: 1\r\nContent-Length: %d\r\n\r\n%s"

    def __init__(self, at_once: bool) -> None:
        self._at_once = at_once
        self._refusals = 0
        self.performed = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        refusal = self._HEAD % (b"503 Service Unavailable", 2, b"{}")
        copy = b""
        reader = RequestReader(CallerLimits())
        with sock:
            while data := sock.recv(65536):
                reader.feed(data)
                if not reader.complete_requests:
                    continue
                reader.complete_requests.clear()
                if not self._refusals:
                    self._refusals += 1
                    sock.sendall(refusal * (2 if self._at_once else 1))
                    copy = b"" if self._at_once else refusal
                    continue
                self.performed += 1
                document = b'{"rowVersion":%d}' % self.performed
                sock.sendall(copy + self._HEAD % (b"200 OK", len(document), document))


@pytest.mark.parametrize("at_once", [True, False])
def test_refusal_that_is_written_again_is_none_of_the_next_call(at_once):
    """Guards against a write that counts as not done though the store has done it."""
    repeating = RepeatingStore(at_once)
    client = RowsClient(repeating.address, TIMEOUT)
    write = [RowWrite("t", "", "k", b"1")]
    assert client.write(write).error.failure is RowsFailure.UNAVAILABLE
    for number in range(1, 4):
        assert client.write(write).ok == StoreVersion(1, number)
    repeating.close()


def test_interrupt_ends_a_call_that_is_connecting(monkeypatch):
    """Guards against a watch that goes on for its whole wait."""
    listener = socket.create_server(("127.0.0.1", 0))
    client = RowsClient(listener.getsockname(), timedelta(seconds=20))
    connect = HTTPConnection.connect

    def connect_and_interrupt(connection) -> None:
        connect(connection)
        client.interrupt()

    monkeypatch.setattr(HTTPConnection, "connect", connect_and_interrupt)
    watched = client.watch("t", StoreVersion(1, 1), timedelta(seconds=20))
    assert watched.error.failure is RowsFailure.UNAVAILABLE
    listener.close()


def test_interrupt_between_two_calls_ends_the_next_one(client, store):
    """Guards against a node that becomes a watcher and goes on with a long watch."""
    client.read("t", "")
    client.interrupt()
    watched = client.watch("t", StoreVersion(1, 0), timedelta(seconds=20))
    assert watched.error.failure is RowsFailure.UNAVAILABLE
    assert client.read("t", "").is_ok()
