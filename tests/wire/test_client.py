"""Stateful fuzzing of calls on a stream against a scripted peer."""

from __future__ import annotations

import socket
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from cyclamenvane.clock import SystemClock
from cyclamenvane.wire import FrameReader, Peer, RequestFrame, encode_frame
from cyclamenvane.wire.client import StreamClient
from cyclamenvane.wire.frame import CancelFrame, ResponseFrame
from cyclamenvane.wire.stream import Stream

TIMEOUT = timedelta(seconds=20)


def make_request(number: int) -> RequestFrame:
    return RequestFrame(
        number, "s", "GET", "/", (), b"", False, 0, 10**6, "", 0, "", "", ""
    )


def make_response(number: int) -> ResponseFrame:
    body = f"answer to {number}".encode()
    return ResponseFrame(number, 200, (), body, False, -1, 0, 0, 0, 0, 0, False, 0)


class StreamMachine(RuleBasedStateMachine):
    """Checks that a call gets at most one response, that of its own number."""

    def __init__(self) -> None:
        super().__init__()
        self.open()

    def open(self) -> None:
        local, self.remote = socket.socketpair()
        self.remote.settimeout(TIMEOUT.total_seconds())
        self.pool = ThreadPoolExecutor(2)
        self.client = StreamClient(
            Stream(local, SystemClock()), Peer("node", "n", "s"), self.pool
        )
        self.reading = self.pool.submit(self.client.read)
        self.reader = FrameReader()
        self.waiting: dict[int, object] = {}
        self.ended: set[int] = set()

    def receive(self) -> list:
        return list(self.reader.feed(self.remote.recv(65536)))

    @rule()
    def call(self) -> None:
        pending = self.client.call(make_request, None)
        assert [frame.call for frame in self.receive()] == [pending.number]
        self.waiting[pending.number] = pending

    @precondition(lambda self: self.waiting)
    @rule(data=st.data(), copies=st.integers(1, 3))
    def respond(self, data: st.DataObject, copies: int) -> None:
        number = data.draw(st.sampled_from(sorted(self.waiting)))
        self.remote.sendall(encode_frame(make_response(number)) * copies)
        received = self.waiting.pop(number).wait(TIMEOUT)
        assert received.frame == make_response(number)
        self.ended.add(number)

    @rule(number=st.integers(0, 9), never_made=st.booleans())
    def send_unmatched_response(self, number: int, never_made: bool) -> None:
        # The peer cannot answer a call before it is sent, so the number is that
        # of an ended call or far above any in use.
        if never_made or number in self.ended:
            number += 1000 * never_made
            self.remote.sendall(encode_frame(make_response(number)))

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        number = data.draw(st.sampled_from(sorted(self.waiting)))
        pending = self.waiting.pop(number)
        pending.cancel()
        assert self.receive() == [CancelFrame(number)]
        assert pending.wait(TIMEOUT) is None
        self.ended.add(number)

    @rule()
    def cut_stream(self) -> None:
        self.remote.close()
        for pending in self.waiting.values():
            assert pending.wait(TIMEOUT) is None
        self.reading.result(TIMEOUT.total_seconds())
        assert self.client.call(make_request, None) is None
        self.teardown()
        self.open()

    def teardown(self) -> None:
        self.remote.close()
        self.client.close()
        self.reading.result(TIMEOUT.total_seconds())
        assert not self.client.busy
        self.pool.shutdown()


TestStream = StreamMachine.TestCase
