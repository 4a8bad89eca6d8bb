"""Connection pool to other nodes, and forwarding of calls to them."""

from __future__ import annotations

import errno
import itertools
import threading
from collections import deque
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from .connection import is_idle, open_connection
from .errors import FrameError, NoMemoryError
from .forward import ForwardRequest, ForwardResult, Reason, Verdict
from .frames import FrameStream
from .watch import WaitResult, Watch

if TYPE_CHECKING:
    from ..clock import Clock
    from .memory import MemoryBudget
    from .model import Address

__all__ = ["PeerPool"]

# Allows several round trips between any two regions.
_CONNECT_TIMEOUT = timedelta(milliseconds=300)
# The other node reports a verdict at the deadline at the latest; this allows for
# its transfer.
_VERDICT_MARGIN = timedelta(milliseconds=60)
_MAX_IDLE = timedelta(seconds=5)  # a new connection costs a round trip
# Idle time up to which a stream may be reused without a check.
_UNCHECKED_IDLE = timedelta(milliseconds=200)
_MAX_IDLE_STREAMS = 32  # per node


class _IdleConnection:
    def __init__(self, stream: FrameStream, until: timedelta) -> None:
        self.stream = stream
        self.until = until


class PeerPool:
    """Pool of idle connections to other nodes, by address.

    Large results take their memory from `memory`, if it is given.
    """

    def __init__(self, clock: Clock, memory: MemoryBudget | None = None) -> None:
        self._clock = clock
        self._memory = memory
        self._idle: dict[Address, deque[_IdleConnection]] = {}
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()

    def forward(
        self, address: Address, request: ForwardRequest, watch: Watch
    ) -> ForwardResult:
        """Forward a request to the node at an address and wait for the result.

        Connection errors are reported in the result.
        """
        until = self._clock.monotonic() + request.remaining + _VERDICT_MARGIN
        try:
            stream = self._acquire(address, check=not request.idempotent)
        except OSError as error:
            lacks_descriptors = error.errno in (errno.EMFILE, errno.ENFILE)
            reason = Reason.NO_ROOM if lacks_descriptors else Reason.UNREACHABLE
            return ForwardResult(Verdict.NOT_RUN, reason, detail=str(error))
        number, sent = next(self._numbers), False
        reservation = self._memory.open() if self._memory is not None else None
        stream.reservation = reservation
        try:
            wait_result, sent = stream.send(request.pack(number), watch, until)
            if wait_result is WaitResult.READY:
                wait_result, frame = stream.receive(watch, until)
            if wait_result is WaitResult.READY:
                result = ForwardResult.unpack(frame)
                # Nodes of an earlier release, and those that refuse a frame before
                # they have read it, send no number. Such a stream is not used again.
                if result.number not in (0, number):
                    raise FrameError(f"result {result.number} of request {number}")
                if not sent and result.verdict is not Verdict.NOT_RUN:
                    raise FrameError("result of a request that was not sent")
                stream.reservation = None
                if reservation is not None and reservation.held:
                    result.reservation = reservation
                if sent and result.number:
                    self._store_idle(address, stream)
                else:
                    stream.close()
                return result
        except (OSError, ValueError, TypeError, OverflowError) as error:
            stream.free()
            stream.close()
            if isinstance(error, NoMemoryError):
                # The other node is sound, and the target has run the request.
                return ForwardResult(
                    Verdict.UNKNOWN, Reason.NO_ROOM, detail="no memory for the result"
                )
            # A request is run only once all of it has been read.
            verdict = Verdict.UNKNOWN if sent else Verdict.NOT_RUN
            return ForwardResult(verdict, Reason.UNREACHABLE, detail=repr(error))
        stream.free()
        stream.close()
        caller_gone = wait_result is WaitResult.CALLER_GONE
        reason = Reason.CALLER_GONE if caller_gone else Reason.TIMED_OUT
        return ForwardResult(Verdict.UNKNOWN, reason)

    def request(
        self, address: Address, frame: list[Any], watch: Watch, timeout: timedelta
    ) -> list[Any] | None:
        """Send one frame on a new connection; return the response or None."""
        until = self._clock.monotonic() + timeout
        try:
            stream = FrameStream(open_connection(address, _CONNECT_TIMEOUT))
        except OSError:
            return None
        try:
            if not stream.send(frame, watch, until)[1]:
                return None
            wait_result, response = stream.receive(watch, until)
            return response if wait_result is WaitResult.READY else None
        except OSError:
            return None
        finally:
            stream.close()

    def exchange(
        self, address: Address, frame: list[Any], watch: Watch, timeout: timedelta
    ) -> list[Any] | None:
        """Send one frame on a pooled connection; return the response or None."""
        until = self._clock.monotonic() + timeout
        try:
            stream = self._acquire(address, check=True, connect_timeout=timeout)
        except OSError:
            return None
        try:
            if stream.send(frame, watch, until)[1]:
                wait_result, response = stream.receive(watch, until)
                if wait_result is WaitResult.READY:
                    self._store_idle(address, stream)
                    return response
        except OSError:
            stream.close()
            return None
        stream.close()
        return None

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to a node."""
        with self._lock:
            idle = self._idle.pop(address, ())
        for connection in idle:
            connection.stream.close()

    def _acquire(
        self,
        address: Address,
        check: bool,
        connect_timeout: timedelta = _CONNECT_TIMEOUT,
    ) -> FrameStream:
        while True:
            with self._lock:
                idle = self._idle.get(address)
                connection = idle.pop() if idle else None
            if connection is None:
                return FrameStream(open_connection(address, connect_timeout))
            idle_left = connection.until - self._clock.monotonic()
            if idle_left > timedelta() and (
                # Only a node that is stopping closes a recently used stream.
                (not check and idle_left > _MAX_IDLE - _UNCHECKED_IDLE)
                or is_idle(connection.stream.sock)
            ):
                return connection.stream
            connection.stream.close()

    def _store_idle(self, address: Address, stream: FrameStream) -> None:
        if not stream.is_drained():
            stream.close()
            return
        now = self._clock.monotonic()
        excess = []
        with self._lock:
            idle = self._idle.setdefault(address, deque())
            idle.append(_IdleConnection(stream, now + _MAX_IDLE))
            while len(idle) > _MAX_IDLE_STREAMS or idle[0].until < now:
                excess.append(idle.popleft())
        for connection in excess:
            connection.stream.close()
