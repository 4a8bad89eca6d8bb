"""Targets that send bytes that are no response until the connection is closed."""

from __future__ import annotations

import time
import tracemalloc
from concurrent.futures import ThreadPoolExecutor

import pytest
from mesh_harness import make_request, route, wait_until
from target_standin import make_response

from cyclamenvane.mesh.heads import find_header
from cyclamenvane.mesh.message import RequestReader
from cyclamenvane.mesh.model import CallerLimits
from cyclamenvane.mesh.response import ResponseReader
from cyclamenvane.mesh.upstream import MAX_OVERHEAD_BYTES

HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Upstream-Signature: s-a1\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
PIECE = b"x" * 8192
# The socket buffers of the connection hold some of what the target sends.
BUFFERED_BYTES = 8 * 1024 * 1024


def send_endless(member, start, piece, seconds=20):
    """Make the target send `start`, then `piece` until the connection is closed."""
    sent = []

    def script(sock, request):
        member.target.executed.append(request)
        sock.settimeout(seconds)
        total = len(start)
        try:
            sock.sendall(start)
            while True:
                sock.sendall(piece)
                total += len(piece)
        except OSError:
            sent.append(total)
        return None

    member.target.script = script
    return sent


@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (b"", PIECE),
        (b"HTTP/1.1 200 ", PIECE),
        (HEAD + b"X-Long: ", PIECE),
        (HEAD, b"X-Line: " + PIECE + b"\r\n"),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 300),
        (CHUNKED + b"5;", PIECE),
        (CHUNKED, b"1;" + PIECE + b"\r\nx\r\n"),
        (CHUNKED + b"0\r\n", b"X-Line: " + PIECE + b"\r\n"),
        (b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n\r\n", PIECE),
    ],
    ids=[
        "no head",
        "status line",
        "header value",
        "header lines",
        "interim responses",
        "chunk extension",
        "chunk extensions",
        "trailer",
        "body of another request",
    ],
)
def test_endless_bytes_are_bounded(pair, start, piece):
    entry, remote = pair
    sent = send_endless(remote, start, piece)
    response = entry.call("/orders/", "POST", b"x", deadline_ms=4000)
    assert response.status == 502, "it may have run"
    assert response.took < 2.0
    wait_until(lambda: sent)
    assert sent[0] <= MAX_OVERHEAD_BYTES + BUFFERED_BYTES
    assert len(remote.target.executed) == 1
    assert remote.node.gate.load().in_flight == 0
    remote.target.script = None
    assert entry.call("/orders/", "POST", b"x").status == 200


def test_endless_body_is_bounded_by_a_share_of_the_memory(pair):
    entry, remote = pair
    sent = send_endless(remote, HEAD + b"\r\n", PIECE * 32)
    response = entry.call("/orders/", "POST", b"x", deadline_ms=9000)
    assert response.status == 502
    wait_until(lambda: sent)
    assert sent[0] <= remote.settings.memory_bytes * 0.1 + BUFFERED_BYTES
    assert remote.node.gate.load().in_flight == 0


def test_body_that_does_not_arrive_ends_at_the_deadline_with_trailing_space(pair):
    """Guards against a reader of the deadline that takes fewer forms than the other."""
    desk, _ = pair
    head = make_request("/orders/1", "POST", b"body", "a1", 300)
    head = head.replace(b"X-Deadline-Ms: 300", b"X-Deadline-Ms: 300 ")
    started_at = time.monotonic()
    with desk.connect() as sock:
        sock.sendall(head[:-2])
        assert sock.recv(1000).startswith(b"HTTP/1.1 408 ")
    assert time.monotonic() - started_at < 2.0


@pytest.mark.parametrize("digits", [20, 5000])
def test_huge_remaining_time_is_limited_by_the_route(pair, digits):
    """Guards against a number that no duration can hold."""
    desk, _ = pair
    assert desk.call(deadline_ms="9" * digits).status == 200


def test_slow_endless_head_ends_at_the_deadline(pair):
    entry, remote = pair

    def script(sock, request):
        try:
            while True:
                sock.sendall(b"X-Line: x\r\n")
                time.sleep(0.05)
        except OSError:
            return None

    remote.target.script = script
    response = entry.call("/orders/", "POST", b"x", deadline_ms=600)
    assert response.status in (502, 504) and response.took < 1.0


def test_bytes_after_a_complete_response_belong_to_no_request(pair):
    entry, remote = pair
    whole = HEAD + b"Content-Length: 5\r\n\r\nwhole"
    # In one piece: bytes that come after the next request would count as its response.
    sent = send_endless(remote, whole + PIECE, PIECE)
    assert entry.call("/orders/", "POST", b"x").body == b"whole"
    remote.target.script = None
    assert entry.call("/orders/", "POST", b"x").body == b"whole"
    # The connection was found to have data to read, and was closed.
    wait_until(lambda: sent)
    assert sent[0] <= BUFFERED_BYTES


