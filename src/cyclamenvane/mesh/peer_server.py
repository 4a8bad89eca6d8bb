"""Server for frames from other nodes.

They are forwarded calls, hellos, entries of the quarantine, and requests for snapshots,
for updates, for the tokens of accounts and for confirmations.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from .connection import discard_until_end, set_receive_timeout, shut_down
from .errors import FrameError, NoMemoryError
from .forward import ForwardRequest, ForwardResult, FrameKind, Reason, Verdict
from .frames import FrameStream
from .in_flight import InFlightCounter
from .watch import Watch, watch_socket

if TYPE_CHECKING:
    from ..clock import Clock
    from .memory import MemoryBudget
    from .model import Address
    from .peer_sync import PeerSync
    from .relay import Relay
    from .target_proxy import TargetProxy

__all__ = ["PeerServer", "PeerSession"]

# A node that does not read for this long is treated as unreachable.
_SEND_TIMEOUT = timedelta(seconds=5)
# Under load the next request arrives in this time; without one, the connection is
# parked so that it does not occupy a task for longer.
_RECEIVE_TIMEOUT = timedelta(milliseconds=250)
_NO_MEMORY_RETRY = timedelta(seconds=1)
_MAX_STALL = timedelta(seconds=5)  # of a frame that is being received
_MAX_IDLE = timedelta(seconds=60)  # the other node closes idle connections much sooner


class PeerServer:
    """Handles frames from other nodes."""

    def __init__(
        self,
        target_proxy: TargetProxy,
        clock: Clock,
        peer_sync: PeerSync,
        relay: Relay,
        find_address: Callable[[socket.socket], Address],
        get_version: Callable[[], int],
        answer_tokens: Callable[[list[Any], Watch], list[Any]],
        memory: MemoryBudget,
    ) -> None:
        self.memory = memory
        self.load = target_proxy.load
        self._answer_tokens = answer_tokens
        self._target_proxy = target_proxy
        self._clock = clock
        self._peer_sync = peer_sync
        self._relay = relay
        self._find_address = find_address
        self._get_version = get_version
        self.in_flight = InFlightCounter()

    def open_session(self, sock: socket.socket) -> PeerSession:
        """Return a session for a connection opened by another node."""
        return PeerSession(self, sock, self._clock)

    def handle_forward(
        self, frame: list[Any], watch: Watch, sock: socket.socket
    ) -> tuple[ForwardRequest, ForwardResult]:
        """Execute the request in a frame; raises FrameError if it is invalid."""
        try:
            request = ForwardRequest.unpack(frame)
        except (ValueError, TypeError, OverflowError) as error:
            raise FrameError(f"invalid forward frame: {error}") from error
        if request.version > self._get_version():
            address = self._find_address(sock)
            self._peer_sync.add_newer_version(request.version, address)
        return request, self._execute(request, watch)

    def handle_frame(
        self, frame: list[Any], watch: Watch, sock: socket.socket
    ) -> list[Any]:
        """Return the response to a frame; raises FrameError if it is invalid."""
        kind = frame[0]
        if kind == FrameKind.TOKENS:
            return self._answer_tokens(frame, watch)
        if kind == FrameKind.FOLLOW:
            return self._relay.answer(frame)
        if kind == FrameKind.QUARANTINE:
            try:
                self._target_proxy.quarantine.merge(frame[1])
            except (IndexError, ValueError, TypeError, OverflowError) as error:
                raise FrameError(f"invalid quarantine frame: {error}") from error
            return [FrameKind.QUARANTINE]
        if kind == FrameKind.SNAPSHOT:
            return self._peer_sync.make_snapshot()
        if kind == FrameKind.CONFIRM:
            return self._peer_sync.confirmations.answer()
        if kind == FrameKind.HELLO:
            self._peer_sync.apply_hello(frame, self._find_address(sock))
            return self._peer_sync.make_hello()
        raise FrameError(f"unknown frame kind: {kind!r}")

    def _execute(self, request: ForwardRequest, watch: Watch) -> ForwardResult:
        try:
            return self._target_proxy.execute(request, watch)
        except OSError as error:
            # Such as a want of descriptors. The connection to the other node is sound.
            return ForwardResult(Verdict.UNKNOWN, Reason.BROKEN, detail=repr(error))


class PeerSession:
    """One connection from another node."""

    def __init__(
        self, peer_server: PeerServer, sock: socket.socket, clock: Clock
    ) -> None:
        self.sock = sock
        self.served = False
        set_receive_timeout(sock, _RECEIVE_TIMEOUT)
        self._peer_server = peer_server
        self._clock = clock
        reservation = peer_server.memory.open(self._evict)
        self._stream = FrameStream(sock, reservation=reservation)
        self._watch = watch_socket(clock, sock)

    def run(self) -> timedelta | None:
        """Serve frames; return the idle deadline, or None to close the connection."""
        resumed = True
        try:
            while True:
                frame = self._stream.receive_or_timeout()
                if frame is None:
                    max_idle = _MAX_IDLE if self._stream.is_drained() else _MAX_STALL
                    return self._clock.monotonic() + max_idle
                # The other node may have cancelled the request, by closing the
                # connection, while it was waiting for a free task.
                if resumed and not self._watch.is_caller_connected():
                    return None
                resumed = False
                self._stream.pin()
                with self._peer_server.in_flight:
                    if not self._respond(frame):
                        return None
                self.served = True
                self._stream.free()
                self._stream.expose(self._evict)
        except NoMemoryError:
            self._refuse_frame()
            return None
        except OSError:
            # The other node closed the connection, which cancels its request.
            return None

    def _respond(self, frame: list[Any]) -> bool:
        if frame[0] != FrameKind.FORWARD:
            server = self._peer_server
            return self._send(server.handle_frame(frame, self._watch, self.sock))
        request, result = self._peer_server.handle_forward(
            frame, self._watch, self.sock
        )
        try:
            # The request has been sent to the target, and its body is not used again.
            request.body = b""
            frame.clear()
            self._stream.free()
            return self._send(result.pack(request.extended, request.number))
        finally:
            result.release()

    def _send(self, response: list[Any]) -> bool:
        if self._watch.caller_gone:
            return False
        deadline = self._clock.monotonic() + _SEND_TIMEOUT
        return self._stream.send(response, self._watch, deadline)[1]

    def _refuse_frame(self) -> None:
        """Refuse a request that is too large to be received."""
        result = ForwardResult(
            Verdict.NOT_RUN,
            Reason.NO_ROOM,
            retry_after=_NO_MEMORY_RETRY,
            detail="no memory for the request",
            load=self._peer_server.load(),
        )
        self._stream.abandon()
        now = self._clock.monotonic()
        try:
            self._stream.send(result.pack(True), self._watch, now + _SEND_TIMEOUT)
        except OSError:
            # The other node has closed the connection.
            return
        discard_until_end(self.sock, self._clock, now + _SEND_TIMEOUT)

    def expire(self) -> None:
        """Do nothing: the other node has stalled, or keeps the connection no more."""

    def _evict(self) -> None:
        """End a frame that is not whole and makes no progress."""
        shut_down(self.sock)

    def close(self) -> None:
        """Release the memory of a frame that was not received whole."""
        self._stream.abandon()
