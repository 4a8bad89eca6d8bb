"""Large request bodies, by the sum of what a node holds of them."""

from __future__ import annotations

import socket
import time
import tracemalloc
from concurrent.futures import ThreadPoolExecutor

import msgpack
import pytest
from builders import make_forward_request
from mesh_harness import POST, make_request, route, wait_until

from cyclamenvane.clock import SystemClock
from cyclamenvane.mesh.frames import FrameStream, _encode
from cyclamenvane.mesh.memory import LARGE_BYTES, MemoryBudget
from cyclamenvane.mesh.message import RequestError, RequestReader
from cyclamenvane.mesh.model import CallerLimits

SIZE = 1_000_000
BODY = bytes(range(250)) * (SIZE // 250)


def upload(member, attempt: str, body: bytes = BODY):
    return member.call("/orders/", "POST", body, attempt=attempt)


def limit_memory(member, size: int) -> None:
    member.node.memory._limit = size


def is_free(member) -> bool:
    return not member.node.memory.reserved()


@pytest.mark.parametrize("local", [True, False])
def test_bodies_of_running_calls_count_for_the_limit(pair, local):
    """Guards against uploads that together take a node over its memory limit."""
    entry, remote = pair
    remote.target.delay = 0.5
    member = remote if local else entry
    limit_memory(member, int(2.5 * SIZE))
    with ThreadPoolExecutor(6) as executor:
        calls = [executor.submit(upload, member, f"u{n}") for n in range(6)]
        responses = [each.result() for each in calls]
    statuses = sorted(each.status for each in responses)
    assert statuses == [200, 200, 503, 503, 503, 503]
    refused = [each for each in responses if each.status == 503]
    assert all(float(each.headers["retry-after"]) > 0 for each in refused)
    assert len(remote.target.executed) == 2
    wait_until(lambda: is_free(entry) and is_free(remote))
    assert upload(member, "u9").status == 200


def test_upload_that_the_other_node_cannot_hold_is_refused_as_not_run(pair):
    """Guards against a refusal that leaves open whether the upload was run."""
    entry, remote = pair
    body = BODY * 9  # more than the buffers of a connection
    routes = route(), route("post", "/orders/", **POST)
    entry.mesh.configure(*routes, maxBodyBytes=len(body))
    entry.mesh.wait_until_converged()
    limit_memory(remote, SIZE)
    for number in range(2):
        assert upload(entry, f"r{number}", body).status == 503
    assert not remote.target.executed
    wait_until(lambda: is_free(entry) and is_free(remote))
    limit_memory(remote, 20 * SIZE)
    assert upload(entry, "r9", body).status == 200
    assert remote.target.executed[0].body == body
    wait_until(lambda: is_free(entry) and is_free(remote))


def test_upload_that_its_caller_breaks_off_holds_no_memory(pair):
    """Guards against a limit that is used up by uploads that have ended."""
    entry, _ = pair
    request = make_request("/orders/", "POST", BODY)
    with entry.connect() as sock:
        sock.sendall(request[: SIZE // 2])
        wait_until(lambda: not is_free(entry))
    wait_until(lambda: is_free(entry))


def test_pipelined_upload_counts_for_the_limit(pair):
    """Guards against bodies that are read during a call, beside the limit."""
    entry, remote = pair
    remote.target.delay = 0.5
    limit_memory(entry, SIZE // 2)
    with entry.connect() as sock:
        sock.sendall(make_request(attempt="p1"))
        wait_until(lambda: remote.target.executed)
        sock.sendall(make_request("/orders/", "POST", BODY, attempt="p2")[:400_000])
        received = b""
        while data := sock.recv(65536):
            received += data
    assert received.count(b"whole") == 1
    assert b"Connection: close" in received
    wait_until(lambda: is_free(entry))
    assert len(remote.target.executed) == 1


def test_chunked_upload_is_refused_once_it_is_over_the_limit(pair):
    """Guards against bodies whose length is not declared."""
    entry, remote = pair
    limit_memory(entry, SIZE // 2)
    head = make_request("/orders/", "POST", attempt="c1")[:-2]
    chunk = b"%x\r\n%s\r\n" % (100_000, b"x" * 100_000)
    with entry.connect() as sock:
        sock.sendall(head + b"Transfer-Encoding: chunked\r\n\r\n")
        for _ in range(6):
            sock.sendall(chunk)
            time.sleep(0.01)
        assert sock.recv(65536).startswith(b"HTTP/1.1 503")
    wait_until(lambda: is_free(entry))
    assert not remote.target.executed


def test_refusal_of_a_frame_that_was_sent_whole_concerns_no_other_call(pair):
    """Guards against a stream on which the other node answers nothing any more."""
    entry, remote = pair
    limit_memory(remote, 100_000)
    for number in range(6):
        assert upload(entry, f"w{number}", BODY[:300_000]).status == 503
        assert entry.call(attempt=f"i{number}").status == 200
    wait_until(lambda: is_free(remote), 2.0)


def test_heads_hold_no_memory(pair):
    """Guards against callers that declare long bodies and use up the limit."""
    entry, _ = pair
    limit_memory(entry, int(2.5 * SIZE))
    head = make_request("/orders/", "POST", BODY)[:300]
    with entry.connect() as first, entry.connect() as second:
        for sock in (first, second):
            sock.sendall(head)
        time.sleep(0.1)
        assert upload(entry, "h9").status == 200


def test_many_small_bodies_that_are_not_whole_count_for_the_limit():
    """Guards against callers that send bodies below any step, and stall."""
    memory = MemoryBudget(SIZE, SystemClock())
    readers = [RequestReader(CallerLimits(), memory) for _ in range(30)]
    data = make_request("/orders/", "POST", BODY[:60_000])[:50_000]
    errors = [each.feed(data) for each in readers]
    assert errors.count(RequestError.NO_MEMORY) >= 9
    for each in readers:
        each.release()
    assert not memory.reserved()


@pytest.mark.parametrize("split", [False, True])
def test_stream_keeps_no_buffer_of_a_large_frame(split):
    """Guards against buffers of the size of the largest frame of each stream."""
    near, far = socket.socketpair()
    memory = MemoryBudget(10 * SIZE, SystemClock())
    stream = FrameStream(near, reservation=memory.open())
    pieces = _encode(make_forward_request(body=BODY * 3).pack(1))
    data = b"".join(pieces)
    rest = len(pieces[-1]) if split else 0
    first, last = data[: len(data) - rest], data[len(data) - rest :]
    tracemalloc.start()
    with ThreadPoolExecutor(1) as executor:
        received = executor.submit(stream.receive_or_timeout)
        far.sendall(first)
        if rest:
            time.sleep(0.1)
            far.sendall(last)
        assert received.result()
    del received
    kept, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert stream.is_drained()
    assert kept < 3 * LARGE_BYTES and peak < 1.5 * len(data)
    assert memory.reserved() > 3 * SIZE - LARGE_BYTES
    stream.free()
    assert not memory.reserved()
    far.close()
    stream.close()


@pytest.mark.parametrize("size", [0, 1, 65535, 65536, 200_000])
def test_frame_in_pieces_is_the_encoded_frame(size):
    """Guards against frames that only this release can decode."""
    frame = [1, "svc", b"x" * size, None, [b"y" * size], b"z" * size, 7]
    assert msgpack.unpackb(b"".join(_encode(frame))) == frame