def test_idempotent_call_is_tried_elsewhere(mesh):
    entry, bad, good = mesh.add("desk"), mesh.add(), mesh.add()
    mesh.configure(route())
    mesh.wait_until_converged()
    send_endless(bad, HEAD, b"X-Line: " + PIECE + b"\r\n")
    for number in range(4):
        assert entry.call(attempt=f"a{number}").status == 200
    assert good.target.executed


CALLS = 16  # the slots of the target


def send_rounds(entry, count=CALLS):
    """Send calls at the same time; return their responses."""

    def call(number):
        return entry.call("/orders/", "POST", b"x", f"a{number}", deadline_ms=9000)

    with ThreadPoolExecutor(count) as executor:
        return list(executor.map(call, range(count)))


def measure_peak_bytes(call) -> int:
    """Return the peak of the memory of objects that a function allocates."""
    tracemalloc.start()
    try:
        call()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


def test_endless_bodies_are_bounded_by_their_sum(pair):
    """Guards against endless responses that are each within their limit."""
    entry, remote = pair
    piece = b"10000\r\n%s\r\n" % (b"x" * 65536)

    def script(sock, request):
        head = make_response(request, b"").partition(b"Content-Length")[0]
        try:
            sock.sendall(head + b"Transfer-Encoding: chunked\r\n\r\n")
            while True:
                sock.sendall(piece)
        except OSError:
            return None

    remote.target.script = script
    responses = []
    peak = measure_peak_bytes(lambda: responses.extend(send_rounds(entry)))
    assert peak < remote.settings.memory_bytes * 0.5
    assert [each.status for each in responses] == [502] * CALLS


@pytest.mark.parametrize("length", [1, 2, 3, 100])
def test_small_chunks_take_no_more_memory_than_their_bytes(length):
    """Guards against objects for chunks, which no limit counts."""
    data = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    data += b"%x\r\n%s\r\n" % (length, b"x" * length) * (300_000 // length)
    request = b"POST / HTTP/1.1\r\nHost: a\r\n" + data.partition(b"s-a1\r\n")[2]

    def match(status, headers):
        return True

    for make_reader, message in (
        (lambda: ResponseReader(b"GET", match, 10**7, 10**7), data),
        (lambda: RequestReader(CallerLimits()), request),
    ):
        reader = make_reader()
        peak = measure_peak_bytes(lambda: reader.feed(message))
        assert peak < 500_000
        reader.release()


@pytest.mark.parametrize("line", [b"a:\r\n", b"a: b\r\n", b"X-Long: %s\r\n" % PIECE])
def test_endless_heads_are_bounded_by_their_sum(pair, line):
    """Guards against headers whose objects take much more memory than their bytes."""
    entry, remote = pair
    send_endless(remote, HEAD, line * (65536 // len(line) + 1))
    responses = []
    peak = measure_peak_bytes(lambda: responses.extend(send_rounds(entry)))
    assert peak < remote.settings.memory_bytes * 0.3
    assert {each.status for each in responses} <= {502, 504}


@pytest.mark.parametrize(
    ("data", "held"),
    [
        (b"HTTP/1.1 200 OK\r\nX-Long: " + PIECE, len(PIECE)),
        (HEAD + b"\r\n" + PIECE, len(PIECE)),
        (b"HTTP/1.1 200 OK\r\n" + b"a:\r\n" * 1000, 100_000),
    ],
    ids=["header value", "body", "headers"],
)
def test_what_a_response_holds_is_counted(data, held):
    """Guards against a part of a response that the shared limit leaves out."""
    reader = ResponseReader(b"GET", lambda status, headers: True, 10**7, 10**7)
    reader.feed(data)
    assert held <= reader.held_bytes <= 3 * held


def test_other_responses_are_delivered_beside_endless_ones(pair):
    """Guards against endless responses that use up the memory of all others."""
    entry, remote = pair
    body = b"y" * 200_000

    def script(sock, request):
        if find_header(request.headers, b"x-attempt-id").startswith(b"a"):
            return endless(sock, request)
        return make_response(request, body)

    send_endless(remote, HEAD + b"\r\n", PIECE * 8)
    endless, remote.target.script = remote.target.script, script
    with ThreadPoolExecutor(1) as executor:
        rounds = executor.submit(lambda: [send_rounds(entry, 8) for _ in range(3)])
        count = 0
        while not rounds.done():
            response = entry.call("/items/1", attempt=f"b{count}")
            assert response.status == 200 and response.body == body
            count += 1
    assert count > 3
