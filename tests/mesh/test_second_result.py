"""Nodes that send the result of a request once more on a stream."""

from __future__ import annotations

import socket
import threading
import time

import msgpack
import pytest
from builders import make_forward_request

from cyclamenvane.clock import SystemClock
from cyclamenvane.mesh.forward import ForwardRequest, ForwardResult, Reason, Verdict
from cyclamenvane.mesh.peer_pool import PeerPool
from cyclamenvane.mesh.watch import watch_no_caller


class RepeatingNode:
    """A node that refuses the first request, and writes its result again."""

    def __init__(self, together: bool, numbered: bool = True) -> None:
        self._together, self._numbered = together, numbered
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = self._listener.getsockname()
        self.executed: list[ForwardRequest] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        refusal, refused = b"", None
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            unpacker = msgpack.Unpacker()
            with sock:
                while data := sock.recv(65536):
                    unpacker.feed(data)
                    for frame in unpacker:
                        request = ForwardRequest.unpack(frame)
                        if not refusal:
                            result = ForwardResult(Verdict.NOT_RUN, Reason.NO_ROOM)
                            refusal = self._pack(result, request)
                            sock.sendall(refusal * (2 if self._together else 1))
                            refused = sock
                            continue
                        self.executed.append(request)
                        if not self._together and sock is refused:
                            sock.sendall(refusal)
                        result = ForwardResult(Verdict.ANSWERED, status=200, head=b"h")
                        sock.sendall(self._pack(result, request))

    def _pack(self, result: ForwardResult, request: ForwardRequest) -> bytes:
        number = request.number if self._numbered else 0
        return msgpack.packb(result.pack(request.extended, number))


@pytest.mark.parametrize("numbered", [True, False])
@pytest.mark.parametrize("together", [True, False])
def test_second_result_of_a_request_is_none_of_the_next_one(together, numbered):
    """Guards against a call that is taken for refused while another node runs it.

    Nodes of an earlier release send results without a number.
    """
    node, clock = RepeatingNode(together, numbered), SystemClock()
    pool, watch = PeerPool(clock), watch_no_caller(clock)
    first = pool.forward(node.address, make_forward_request(attempt=b"a1"), watch)
    assert first.verdict is Verdict.NOT_RUN
    time.sleep(0.05)
    second = pool.forward(node.address, make_forward_request(attempt=b"a2"), watch)
    assert second.verdict is not Verdict.NOT_RUN
    assert [each.attempt for each in node.executed] == [b"a2"]
    node.close()


def test_result_of_an_earlier_release_has_no_number():
    """Guards against nodes that take no results of others while they are replaced."""
    frame = ForwardResult(Verdict.NOT_RUN).pack(True, 7)
    assert ForwardResult.unpack(frame).number == 7
    frame[-1].pop()
    assert ForwardResult.unpack(frame).number == 0
    request = make_forward_request().pack(7)
    assert ForwardRequest.unpack(request).number == 7
    assert ForwardRequest.unpack(request[:-1]).number == 0
