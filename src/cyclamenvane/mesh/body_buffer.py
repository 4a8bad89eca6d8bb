"""The body of a message while it is received, in about as much memory as its bytes.

Senders choose the size of the pieces, and an object for each piece takes up to 20 times
the memory of a small one. Blocks of one size are reused by the allocator, where one
buffer that grows leaves gaps.
"""

from __future__ import annotations

__all__ = ["BodyBuffer"]

_BLOCK_BYTES = 64 * 1024


class BodyBuffer:
    """The pieces of one body; small ones are collected into blocks."""

    def __init__(self) -> None:
        self._blocks: list[bytes] = []
        self._open: bytearray | None = None  # a block that is not full yet

    def append(self, piece: bytes) -> None:
        """Append a piece."""
        block = self._open
        if block is not None:
            block.extend(piece)
            if len(block) >= _BLOCK_BYTES:
                self._blocks.append(bytes(block))
                self._open = None
        elif len(piece) >= _BLOCK_BYTES or not self._blocks:
            # Most bodies have a single piece, which is not copied.
            self._blocks.append(piece)
        else:
            self._open = bytearray(piece)

    def join(self) -> bytes:
        """Return the body received so far."""
        if self._open is not None:
            self._blocks.append(bytes(self._open))
            self._open = None
        return self._blocks[0] if len(self._blocks) == 1 else b"".join(self._blocks)
