"""Encodes and decodes frames, with every size bounded.

Input from the peer is not trusted: an array of the wrong length, a field of
the wrong type or an oversized value raises `MalformedFrame`, and the stream is
then closed.

    >>> from cyclamenvane.wire.frame import PingFrame
    >>> reader = FrameReader()
    >>> list(reader.feed(encode_frame(PingFrame(7))))
    [PingFrame(number=7)]
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import fields
from typing import get_type_hints

import msgpack

from . import frame as frames
from .frame import Frame

__all__ = [
    "MAX_HANDSHAKE_FRAME_BYTES",
    "MAX_FRAME_BYTES",
    "FrameReader",
    "MalformedFrame",
    "encode_frame",
]

MAX_FRAME_BYTES = 1024 * 1024
MAX_HANDSHAKE_FRAME_BYTES = 4 * 1024
_MAX_ARRAY_LENGTH = 128

_TYPES = (
    frames.HelloFrame,
    frames.ChallengeFrame,
    frames.ProofFrame,
    frames.WelcomeFrame,
    frames.RequestFrame,
    frames.ResponseFrame,
    frames.ChunkFrame,
    frames.CreditFrame,
    frames.AbortFrame,
    frames.CancelFrame,
    frames.PingFrame,
    frames.PongFrame,
    frames.QueryFrame,
    frames.QueryReplyFrame,
)
_CODES = {kind: code for code, kind in enumerate(_TYPES)}
_FIELD_NAMES = {kind: tuple(field.name for field in fields(kind)) for kind in _TYPES}
_FIELD_TYPES = {
    kind: tuple(get_type_hints(kind)[name] for name in _FIELD_NAMES[kind])
    for kind in _TYPES
}
_INT_BOUND = 2**63


class MalformedFrame(Exception):
    """The bytes are not a valid frame of this protocol."""


def encode_frame(frame: Frame) -> bytes:
    """Return the frame encoded as bytes."""
    kind = type(frame)
    values = [_CODES[kind]]
    values.extend(getattr(frame, name) for name in _FIELD_NAMES[kind])
    return msgpack.packb(values)


class FrameReader:
    """Decodes frames from a byte stream incrementally.

    `limit` bounds the bytes buffered for one frame. It is small until the peer
    is authenticated.
    """

    def __init__(self, limit: int = MAX_FRAME_BYTES) -> None:
        self._unpacker = _make_unpacker(limit)

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield the frames completed by `data`; raise MalformedFrame if invalid."""
        try:
            self._unpacker.feed(data)
            for values in self._unpacker:
                yield _build_frame(values)
        except MalformedFrame:
            raise
        except (ValueError, TypeError, msgpack.exceptions.UnpackException) as error:
            raise MalformedFrame(str(error)) from error


def _make_unpacker(limit: int) -> msgpack.Unpacker:
    return msgpack.Unpacker(
        use_list=False,
        max_buffer_size=2 * limit,
        max_bin_len=limit,
        max_str_len=min(limit, 64 * 1024),
        max_array_len=_MAX_ARRAY_LENGTH,
        max_map_len=0,
        max_ext_len=0,
    )


def _build_frame(values: object) -> Frame:
    if not isinstance(values, tuple) or not values:
        raise MalformedFrame("frame is not a non-empty array")
    code = values[0]
    if type(code) is not int or not 0 <= code < len(_TYPES):
        raise MalformedFrame(f"unknown frame code {code!r}")
    kind = _TYPES[code]
    expected = _FIELD_TYPES[kind]
    if len(values) != len(expected) + 1:
        raise MalformedFrame(f"{kind.__name__} needs {len(expected)} fields")
    for value, field_type in zip(values[1:], expected):
        _check_field(value, field_type, kind)
    return kind(*values[1:])


def _check_field(value: object, field_type: type, kind: type) -> None:
    if type(value) is not field_type:
        raise MalformedFrame(
            f"{kind.__name__} has a field of type {type(value).__name__}"
        )
    if field_type is int and not -1 <= value < _INT_BOUND:
        raise MalformedFrame(f"{kind.__name__} has an integer out of range: {value}")
    if field_type is tuple:
        _check_headers(value, kind)


def _check_headers(headers: tuple, kind: type) -> None:
    for pair in headers:
        if type(pair) is not tuple or len(pair) != 2:
            raise MalformedFrame(f"{kind.__name__} has a malformed header")
        if type(pair[0]) is not str or type(pair[1]) is not str:
            raise MalformedFrame(f"{kind.__name__} has a malformed header")
