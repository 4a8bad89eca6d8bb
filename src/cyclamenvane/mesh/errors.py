"""The exceptions of the mesh, for ends of connections that no value can tell."""

from __future__ import annotations

__all__ = ["FrameError"]


class FrameError(OSError):
    """The other side of a stream sent bytes that are no frame."""
