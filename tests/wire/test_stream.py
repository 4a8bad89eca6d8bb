"""Signs of life, and bodies under credit."""

from __future__ import annotations

import socket
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

import pytest
from manual_clock import ManualClock

from cyclamenvane.calls import CHUNK_BYTES, PIPE_BYTES, BodyFailed, Pipe
from cyclamenvane.wire import FrameReader, Peer
from cyclamenvane.wire.client import StreamClient
from cyclamenvane.wire.frame import CreditFrame, PingFrame
from cyclamenvane.wire.stream import SILENCE, Stream

PATIENCE = timedelta(seconds=20)


@pytest.fixture
def pair(clock: ManualClock):
    ours, theirs = socket.socketpair()
    theirs.settimeout(PATIENCE.total_seconds())
    yield Stream(ours, clock), theirs
    theirs.close()
    ours.close()


def test_quiet_stream_is_asked_and_a_silent_one_closed(pair, clock) -> None:
    stream, theirs = pair
    stream.beat()
    clock.advance(0.6)
    stream.beat()
    assert list(FrameReader().feed(theirs.recv(100))) == [PingFrame(1)]
    assert not stream.closed
    clock.advance(SILENCE.total_seconds())
    stream.beat()
    assert stream.closed


def test_calls_on_a_silent_stream_end_without_an_answer(pair, clock) -> None:
    stream, _ = pair
    with ThreadPoolExecutor(1) as pool:
        client = StreamClient(stream, Peer("node", "n", "s"), pool)
        reading = pool.submit(client.read)
        asking = ThreadPoolExecutor(1).submit(client.ask, "t", b"", PATIENCE)
        while not client.busy:
            pass
        clock.advance(SILENCE.total_seconds())
        client.beat()
        assert asking.result() is None
        reading.result()


def test_nothing_is_sent_of_a_body_before_it_is_read(pair) -> None:
    stream, theirs = pair
    taken: list[int] = []

    def chunks():
        for index in range(8):
            taken.append(index)
            yield b"x"

    stream.open_body(1)
    with ThreadPoolExecutor(1) as pool:
        sending = pool.submit(stream.send_body, 1, chunks())
        stream.stop_sending(1)
        assert sending.result() is False
    assert not taken


def test_reader_grants_room_as_it_reads(pair) -> None:
    stream, theirs = pair
    pipe = stream.receive_body(1, b"", -1)
    pipe.offer(b"a")
    reading = iter(pipe)
    assert next(reading) == b"a"
    granted = list(FrameReader().feed(theirs.recv(100)))
    assert granted[0] == CreditFrame(1, PIPE_BYTES // CHUNK_BYTES)


def test_short_body_never_looks_whole(pair) -> None:
    stream, _ = pair
    pipe = stream.receive_body(1, b"half", 100)
    stream.close()
    with pytest.raises(BodyFailed):
        list(pipe)


def test_pipe_is_bounded() -> None:
    pipe = Pipe()
    sent = 0
    while pipe.offer(b"x" * CHUNK_BYTES):
        sent += CHUNK_BYTES
    assert sent <= PIPE_BYTES + CHUNK_BYTES
