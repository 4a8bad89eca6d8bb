"""Refusals that a target writes once more on a connection."""

from __future__ import annotations

import socket
import threading
import time
from datetime import timedelta

import pytest
from target_standin import TargetStandIn, make_response

from cyclamenvane.clock import SystemClock
from cyclamenvane.mesh.heads import find_header
from cyclamenvane.mesh.memory import MemoryBudget
from cyclamenvane.mesh.upstream import ExchangeOutcome, Upstream
from cyclamenvane.mesh.watch import watch_no_caller
from cyclamenvane.platform.headers import HEADERS

NOT_RUN = b"X-Not-Executed: 1\r\n"
UNAVAILABLE = b"503 Service Unavailable"
CALLS = 5
LARGE = b"x" * 8_000_000  # more than the buffers of a connection


def make_refusal(attempt: bytes | None) -> bytes:
    """Return a refusal of an attempt, or one that names none."""
    named = b"X-Attempt-Id: %s\r\n" % attempt if attempt else b""
    return (
        b"HTTP/1.1 503 Service Unavailable\r\n%sX-Not-Executed: 1\r\n"
        b"Content-Length: 0\r\n\r\n" % named
    )


def list_executed(member) -> list[bytes]:
    return [
        find_header(each.headers, b"x-attempt-id") for each in member.target.executed
    ]


@pytest.mark.parametrize("path", ["/items/", "/orders/"])
@pytest.mark.parametrize("named", [None, b"earlier"])
def test_refusal_of_an_earlier_call_is_none_of_one_that_is_running(pair, path, named):
    """Guards against a call that is refused though it runs, or runs elsewhere too."""
    entry, remote = pair

    def respond(sock, request):
        sock.sendall(make_refusal(named))
        time.sleep(0.05)
        return remote.target.execute(sock, request)

    remote.target.script = respond
    attempts = [f"s{number}" for number in range(CALLS)]
    method = "GET" if path == "/items/" else "POST"
    for attempt in attempts:
        assert entry.call(path, method, attempt=attempt).status == 200
    assert list_executed(remote) == [each.encode() for each in attempts]


class CopyingTarget:
    """Rejects each second attempt, and writes the rejections again at any time.

    `named` is whether the copies have the attempt header.
    """

    def __init__(self, target: TargetStandIn, named: bool) -> None:
        self.target, self._named = target, named
        self._lock = threading.Lock()
        self._earlier: dict[socket.socket, bytes] = {}
        self._sends = 0
        self.copies = 0

    def respond(self, sock, request) -> bytes:
        attempt = find_header(request.headers, b"x-attempt-id")
        with self._lock:
            self._sends += 1
            number, earlier = self._sends, self._earlier.get(sock)
        if earlier and number % 3 == 0:
            self._copy(sock, earlier)
            time.sleep(0.01)
        if number % 2:
            self._earlier[sock] = make_refusal(attempt if self._named else None)
            return make_refusal(attempt)
        response = self.target.execute(sock, request)
        if earlier and number % 4 == 0:
            threading.Timer(0.002, self._copy, (sock, earlier)).start()
        return response

    def _copy(self, sock: socket.socket, refusal: bytes) -> None:
        self.copies += 1
        try:
            sock.sendall(refusal)
        except OSError:
            return  # the node has closed the connection


@pytest.mark.parametrize("named", [True, False])
@pytest.mark.parametrize("path", ["/items/", "/orders/"])
def test_calls_beside_each_other_take_no_copy_of_a_refusal(pair, path, named):
    """Guards against a copy that counts as the response to another call."""
    entry, remote = pair
    target = CopyingTarget(remote.target, named)
    remote.target.script = target.respond
    statuses: dict[str, int] = {}
    method = "GET" if path == "/items/" else "POST"

    def call_on(caller: int) -> None:
        for number in range(40):
            attempt = f"c{caller}-{number}"
            statuses[attempt] = entry.call(path, method, attempt=attempt).status

    threads = [threading.Thread(target=call_on, args=(each,)) for each in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(60)
    executed = list_executed(remote)
    assert target.copies
    assert len(set(executed)) == len(executed), "a call ran twice"
    refused = {each.encode() for each in statuses if statuses[each] in (429, 503)}
    assert not refused.intersection(executed), "refused, and run"
    answered = {each.encode() for each in statuses if statuses[each] == 200}
    assert answered <= set(executed)


def make_upstream(address) -> Upstream:
    memory = MemoryBudget(1_000_000, SystemClock())
    return Upstream(address, HEADERS, 1_000_000, memory, SystemClock())


def exchange(upstream, attempt: bytes | None, body: bytes = b""):
    """Send one call that is not idempotent; return its result."""
    clock = SystemClock()
    named = b"X-Attempt-Id: %s\r\n" % attempt if attempt else b""
    head = b"POST /orders/ HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n"
    head %= named, len(body)
    until = clock.monotonic() + timedelta(seconds=5)
    return upstream.exchange(head, body, attempt, False, watch_no_caller(clock), until)


def test_call_without_an_attempt_header_has_a_connection_of_its_own():
    """Guards against a copy that nothing tells from the response to such a call."""
    target = TargetStandIn()
    upstream = make_upstream(target.address)
    target.script = lambda sock, request: make_response(request, b"whole")
    exchange(upstream, b"a1")
    target.script = lambda sock, request: (
        b"HTTP/1.1 200 OK\r\nX-Upstream-Signature: s\r\nContent-Length: 5\r\n\r\nwhole"
    )
    for number in range(3):
        assert exchange(upstream, None).body == b"whole"
        assert upstream.opened == 2 + number
    target.close()


def test_refusal_that_is_written_again_during_an_upload_does_not_end_it():
    """Guards against a body that is not sent on, for which the target waits."""
    listener = socket.create_server(("127.0.0.1", 0))
    received = []

    def serve() -> None:
        sock, _ = listener.accept()
        with sock:
            data = sock.recv(65536)
            sock.sendall(make_refusal(b"earlier"))
            time.sleep(0.1)
            size = len(data) - data.index(b"\r\n\r\n") - 4
            while size < len(LARGE):
                size += len(sock.recv(65536))
            received.append(size)
            sock.sendall(
                b"HTTP/1.1 200 OK\r\nX-Attempt-Id: u1\r\nX-Upstream-Signature: s\r\n"
                b"Content-Length: 5\r\n\r\nwhole"
            )
            sock.recv(1)

    threading.Thread(target=serve, daemon=True).start()
    result = exchange(make_upstream(listener.getsockname()), b"u1", LARGE)
    listener.close()
    assert received == [len(LARGE)]
    assert result.outcome is ExchangeOutcome.ANSWERED and result.body == b"whole"


def test_early_refusal_in_pieces_is_read_whole_during_an_upload():
    """Guards against a refused upload that counts as broken off."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        sock, _ = listener.accept()
        with sock:
            sock.recv(65536)
            refusal = make_refusal(b"u1")
            for piece in (refusal[:20], refusal[20:]):
                sock.sendall(piece)
                time.sleep(0.1)
            sock.recv(1)

    threading.Thread(target=serve, daemon=True).start()
    result = exchange(make_upstream(listener.getsockname()), b"u1", LARGE)
    listener.close()
    assert result.outcome is ExchangeOutcome.ANSWERED and result.status == 503
