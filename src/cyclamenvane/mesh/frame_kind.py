"""The kinds of frames between nodes; the first element of each frame is its kind."""

from __future__ import annotations

from enum import IntEnum

__all__ = ["FrameKind"]


class FrameKind(IntEnum):
    """The content of a frame between nodes."""

    FORWARD = 1
    RESULT = 2
    HELLO = 3
    SNAPSHOT = 4
    FOLLOW = 5
    UPDATES = 6
    QUARANTINE = 7
    TOKENS = 8
    CONFIRM = 9
