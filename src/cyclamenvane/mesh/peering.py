"""Connections to other nodes, and the orders sent on them."""

from __future__ import annotations

import threading
from collections import deque
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from .connection import is_quiet, open_connection
from .frames import FrameStream
from .order import Delivery, Order, Reason, Verdict
from .watch import Waited, Watch

if TYPE_CHECKING:
    from ..clock import Clock
    from .model import Address

__all__ = ["PeerPool"]

# Several round trips between any two regions.
_CONNECT_TIMEOUT = timedelta(milliseconds=300)
# The other node judges at the deadline; its word is awaited a little longer.
_VERDICT_MARGIN = timedelta(milliseconds=60)
_LONGEST_IDLE = timedelta(seconds=5)  # opening one anew costs a round trip
_SURE_FOR = timedelta(milliseconds=200)
_MOST_IDLE = 32  # connections to one node that wait for an order


@dataclass(frozen=True)
class _Idle:
    stream: FrameStream
    until: timedelta


class PeerPool:
    """Idle connections to other nodes, by address."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[Address, deque[_Idle]] = {}
        self._lock = threading.Lock()

    def deliver(self, address: Address, order: Order, watch: Watch) -> Delivery:
        """Hand an order to the node at an address and wait for its outcome."""
        until = self._clock.monotonic() + order.remaining + _VERDICT_MARGIN
        try:
            stream = self._take(address, check=not order.repeatable)
        except OSError as error:
            return Delivery(Verdict.NOT_RUN, Reason.UNREACHABLE, detail=str(error))
        try:
            waited = stream.send(order.pack(), watch, until)
            if waited is Waited.READY:
                waited, frame = stream.receive(watch, until)
            if waited is Waited.READY:
                delivery = Delivery.unpack(frame)
                self._keep(address, stream)
                return delivery
        except (OSError, ValueError, TypeError) as error:
            stream.close()
            # The order may have been read before the connection broke.
            return Delivery(Verdict.UNKNOWN, Reason.UNREACHABLE, detail=repr(error))
        stream.close()
        gone = waited is Waited.CALLER_GONE
        reason = Reason.CALLER_GONE if gone else Reason.TIMED_OUT
        return Delivery(Verdict.UNKNOWN, reason)

    def ask(
        self, address: Address, frame: list[Any], watch: Watch, timeout: timedelta
    ) -> list[Any] | None:
        """Send one frame on a new connection; return the answer, None if none."""
        until = self._clock.monotonic() + timeout
        try:
            stream = FrameStream(open_connection(address, _CONNECT_TIMEOUT))
        except OSError:
            return None
        try:
            if stream.send(frame, watch, until) is not Waited.READY:
                return None
            waited, answer = stream.receive(watch, until)
            return answer if waited is Waited.READY else None
        except OSError:
            return None
        finally:
            stream.close()

    def forget(self, address: Address) -> None:
        """Close the idle connections to a node."""
        with self._lock:
            idle = self._idle.pop(address, ())
        for each in idle:
            each.stream.close()

    def _take(self, address: Address, check: bool) -> FrameStream:
        while True:
            with self._lock:
                idle = self._idle.get(address)
                found = idle.pop() if idle else None
            if found is None:
                return FrameStream(open_connection(address, _CONNECT_TIMEOUT))
            left = found.until - self._clock.monotonic()
            if left > timedelta() and (
                # Only a node that ends closes a stream that was used just now.
                (not check and left > _LONGEST_IDLE - _SURE_FOR)
                or is_quiet(found.stream.sock)
            ):
                return found.stream
            found.stream.close()

    def _keep(self, address: Address, stream: FrameStream) -> None:
        now = self._clock.monotonic()
        surplus = []
        with self._lock:
            idle = self._idle.setdefault(address, deque())
            idle.append(_Idle(stream, now + _LONGEST_IDLE))
            while len(idle) > _MOST_IDLE or idle[0].until < now:
                surplus.append(idle.popleft())
        for each in surplus:
            each.stream.close()
