"""Incremental decoder of frames, which holds large bytes once.

`msgpack.Unpacker` buffers an object until it is whole and copies its bytes then, so a
large body would be held up to three times. Frames of up to `LARGE_BYTES` are decoded by
it as they are. Of a larger one, the items are decoded one by one, and the bytes of a
large item are collected where they stay:

    reader = FrameReader(max_frame_bytes)
    reader.feed(data)
    frame = reader.next_frame()  # None until a frame is whole
"""

from __future__ import annotations

import struct
from typing import Any

import msgpack

from .body_buffer import BodyBuffer
from .errors import FrameError
from .memory import LARGE_BYTES

__all__ = ["LONG_BYTES", "LONG_BYTES_TAG", "FrameReader"]

LONG_BYTES = struct.Struct(">BI")  # the tag and the length of a large bytes object
LONG_BYTES_TAG = 0xC6
_BUFFER_BYTES = 16 * 1024  # that each stream keeps, larger by default
_SHORT_ARRAYS = range(0x90, 0xA0)  # tags that contain the number of items
_ARRAY_HEADS = {0xDC: struct.Struct(">xH"), 0xDD: struct.Struct(">xI")}


class FrameReader:
    """Decodes the frames of one stream."""

    def __init__(self, max_frame_bytes: int) -> None:
        self._max_frame_bytes = max_frame_bytes
        self._items: _ItemReader | None = None  # of a large frame
        self._reset()

    def _reset(self) -> None:
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=self._max_frame_bytes, read_size=_BUFFER_BYTES
        )
        self._fed_bytes = 0
        self._frames_end = 0  # where the last frame that was returned ends
        self._pieces: list[bytes] = []  # what was fed since

    @property
    def held_bytes(self) -> int:
        """The size of what was fed of a frame that is not whole, in bytes."""
        if self._items is not None:
            return self._items.fed_bytes
        return self._fed_bytes - self._frames_end

    def is_drained(self) -> bool:
        """Return whether nothing was fed after the last frame."""
        return not self.held_bytes

    def feed(self, data: bytes) -> None:
        """Add received data; raise FrameError if the frame is too large."""
        if self.held_bytes + len(data) > self._max_frame_bytes:
            raise FrameError("frame too large")
        if self._items is not None:
            self._items.feed(data)
            return
        try:
            self._unpacker.feed(data)
        except msgpack.BufferFull as error:
            raise FrameError("frame too large") from error
        self._fed_bytes += len(data)
        self._pieces.append(data)

    def next_frame(self) -> list[Any] | None:
        """Return the next frame, or None; raise FrameError if it is invalid."""
        try:
            frame = self._decode()
        except (msgpack.UnpackException, ValueError) as error:
            raise FrameError(f"invalid frame: {error}") from error
        if frame is not None and not (isinstance(frame, list) and frame):
            raise FrameError(f"invalid frame: {type(frame).__name__}")
        return frame

    def _decode(self) -> Any:
        if self._items is None:
            frame = next(self._unpacker, None)
            if frame is not None:
                self._frames_end = self._unpacker.tell()
                rest = self._fed_bytes - self._frames_end
                self._pieces = [self._pieces[-1][-rest:]] if rest else []
                return frame
            if self.held_bytes < LARGE_BYTES:
                return None
            self._items = _ItemReader(b"".join(self._pieces))
            self._reset()
        frame = self._items.next_frame()
        if frame is not None:
            following, self._items = self._items.rest(), None
            if following:
                self.feed(following)
        return frame


class _ItemReader:
    """Decodes one large frame, item by item."""

    def __init__(self, data: bytes) -> None:
        self._count = -1  # of the items, not known yet
        self._items: list[Any] = []
        self._data = b""  # that is not decoded yet
        self._unpacker: msgpack.Unpacker | None = None  # of an item that is not whole
        self._unpacked_bytes = 0  # fed to it
        self._body: BodyBuffer | None = None  # of large bytes that are not whole
        self._missing = 0
        self.fed_bytes = 0
        self.feed(data)

    def feed(self, data: bytes) -> None:
        """Add received data."""
        self.fed_bytes += len(data)
        self._data = self._data + data if self._data else data

    def rest(self) -> bytes:
        """Return what was fed after the frame."""
        return self._data

    def next_frame(self) -> list[Any] | None:
        """Return the frame, or None until it is whole."""
        if self._count < 0 and not self._read_count():
            return None
        while len(self._items) < self._count:
            if not (self._read_bytes() if self._is_bytes() else self._read_item()):
                return None
        return self._items

    def _read_count(self) -> bool:
        tag = self._data[0]
        if tag in _SHORT_ARRAYS:
            self._count, size = tag - _SHORT_ARRAYS.start, 1
        elif tag in _ARRAY_HEADS:
            head = _ARRAY_HEADS[tag]
            (self._count,), size = head.unpack_from(self._data), head.size
        else:
            raise ValueError("not an array")
        self._data = self._data[size:]
        return True

    def _is_bytes(self) -> bool:
        if self._body is not None:
            return True
        if self._unpacker is not None or len(self._data) < LONG_BYTES.size:
            return False
        tag, size = LONG_BYTES.unpack_from(self._data)
        if tag != LONG_BYTES_TAG or size < LARGE_BYTES:
            return False
        self._body, self._missing = BodyBuffer(), size
        self._data = self._data[LONG_BYTES.size :]
        return True

    def _read_bytes(self) -> bool:
        assert self._body is not None
        piece, self._data = self._data[: self._missing], self._data[self._missing :]
        self._body.append(piece)
        self._missing -= len(piece)
        if self._missing:
            return False
        self._items.append(self._body.join())
        self._body = None
        return True

    def _read_item(self) -> bool:
        if self._unpacker is None:
            if 0 < len(self._data) < LONG_BYTES.size and (
                self._data[0] == LONG_BYTES_TAG
            ):
                return False  # the length is not whole
            self._unpacker = msgpack.Unpacker(read_size=_BUFFER_BYTES)
            self._unpacked_bytes = 0
        self._unpacker.feed(self._data)
        self._unpacked_bytes += len(self._data)
        try:
            item = self._unpacker.unpack()
        except msgpack.OutOfData:
            self._data = b""
            return False
        rest = self._unpacked_bytes - self._unpacker.tell()
        self._data = self._data[-rest:] if rest else b""
        self._unpacker = None
        self._items.append(item)
        return True
