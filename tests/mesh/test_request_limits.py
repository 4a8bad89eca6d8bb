"""Requests within the limits are served however they arrive.

These are kin of the heads that counted twice, see
docs/incidents/2026-12-07-heads-in-pieces.md.
"""

from __future__ import annotations

import re
import time

import pytest
from mesh_harness import POST, make_request, route

from cyclamenvane.mesh.heads import find_header

LIMIT = 16_384  # maxHeaderBytes of the harness
BODY_LIMIT = 1000
PIECES = [1000, 5000, 100_000]
BODY = b"b" * 100


def make_head(size: int, path: str = "/items/1", attempt: str = "a2") -> bytes:
    """Return a request without a body whose head has the given size.

    Its fields have no space behind the colon: a space may or may not count.
    """
    head = make_request(path, attempt=attempt, Cookie="").replace(b": ", b":")
    return head[:-4] + b"c" * (size - len(head)) + b"\r\n\r\n"


def send_in_pieces(sock, data: bytes, size: int) -> None:
    for start in range(0, len(data), size):
        sock.sendall(data[start : start + size])
        time.sleep(0.01)


def read_statuses(sock, count: int = 1) -> list[int]:
    """Return the statuses of the next responses, which are small."""
    received = b""
    while received.count(b"HTTP/1.1 ") < count:
        data = sock.recv(65536)
        assert data, received
        received += data
    return [int(status) for status in re.findall(rb"HTTP/1.1 (\d+) ", received)]


@pytest.mark.parametrize("size", PIECES)
@pytest.mark.parametrize("before", [b"", b"\r\n"], ids=["at once", "after a line end"])
def test_head_at_the_limit_on_a_kept_connection_is_served(pair, size, before):
    """Guards against counts that one request leaves to the next."""
    entry, _ = pair
    with entry.connect() as sock:
        for number in range(3):
            head = make_head(LIMIT, attempt=f"k{number}")
            send_in_pieces(sock, before + head, size)
            assert read_statuses(sock) == [200]


@pytest.mark.parametrize("size", PIECES)
@pytest.mark.parametrize("cut", [0, 1, 200], ids=["whole", "body", "head"])
def test_head_at_the_limit_behind_a_body_is_served(pair, size, cut):
    """Guards against a body that counts as a part of the next head."""
    entry, _ = pair
    upload = make_request("/orders/1", "POST", BODY, "u1")
    data = upload + make_head(LIMIT)
    with entry.connect() as sock:
        sock.sendall(data[: len(upload) - cut])
        time.sleep(0.05)
        send_in_pieces(sock, data[len(upload) - cut :], size)
        assert read_statuses(sock, 2) == [200, 200]


@pytest.mark.parametrize("size", PIECES)
def test_head_over_the_limit_on_a_kept_connection_is_refused(pair, size):
    entry, remote = pair
    with entry.connect() as sock:
        sock.sendall(make_head(LIMIT, attempt="first"))
        assert read_statuses(sock) == [200]
        send_in_pieces(sock, make_head(LIMIT + 1), size)
        assert read_statuses(sock) == [431]
    assert len(remote.target.executed) == 1


@pytest.mark.parametrize("size", PIECES)
def test_trailers_at_the_limit_of_heads_are_served(pair, size):
    """Guards against a chunk that counts as a part of the trailers."""
    entry, remote = pair
    head = make_request("/orders/1", "POST", attempt="c1")[:-2]
    head += b"Transfer-Encoding: chunked\r\n\r\n1\r\nx"
    trailers = b"X-Sum: " + b"s" * (LIMIT - 9) + b"\r\n"
    assert len(trailers) == LIMIT
    with entry.connect() as sock:
        sock.sendall(head)
        time.sleep(0.05)
        send_in_pieces(sock, b"\r\n0\r\n" + trailers[:-1], size)
        sock.sendall(b"\n\r\n")
        assert read_statuses(sock) == [200]
    assert remote.target.executed[0].body == b"x"


@pytest.mark.parametrize("over", [0, 1])
@pytest.mark.parametrize("chunk", [0, 1, 300], ids=["length", "bytes", "chunks"])
def test_body_is_limited_by_its_own_bytes(pair, over, chunk):
    """Guards against chunk heads that count as a part of the body."""
    entry, remote = pair
    remote.mesh.configure(route("post", "/orders/", **POST), maxBodyBytes=BODY_LIMIT)
    remote.mesh.wait_until_converged()
    body = b"b" * (BODY_LIMIT + over)
    data = make_request("/orders/1", "POST", body, "b1")
    if chunk:
        chunks = [body[at : at + chunk] for at in range(0, len(body), chunk)]
        data = make_request("/orders/1", "POST", attempt="b1")[:-2]
        data += b"Transfer-Encoding: chunked\r\n\r\n"
        data += b"".join(b"%x\r\n%s\r\n" % (len(each), each) for each in chunks)
        data += b"0\r\n\r\n"
    with entry.connect() as sock:
        send_in_pieces(sock, data, 400)
        assert read_statuses(sock) == [413 if over else 200]


@pytest.mark.parametrize("query", ["", "?color=red"])
@pytest.mark.parametrize("scheme", ["http", "HTTP"])
def test_target_in_absolute_form_is_served(pair, scheme, query):
    """Guards against proper requests that get 404 (RFC 9112, 3.2.2)."""
    entry, remote = pair
    request = make_request(f"{scheme}://shop.example:80/items/7{query}")
    with entry.connect() as sock:
        sock.sendall(request.replace(b"Host: shop.example", b"Host: other.example"))
        assert read_statuses(sock) == [200]
    (executed,) = remote.target.executed
    assert executed.target == f"/items/7{query}".encode()
    assert find_header(executed.headers, b"host") == b"shop.example:80"


def test_target_in_absolute_form_without_a_host_is_malformed(pair):
    entry, remote = pair
    with entry.connect() as sock:
        sock.sendall(make_request("http:///items/7"))
        assert read_statuses(sock) == [400]
    assert not remote.target.executed
