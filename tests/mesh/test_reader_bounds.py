"""Readers fed any bytes in pieces of any size hold no more than their bounds."""

from __future__ import annotations

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st
from manual_clock import ManualClock

from cyclamenvane.mesh.errors import FrameError
from cyclamenvane.mesh.frame_reader import FrameReader
from cyclamenvane.mesh.frames import _encode
from cyclamenvane.mesh.heads import FIELD_OVERHEAD_BYTES
from cyclamenvane.mesh.memory import LARGE_BYTES, MemoryBudget
from cyclamenvane.mesh.message import RequestReader
from cyclamenvane.mesh.model import CallerLimits
from cyclamenvane.mesh.response import ResponseReader

LIMITS = CallerLimits(header_bytes=2000, body_bytes=3000)
MAX_FIELDS = LIMITS.header_bytes // 4
MAX_PIECE = 4000
# What is read at once is parsed before it is counted.
MAX_HELD = (
    2 * LIMITS.header_bytes
    + MAX_FIELDS * FIELD_OVERHEAD_BYTES
    + LIMITS.body_bytes
    + 2 * MAX_PIECE
)
MAX_FRAME = 300_000

LINES = st.sampled_from(
    [
        b"GET / HTTP/1.1\r\n",
        b"POST /a HTTP/1.1\r\n",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"Host: a\r\n",
        b"a:\r\n",
        b"Content-Length: 2500\r\n",
        b"Content-Length: 3\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Expect: 100-continue\r\n",
        b"X-Long: ",
        b"x" * 700,
        b"\r\n",
        b"\r\n\r\n",
        b"1\r\nx\r\n",
        b"5;ext=" + b"e" * 300,
        b"2bc\r\n" + b"y" * 700 + b"\r\n",
        b"0\r\n",
        b"0\r\n\r\n",
    ]
)
MESSAGES = st.lists(st.one_of(LINES, st.binary(max_size=40)), max_size=60).map(b"".join)
SIZES = st.lists(st.integers(1, MAX_PIECE), min_size=1, max_size=8)


def cut(data: bytes, sizes: list[int]):
    start, number = 0, 0
    while start < len(data):
        size = sizes[number % len(sizes)]
        yield data[start : start + size]
        start, number = start + size, number + 1


@given(MESSAGES, SIZES, st.integers(500, 20_000))
def test_request_reader_stays_within_its_bound_and_the_budget(data, sizes, limit):
    memory = MemoryBudget(limit, ManualClock())
    reader = RequestReader(LIMITS, memory)
    for piece in cut(data, sizes):
        if reader.feed(piece) is not None:
            break
        assert reader.held_bytes <= MAX_HELD
        assert memory.reserved() <= limit * 1.25
        if reader.is_partial():
            assert memory.reserved() >= reader.held_bytes - sum(
                each.reservation.held
                for each in reader.complete_requests
                if each.reservation
            )
        for request in reader.complete_requests:
            assert len(request.body) <= LIMITS.body_bytes
    reader.release()
    assert not memory.reserved()


@given(MESSAGES, SIZES)
def test_response_reader_stays_within_its_bound(data, sizes):
    reader = ResponseReader(b"GET", lambda status, headers: True, 2000, 3000)
    for piece in cut(data, sizes):
        reader.feed(piece)
        if reader.malformed or reader.complete:
            break
        assert reader.held_bytes <= MAX_HELD
    reader.feed_eof()
    assert not (reader.malformed and reader.complete)
    reader.release()


ITEMS = st.one_of(
    st.integers(0, 2**40),
    st.text(max_size=20),
    st.none(),
    st.booleans(),
    st.lists(st.integers(0, 300), max_size=5),
    st.integers(0, 300).map(lambda size: b"s" * size),
    st.integers(LARGE_BYTES - 2, 2 * LARGE_BYTES).map(lambda size: b"l" * size),
)
FRAMES = st.lists(ITEMS, min_size=1, max_size=12)


@given(st.lists(FRAMES, max_size=3), st.lists(st.integers(1, 90_000), min_size=1))
def test_frames_are_read_as_they_were_sent(frames, sizes):
    """Guards against a large frame that another one or an odd cut spoils."""
    data = b"".join(piece for frame in frames for piece in _encode(frame))
    reader, received = FrameReader(2_000_000), []
    for piece in cut(data, sizes):
        reader.feed(piece)
        while (frame := reader.next_frame()) is not None:
            received.append(frame)
    assert received == frames
    assert reader.is_drained()


@given(
    st.lists(
        st.one_of(
            st.binary(max_size=200),
            FRAMES.map(msgpack.packb),
            st.sampled_from(
                [
                    b"\x93\x01\xc6\x00\x02\x00\x00",
                    b"\xdd\xff\xff\xff\xff",
                    b"\xdc\x00\x20" + b"\x01" * 20,
                    b"\x91\xc6\x7f\xff\xff\xff",
                    b"z" * 70_000,
                ]
            ),
        ),
        max_size=6,
    ).map(b"".join),
    st.lists(st.integers(1, 90_000), min_size=1, max_size=4),
)
def test_frame_reader_stays_within_its_bound(data, sizes):
    reader = FrameReader(MAX_FRAME)
    try:
        for piece in cut(data, sizes):
            reader.feed(piece)
            while reader.next_frame() is not None:
                pass
            assert reader.held_bytes <= MAX_FRAME
    except FrameError:
        # The connection is closed.
        return


@pytest.mark.parametrize("size", [LARGE_BYTES, 10 * LARGE_BYTES])
def test_frame_over_the_limit_in_many_pieces_is_an_error(size):
    reader = FrameReader(size - 1)
    with pytest.raises(FrameError):
        for piece in cut(msgpack.packb([1, b"x" * size]), [1000]):
            reader.feed(piece)
            reader.next_frame()
