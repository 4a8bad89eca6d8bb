"""Stand-in for the platform's row store, served over HTTP.

It keeps rows in memory, with transactions, ranges, a feed and a bounded
history. Tests can make it unresponsive or silent, delay its writes, return error
statuses, lose responses, close connections after them, or restore it from a copy.
"""

from __future__ import annotations

import base64
import json
import socket
import threading
import time
from collections import Counter, defaultdict
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


@dataclass(frozen=True)
class StoreCopy:
    """What the store held at a version."""

    version: int
    rows: dict[tuple, dict]
    history: list[dict]


class StoreStandIn:
    """A row store that listens on `address`."""

    def __init__(self) -> None:
        self.version = 0
        self.epoch = 1
        self.rows: dict[tuple, dict] = {}
        self.history: list[dict] = []
        self.oldest = 0
        self.status = 0
        self.lose_responses = False
        self.closes_connections = False
        self.unresponsive = False
        self.write_delay_s = 0.0
        self.silent = False
        self.silences = 0
        self.calls: list[str] = []
        self.waiting_feeds: Counter[str] = Counter()
        self.watched: defaultdict[str, list[int]] = defaultdict(list)
        self._changed = threading.Condition()
        handler = type("Handler", (_Handler,), {"store": self})
        self._server = _Server(("127.0.0.1", 0), handler)
        self.address = self._server.server_address[:2]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self) -> None:
        with self._changed:
            self._changed.notify_all()
        self._server.shutdown()
        self._server.server_close()

    def start_silence(self) -> None:
        """Never answer the calls in progress and those made until `end_silence`."""
        self.silences += 1
        self.silent = True

    def end_silence(self) -> None:
        self.silent = False

    def put(self, table: str, part: str, key: str, value: bytes) -> None:
        row = {"table": table, "part": part, "key": key}
        text = base64.b64encode(value).decode()
        self.transact({"puts": [row | {"value": text}]})

    def discard_history(self) -> None:
        with self._changed:
            self.history.clear()
            self.oldest = self.version
            self._changed.notify_all()

    def copy(self) -> StoreCopy:
        with self._changed:
            return StoreCopy(self.version, dict(self.rows), list(self.history))

    def restore(self, copy: StoreCopy) -> None:
        """Return to a copy, whose successors' versions are given out again."""
        with self._changed:
            self.epoch += 1
            self.version, self.oldest = copy.version, min(self.oldest, copy.version)
            self.rows, self.history = dict(copy.rows), list(copy.history)
            self._changed.notify_all()

    @contextmanager
    def paused(self) -> Iterator[None]:
        """Answer no call until all changes made in the block are complete."""
        with self._changed:
            yield

    def read_row(self, table: str, part: str, key: str) -> bytes | None:
        row = self.rows.get((table, part, key))
        return base64.b64decode(row["value"]) if row else None

    def transact(self, entries: dict) -> tuple[int, dict]:
        with self._changed:
            for row in entries.get("precondition", []):
                current = self.rows.get(_row_id(row))
                if row["rowVersion"] != (current["rowVersion"] if current else 0):
                    rows = [current] if current else []
                    return 412, {"rows": rows, "rowVersion": self.version}
            self.version += 1
            for row in entries.get("puts", []):
                self._store(row | {"rowVersion": self.version})
            for row in entries.get("deletes", []):
                if self.rows.pop(_row_id(row), None):
                    deletion = {"deleted": True, "rowVersion": self.version}
                    self.history.append(row | deletion)
            self._changed.notify_all()
            return 200, {"rowVersion": self.version}

    def read(self, query: dict) -> tuple[int, dict]:
        with self._changed:
            part, table = query.get("part", ""), query["table"]
            start, limit = query.get("rangeStart", ""), int(query.get("limit", 500))
            rows = [
                row
                for (t, p, key), row in sorted(self.rows.items())
                if (t, p) == (table, part) and key >= start
            ]
            has_more = len(rows) > limit
            page = {"rows": rows[:limit], "hasMore": has_more}
            return 200, page | {"rowVersion": self.version}

    def feed(self, query: dict) -> tuple[int, dict]:
        after, deadline = int(query["after"]), time.monotonic()
        deadline += int(query["waitMs"]) / 1000
        with self._changed:
            self.watched[query["table"]].append(int(query["waitMs"]))
            self.waiting_feeds[query["table"]] += 1
            try:
                return self._wait_for_rows(query, after, deadline)
            finally:
                self.waiting_feeds[query["table"]] -= 1

    def _wait_for_rows(
        self, query: dict, after: int, deadline: float
    ) -> tuple[int, dict]:
        while True:
            if not self.oldest <= after <= self.version:
                return 410, {}
            rows = [
                row
                for row in self.history
                if row["table"] == query["table"] and row["rowVersion"] > after
            ]
            remaining = deadline - time.monotonic()
            if rows or remaining <= 0:
                return 200, {"rows": rows, "rowVersion": self.version}
            self._changed.wait(remaining)

    def _store(self, row: dict) -> None:
        self.rows[_row_id(row)] = row
        self.history.append(row)


class StoreDoor:
    """Another address of a store, whose calls can fail on their own."""

    def __init__(self, store: StoreStandIn) -> None:
        self.status = 0
        self._store = store
        handler = type("Handler", (_Handler,), {"store": self})
        self._server = _DoorServer(("127.0.0.1", 0), handler)
        self.address = self._server.server_address[:2]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def __getattr__(self, name: str):
        return getattr(self._store, name)

    def turn_away(self) -> None:
        """Close all connections, also those that wait, and each new one at once."""
        self._server.turn_away()

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()


def _row_id(row: dict) -> tuple[str, str, str]:
    return row["table"], row.get("part", ""), row["key"]


class _Server(ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, request, client_address) -> None:
        """Ignore errors: test clients often disconnect during a call."""


class _DoorServer(_Server):
    def __init__(self, *arguments) -> None:
        self.turned_away = False
        self._connections: list[socket.socket] = []
        super().__init__(*arguments)

    def process_request(self, request, client_address) -> None:
        self._connections.append(request)
        if self.turned_away:
            self.shutdown_request(request)
        else:
            super().process_request(request, client_address)

    def turn_away(self) -> None:
        self.turned_away = True
        for connection in self._connections:
            with suppress(OSError):  # closed by the client
                connection.shutdown(socket.SHUT_RDWR)


class _Handler(BaseHTTPRequestHandler):
    store: StoreStandIn
    protocol_version = "HTTP/1.1"

    def log_message(self, *args) -> None:
        return

    def do_GET(self) -> None:
        parts = urlsplit(self.path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        calls = {"/api/rows-get": self.store.read, "/api/rows-feed": self.store.feed}
        self._answer(parts.path, lambda: calls[parts.path](query))

    def do_POST(self) -> None:
        body = self.rfile.read(int(self.headers["Content-Length"]))
        time.sleep(self.store.write_delay_s)
        self._answer(self.path, lambda: self.store.transact(json.loads(body)))

    def _answer(self, path: str, perform) -> None:
        store = self.store
        store.calls.append(path)
        silences, lost = store.silences, store.silent
        while store.unresponsive:
            time.sleep(0.02)
        status, document = (store.status, {}) if store.status else perform()
        if lost or store.silences != silences:
            self.rfile.read(1)  # until the client closes the connection
            self.close_connection = True
            return
        if store.lose_responses:
            self.close_connection = True
            return
        data = json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.send_header("Store-Era", str(store.epoch))
        if store.closes_connections:
            self.send_header("Connection", "close")
        self.end_headers()
        self.wfile.write(data)
