"""Request and response bodies that are too large to keep in memory.

A `Pipe` is a bounded queue of chunks with one writer and one reader. It buffers
up to `capacity` bytes plus one chunk: `on_begin` is called when the reader starts
and `on_read` for each chunk it takes, so that the writer sends no more than that.
`read_started` is set once the reader may have taken a part of the body. If a body
ends early, the writer calls `fail` and the reader gets `IncompleteBody` instead of
the end, so a truncated body is never taken for a complete one.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable, Iterator

__all__ = [
    "CHUNK_BYTES",
    "PIPE_BYTES",
    "Body",
    "ChunkedBody",
    "IncompleteBody",
    "Pipe",
    "read_all",
]

CHUNK_BYTES = 64 * 1024
PIPE_BYTES = 4 * CHUNK_BYTES


class IncompleteBody(Exception):
    """The body ended before it was complete."""


class Pipe:
    """A bounded stream of body chunks between two threads.

    `length` is the announced size in bytes, or None if it is unknown.
    """

    def __init__(
        self,
        length: int | None = None,
        capacity: int = PIPE_BYTES,
        on_begin: Callable[[], None] = lambda: None,
        on_read: Callable[[], None] = lambda: None,
        on_close: Callable[[], None] = lambda: None,
    ) -> None:
        self.length = length
        self.capacity = capacity
        self.read_started = False
        self._on_begin = on_begin
        self._on_read = on_read
        self._on_close = on_close
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._ended = False
        self._failure = ""
        self._changed = threading.Condition()

    def set_callbacks(
        self, on_begin: Callable[[], None], on_read: Callable[[], None]
    ) -> None:
        """Replace the callbacks; only allowed before the reader starts."""
        self._on_begin = on_begin
        self._on_read = on_read

    @property
    def buffered_bytes(self) -> int:
        """The number of buffered bytes that are not read yet."""
        return self._buffered_bytes

    @property
    def failed(self) -> bool:
        """Whether the writer or the reader aborted the body."""
        return bool(self._failure)

    def try_write(self, chunk: bytes) -> bool:
        """Add a chunk without waiting; return False if it does not fit."""
        with self._changed:
            if self._buffered_bytes + len(chunk) > self.capacity + CHUNK_BYTES:
                return False
            self._push(chunk)
            return True

    def write(self, chunk: bytes) -> None:
        """Add a chunk, waiting for space; raise IncompleteBody if aborted."""
        with self._changed:
            while self._buffered_bytes >= self.capacity and not self._failure:
                self._changed.wait()
            if self._failure:
                raise IncompleteBody(self._failure)
            self._push(chunk)

    def end(self) -> None:
        """Mark the body as complete."""
        with self._changed:
            self._ended = True
            self._changed.notify_all()

    def fail(self, reason: str) -> None:
        """Abort the body; reader and writer then get IncompleteBody.

        A complete body that has been read to its end is not affected.
        """
        with self._changed:
            if not self._ended or self._chunks:
                self._failure = self._failure or reason
                self._chunks.clear()
                self._buffered_bytes = 0
            self._changed.notify_all()

    def close(self) -> None:
        """Abort the body if it is not read to its end, and call `on_close`."""
        with self._changed:
            unread = not self._ended or bool(self._chunks)
        if unread and not self._failure:
            self.fail("the reader closed the body")
            self._on_close()

    def __iter__(self) -> Iterator[bytes]:
        """Yield the chunks; raise IncompleteBody if the body ends early."""
        self.read_started = True
        self._on_begin()
        while True:
            chunk = self._pull()
            if chunk is None:
                return
            self._on_read()
            yield chunk

    def _push(self, chunk: bytes) -> None:
        if not chunk:
            return
        self._chunks.append(chunk)
        self._buffered_bytes += len(chunk)
        self._changed.notify_all()

    def _pull(self) -> bytes | None:
        with self._changed:
            while not (self._chunks or self._ended or self._failure):
                self._changed.wait()
            if self._failure:
                raise IncompleteBody(self._failure)
            if not self._chunks:
                return None
            chunk = self._chunks.popleft()
            self._buffered_bytes -= len(chunk)
            self._changed.notify_all()
            return chunk


class ChunkedBody:
    """A body that is produced while it is read; calls `close` at its end.

    `length` is its size in bytes, or None if it is unknown.
    """

    def __init__(
        self, length: int | None, chunks: Iterator[bytes], close: Callable[[], None]
    ) -> None:
        self.length = length
        self._chunks = chunks
        self._close = close

    def __iter__(self) -> Iterator[bytes]:
        """Yield the chunks; raise IncompleteBody if the body ends early."""
        try:
            yield from self._chunks
        finally:
            self._close()

    def close(self) -> None:
        """Discard the rest of the body."""
        self._close()


Body = bytes | Pipe | ChunkedBody


def read_all(body: Body) -> bytes:
    """Read a body to its end and return it as bytes; raise IncompleteBody."""
    return body if isinstance(body, bytes) else b"".join(body)
