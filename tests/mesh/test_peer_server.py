"""Frames of other nodes that cannot be decoded."""

from __future__ import annotations

import socket

import pytest
from builders import make_watch

from cyclamenvane.mesh.errors import FrameError
from cyclamenvane.mesh.forward import FrameKind

ENDLESS = float("inf")


@pytest.mark.parametrize(
    "frame",
    [
        [FrameKind.FORWARD, "svc", b"", b"", b"a", True, ENDLESS, 1, 0, 0, 1],
        [FrameKind.FORWARD, "svc", b"", b"", b"a", True, 1, ENDLESS, 0, 0, 1],
        [FrameKind.FOLLOW, [["t", None]], ENDLESS],
        [FrameKind.FOLLOW, [["t", [ENDLESS, 1]]], 1],
    ],
)
def test_infinite_number_closes_the_connection_only(mesh, frame):
    """Guards against a process that ends on a number that it cannot convert."""
    server = mesh.add().node._peer_server
    with socket.socket() as sock, pytest.raises(FrameError):
        handlers = {FrameKind.FORWARD: server.handle_forward}
        handle = handlers.get(frame[0], server.handle_frame)
        handle(frame, make_watch(), sock)
