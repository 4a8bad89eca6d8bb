"""Bodies that are too large to hold whole: a bounded pipe of chunks.

A `Pipe` has one writer and one reader. It holds at most `capacity` bytes: the
writer learns from `on_begin` that the reader has begun and from `on_read` of
each chunk it took, and sends no more than that. `touched` tells whether any of
the body may have been taken. A body that ends early is failed by its writer,
and the reader then gets `BodyFailed` in place of the end, so a short body never
looks whole.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable, Iterator

__all__ = [
    "CHUNK_BYTES",
    "PIPE_BYTES",
    "Body",
    "BodyFailed",
    "ChunkedBody",
    "Pipe",
    "read_all",
]

CHUNK_BYTES = 64 * 1024
PIPE_BYTES = 4 * CHUNK_BYTES


class BodyFailed(Exception):
    """The body ended before it was whole."""


class Pipe:
    """A bounded stream of body chunks between two threads.

    `length` is the announced size in bytes, or None when it is not known.
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
        self.touched = False
        self._on_begin = on_begin
        self._on_read = on_read
        self._on_close = on_close
        self._chunks: deque[bytes] = deque()
        self._held = 0
        self._ended = False
        self._failure = ""
        self._changed = threading.Condition()

    def connect(
        self, on_begin: Callable[[], None], on_read: Callable[[], None]
    ) -> None:
        """Take other callbacks, before the reader begins."""
        self._on_begin = on_begin
        self._on_read = on_read

    @property
    def held(self) -> int:
        """The bytes that wait for the reader."""
        return self._held

    @property
    def failed(self) -> bool:
        """Whether either side gave the body up."""
        return bool(self._failure)

    def offer(self, chunk: bytes) -> bool:
        """Add a chunk without waiting; return False when it would not fit."""
        with self._changed:
            if self._held + len(chunk) > self.capacity + CHUNK_BYTES:
                return False
            self._push(chunk)
            return True

    def write(self, chunk: bytes) -> None:
        """Add a chunk, waiting for room; raises BodyFailed once given up."""
        with self._changed:
            while self._held >= self.capacity and not self._failure:
                self._changed.wait()
            if self._failure:
                raise BodyFailed(self._failure)
            self._push(chunk)

    def end(self) -> None:
        """Mark the body as whole."""
        with self._changed:
            self._ended = True
            self._changed.notify_all()

    def fail(self, reason: str) -> None:
        """Give the body up; reader and writer both get BodyFailed."""
        with self._changed:
            if not self._ended or self._chunks:
                self._failure = self._failure or reason
                self._chunks.clear()
                self._held = 0
            self._changed.notify_all()

    def close(self) -> None:
        """Give up what has not been read; the writer is told to stop."""
        with self._changed:
            unread = not self._ended or bool(self._chunks)
        if unread and not self._failure:
            self.fail("the reader went away")
            self._on_close()

    def __iter__(self) -> Iterator[bytes]:
        """Yield chunks until the end; raises BodyFailed for a short body."""
        self.touched = True
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
        self._held += len(chunk)
        self._changed.notify_all()

    def _pull(self) -> bytes | None:
        with self._changed:
            while not (self._chunks or self._ended or self._failure):
                self._changed.wait()
            if self._failure:
                raise BodyFailed(self._failure)
            if not self._chunks:
                return None
            chunk = self._chunks.popleft()
            self._held -= len(chunk)
            self._changed.notify_all()
            return chunk


class ChunkedBody:
    """A body that is produced as it is read; `close` is called at its end.

    `length` is its size in bytes, or None when that is not known.
    """

    def __init__(
        self, length: int | None, chunks: Iterator[bytes], close: Callable[[], None]
    ) -> None:
        self.length = length
        self._chunks = chunks
        self._close = close

    def __iter__(self) -> Iterator[bytes]:
        """Yield the chunks; raises BodyFailed for a short body."""
        try:
            yield from self._chunks
        finally:
            self._close()

    def close(self) -> None:
        """Give the body up unread."""
        self._close()


Body = bytes | Pipe | ChunkedBody


def read_all(body: Body) -> bytes:
    """Return a body as bytes, reading it whole; raises BodyFailed."""
    return body if isinstance(body, bytes) else b"".join(body)
