"""Multiplexed streams between nodes, and from embedded callers to nodes."""

from __future__ import annotations

from .client import PendingCall, ReceivedResponse, StreamClient, open_stream
from .codec import MAX_FRAME_BYTES, FrameReader, MalformedFrame, encode_frame
from .frame import Frame, RequestFrame
from .handshake import (
    ROLE_CALLER,
    ROLE_NODE,
    HandshakeError,
    Peer,
    derive_credential,
)
from .server import IncomingCall, StreamServer
from .stream import Stream

__all__ = [
    "MAX_FRAME_BYTES",
    "ROLE_CALLER",
    "ROLE_NODE",
    "Frame",
    "FrameReader",
    "HandshakeError",
    "IncomingCall",
    "MalformedFrame",
    "Peer",
    "PendingCall",
    "ReceivedResponse",
    "RequestFrame",
    "Stream",
    "StreamClient",
    "StreamServer",
    "derive_credential",
    "encode_frame",
    "open_stream",
]
