"""The body of a message while it is received, in about as much memory as its bytes.

Senders choose the size of the pieces, and an object for each piece takes up to 20 times
the memory of a small one.
"""

from __future__ import annotations

__all__ = ["BodyBuffer"]


class BodyBuffer:
    """The pieces of one body."""

    def __init__(self) -> None:
        self._first = b""
        self._rest: bytearray | None = None

    def append(self, piece: bytes) -> None:
        """Append a piece."""
        if self._rest is not None:
            self._rest += piece
        elif self._first:
            self._rest = bytearray(self._first)
            self._rest += piece
            self._first = b""
        else:
            self._first = piece

    def join(self) -> bytes:
        """Return the body received so far."""
        return self._first if self._rest is None else bytes(self._rest)
