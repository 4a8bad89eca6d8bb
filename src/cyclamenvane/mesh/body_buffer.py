"""The body of a message while it is received, in about as much memory as its bytes.

Senders choose the size of the pieces, and an object for each piece takes up to 20 times
the memory of a small one.
"""

from __future__ import annotations

import io

__all__ = ["BodyBuffer"]


class BodyBuffer:
    """The pieces of one body."""

    def __init__(self) -> None:
        self._first = b""
        self._buffer: io.BytesIO | None = None

    def append(self, piece: bytes) -> None:
        """Append a piece."""
        if self._buffer is not None:
            self._buffer.write(piece)
        elif self._first:
            # A large buffer is extended in place, and returned without a copy.
            self._buffer = io.BytesIO()
            self._buffer.write(self._first)
            self._buffer.write(piece)
            self._first = b""
        else:
            # Most bodies have a single piece, which is not copied.
            self._first = piece

    def join(self) -> bytes:
        """Return the body received so far."""
        return self._first if self._buffer is None else self._buffer.getvalue()
