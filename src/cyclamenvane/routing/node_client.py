"""Sends a request to another node over a stream and waits for the response."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from ..calls import (
    CallScope,
    Outcome,
    Pipe,
    Refusal,
    Report,
    Request,
    Response,
    make_refusal,
    make_unknown_response,
)
from ..wire import ReceivedResponse, RequestFrame, StreamClient

if TYPE_CHECKING:
    from ..clock import Clock
    from ..membership import Member
    from .peer import PeerPool

__all__ = ["NodeClient", "make_request_frame"]

_MICROSECOND = timedelta(microseconds=1)


@dataclass(frozen=True, slots=True)
class NodeClient:
    """Sends requests to other nodes over the streams of a pool."""

    peers: PeerPool
    clock: Clock

    def send(
        self,
        member: Member,
        request: Request,
        token: str,
        allowance: int,
        scope: CallScope,
    ) -> Response:
        """Return a member's response to a request.

        If the request was not sent to the member, the response is the refusal
        `UNREACHED`. If it was sent and no response arrives, the outcome is
        `UNKNOWN`.
        """
        client = self.peers.reach(member)
        if client is None:
            return make_refusal(Refusal.UNREACHED, member.name)
        return self._exchange(client, member, request, token, allowance, scope)

    def _exchange(
        self,
        client: StreamClient,
        member: Member,
        request: Request,
        token: str,
        allowance: int,
        scope: CallScope,
    ) -> Response:
        remaining = request.deadline - self.clock.monotonic()
        if remaining <= timedelta():
            return make_refusal(Refusal.UNREACHED, "no time was left")
        body = request.body if isinstance(request.body, Pipe) else None
        pending = client.call(
            lambda number: make_request_frame(
                number, request, token, allowance, remaining, member.session
            ),
            body,
        )
        if pending is None:
            return make_refusal(Refusal.UNREACHED, member.name)
        unregister = scope.on_cancel(pending.cancel)
        received = pending.wait(remaining)
        unregister()
        if received is not None:
            return _unpack_response(received)
        return self._make_no_response(client, pending.number, request, scope)

    def _make_no_response(
        self, client: StreamClient, number: int, request: Request, scope: CallScope
    ) -> Response:
        if scope.cancelled:
            return make_unknown_response(Refusal.CANCELLED)
        if self.clock.monotonic() >= request.deadline:
            client.cancel(number)
            return make_unknown_response(Refusal.DEADLINE)
        return make_unknown_response(Refusal.LOST)


def make_request_frame(
    number: int,
    request: Request,
    token: str,
    allowance: int,
    remaining: timedelta,
    session: str,
) -> RequestFrame:
    """Return the frame of a request with its retry allowance."""
    body = request.body
    streamed = isinstance(body, Pipe)
    length = body.length if streamed else len(body)
    return RequestFrame(
        call=number,
        service=request.service,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=b"" if streamed else body,
        more=streamed,
        length=-1 if length is None else length,
        remaining_us=remaining // _MICROSECOND,
        token=token,
        allowance=allowance,
        request_id=request.request_id,
        key=request.key,
        session=session,
    )


def _unpack_response(received: ReceivedResponse) -> Response:
    frame = received.frame
    retry_after_ms = frame.retry_after_ms
    return Response(
        status=frame.status,
        headers=frame.headers,
        body=received.body,
        outcome=Outcome(frame.outcome),
        refusal=Refusal(frame.refusal),
        report=Report(frame.unused, frame.level, frame.target_level, frame.retried),
        retry_after=timedelta(milliseconds=retry_after_ms) if retry_after_ms else None,
    )
