"""Tests of reading complete, truncated, stray and extra requests and responses."""

from __future__ import annotations

import pytest

from cyclamenvane.mesh.heads import (
    HeaderNames,
    find_header,
    render_request_head,
    render_response_head,
)
from cyclamenvane.mesh.message import RequestError, RequestReader
from cyclamenvane.mesh.model import CallerLimits
from cyclamenvane.mesh.response import ResponseReader

NAMES = HeaderNames(
    b"x-id",
    b"x-left",
    b"x-need",
    b"x-origin",
    b"x-sig",
    b"x-not-run",
    b"x-inst",
    b"x-rate",
    b"x-leaving",
    b"x-credentials",
    b"x-account",
)
GET = b"GET /items/1?q=2 HTTP/1.1\r\nHost: a\r\nX-Id: 7\r\n\r\n"


def read_requests(*pieces: bytes, limits: CallerLimits = CallerLimits()):
    reader = RequestReader(limits)
    for piece in pieces:
        reader.feed(piece)
    return reader


def make_response_reader(attempt: bytes = b"7") -> ResponseReader:
    return ResponseReader(
        b"GET",
        lambda status, headers: find_header(headers, b"x-id") == attempt,
        max_overhead=100_000,
        max_body=1_000_000,
    )


def response(attempt: bytes, body: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n"
    return head % (attempt, len(body)) + body


def test_pipelined_requests_are_read_in_order():
    reader = read_requests(GET + GET.replace(b"s/1", b"s/2"))
    assert [each.target for each in reader.complete_requests] == [
        b"/items/1?q=2",
        b"/items/2?q=2",
    ]
    assert reader.complete_requests[0].path == b"/items/1"


@pytest.mark.parametrize("size", [1, 7, 1000])
def test_request_is_read_in_pieces(size):
    data = b"POST /up HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    data += b"3\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n"
    pieces = [data[i : i + size] for i in range(0, len(data), size)]
    (request,) = read_requests(*pieces).complete_requests
    assert request.body == b"abcde"
    assert find_header(request.headers, b"x-trailer") is None


def test_request_with_two_lengths_is_malformed():
    data = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
    reader = read_requests(data + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
    assert reader.error is RequestError.MALFORMED
    assert not reader.complete_requests


def test_head_and_body_size_limits():
    limits = CallerLimits(header_bytes=200, body_bytes=10)
    large = b"GET / HTTP/1.1\r\nX-Large: " + b"x" * 300 + b"\r\n\r\n"
    assert read_requests(large, limits=limits).error is RequestError.HEAD_TOO_LARGE
    endless = b"GET /" + b"x" * 1000
    assert read_requests(endless, limits=limits).error is RequestError.HEAD_TOO_LARGE
    body = b"POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n"
    assert read_requests(body, limits=limits).error is RequestError.BODY_TOO_LARGE
    chunked = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n" + b"x" * 11
    assert read_requests(chunked, limits=limits).error is RequestError.BODY_TOO_LARGE


def test_request_head_drops_headers_reserved_for_the_mesh():
    data = b"GET /items/1 HTTP/1.1\r\nHost: a\r\nX-Id: 7\r\nX-Origin: forged\r\n"
    data += b"X-Need: forged\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n\r\n"
    (request,) = read_requests(data).complete_requests
    head = render_request_head(request, NAMES, b"desk")
    assert head == (
        b"GET /items/1 HTTP/1.1\r\nhost: a\r\nx-id: 7\r\nx-origin: desk\r\n"
    )


def test_response_to_another_request_is_discarded():
    reader = make_response_reader()
    reader.feed(response(b"6", b"late") + response(b"7", b"mine"))
    assert reader.complete and reader.body == b"mine"
    assert not reader.keep_alive, "a connection with stray responses is not reused"


def test_connection_with_data_after_the_response_is_not_reused():
    reader = make_response_reader()
    reader.feed(response(b"7", b"mine") + response(b"7", b"extra"))
    assert reader.body == b"mine" and not reader.keep_alive
    reader = make_response_reader()
    reader.feed(response(b"7", b"mine") + b"garbage")
    assert reader.complete and reader.body == b"mine" and not reader.keep_alive


def test_truncated_response_is_not_complete():
    reader = make_response_reader()
    reader.feed(response(b"7", b"whole")[:-1])
    reader.feed_eof()
    assert not reader.complete


def test_response_without_length_ends_with_the_connection():
    reader = make_response_reader()
    reader.feed(b"HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nall of it")
    assert not reader.complete
    reader.feed_eof()
    assert reader.complete and reader.body == b"all of it" and not reader.keep_alive


def test_invalid_response_is_malformed():
    reader = make_response_reader()
    reader.feed(b"\x00\x01 garbage\r\n\r\n")
    assert reader.malformed and not reader.complete


def test_interim_response_is_followed_by_the_final_one():
    reader = make_response_reader()
    reader.feed(b"HTTP/1.1 100 Continue\r\n\r\n" + response(b"7", b"x"))
    assert reader.complete and reader.status == 200 and reader.keep_alive


def test_response_head_replaces_the_transfer_encoding():
    headers = [(b"x-id", b"7"), (b"transfer-encoding", b"chunked")]
    head = render_response_head(200, headers, 5)
    assert head == b"HTTP/1.1 200 OK\r\nx-id: 7\r\nContent-Length: 5\r\n"
