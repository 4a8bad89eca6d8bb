"""Frames of a peer that are larger than the limit, or have no end."""

from __future__ import annotations

import socket
import threading

import msgpack
import pytest

from cyclamenvane.mesh.errors import FrameError
from cyclamenvane.mesh.frames import FrameStream

MAX_FRAME_BYTES = 100_000


@pytest.fixture
def streams():
    """Return a stream with a small limit, and the socket of its peer."""
    local, remote = socket.socketpair()
    yield FrameStream(local, MAX_FRAME_BYTES), remote
    local.close()
    remote.close()


def send_until_closed(remote, piece):
    try:
        while True:
            remote.sendall(piece)
    except OSError:
        return


@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (b"\xdd\xff\xff\xff\xff", b"\x01" * 4096),
        (b"\x91\xc6\x7f\xff\xff\xff", b"x" * 4096),
    ],
    ids=["array without end", "announced body"],
)
def test_frame_over_the_limit_is_an_error(streams, start, piece):
    stream, remote = streams
    remote.sendall(start)
    sender = threading.Thread(target=send_until_closed, args=(remote, piece))
    sender.start()
    with pytest.raises(FrameError):
        stream.receive_or_timeout()
    stream.close()
    sender.join(5)
    assert not sender.is_alive()


def test_frame_within_the_limit_is_received(streams):
    stream, remote = streams
    frame = [1, b"x" * 50_000]
    remote.sendall(msgpack.packb(frame))
    assert stream.receive_or_timeout() == frame
