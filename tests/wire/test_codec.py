"""Fuzzing of the encoding and decoding of frames."""

from __future__ import annotations

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cyclamenvane.wire import FrameReader, MalformedFrame, encode_frame
from cyclamenvane.wire.frame import ChunkFrame, PingFrame, ResponseFrame

NUMBERS = st.integers(-1, 2**62)
HEADERS = st.lists(st.tuples(st.text(max_size=8), st.text(max_size=8)), max_size=4)
FRAMES = st.one_of(
    st.builds(PingFrame, NUMBERS),
    st.builds(ChunkFrame, NUMBERS, st.binary(max_size=64), st.booleans()),
    st.builds(
        ResponseFrame,
        *[NUMBERS, NUMBERS, HEADERS.map(tuple), st.binary(max_size=64)],
        *[st.booleans(), *[NUMBERS] * 6, st.booleans(), NUMBERS],
    ),
)


@given(st.lists(FRAMES, max_size=6), st.integers(1, 40))
def test_frames_survive_any_split(frames: list, step: int) -> None:
    data = b"".join(encode_frame(frame) for frame in frames)
    reader = FrameReader()
    found = []
    for start in range(0, len(data), step):
        found += reader.feed(data[start : start + step])
    assert found == frames


@given(st.binary(max_size=200))
def test_any_bytes_are_frames_or_malformed(data: bytes) -> None:
    try:
        for frame in FrameReader().feed(data):
            assert encode_frame(frame)
    except MalformedFrame:
        pass


JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**31), 2**31) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=4),
    max_leaves=8,
)


@given(st.integers(0, 15), st.lists(JSON, max_size=14))
def test_any_array_is_a_frame_or_malformed(code: int, values: list) -> None:
    try:
        list(FrameReader().feed(msgpack.packb([code, *values])))
    except MalformedFrame:
        pass


def test_oversized_frame_is_malformed() -> None:
    frame = ChunkFrame(1, b"x" * 10_000, True)
    with pytest.raises(MalformedFrame):
        list(FrameReader(limit=4096).feed(encode_frame(frame)))
