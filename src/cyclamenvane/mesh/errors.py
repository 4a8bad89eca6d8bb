"""Exceptions of the mesh for connection failures that no return value reports."""

from __future__ import annotations

__all__ = ["FrameError", "NoMemoryError"]


class FrameError(OSError):
    """Invalid or unexpected frame on a stream, or a stream closed by the peer."""


class NoMemoryError(FrameError):
    """A frame that is being received is too large for the memory that is left."""
