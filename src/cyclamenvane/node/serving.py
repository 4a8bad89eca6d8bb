"""Handlers for what a node receives on its streams.

`CallHandler` handles calls to the targets on this VM, from streams or from this
node's own router. `QueryHandler` answers query frames, which are not calls to a
target.
"""

from __future__ import annotations

import queue
import secrets
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from ..calls import (
    CallContext,
    CallScope,
    Refusal,
    Request,
    Response,
    make_refusal,
    verify_token,
)
from ..effects import Archive, Ledger, pack_response, parse_ticket
from ..wire import ROLE_CALLER, ROLE_NODE, IncomingCall, Peer, derive_credential
from .joining import pack_differing_members, pack_members, unpack_members

if TYPE_CHECKING:
    from ..clock import Clock
    from ..membership import View
    from ..policy import RuleSet, SectionSync
    from .execution import Execution

__all__ = ["CallHandler", "QueryHandler", "make_key_finder"]

_MICROSECOND = timedelta(microseconds=1)
_ROOT_BYTES = 6


def make_key_finder(
    node_key: bytes, caller_key: bytes
) -> Callable[[str, str], bytes | None]:
    """Return a function that returns the key a role and name must prove to hold."""

    def find_key(role: str, name: str) -> bytes | None:
        if role == ROLE_NODE:
            return node_key
        return derive_credential(caller_key, name) if role == ROLE_CALLER else None

    return find_key


class CallHandler:
    """Handles calls to the targets on this VM."""

    def __init__(
        self,
        execution: Execution,
        session: str,
        rule_set: Callable[[], RuleSet],
        node_key: bytes,
        clock: Clock,
    ) -> None:
        self._execution = execution
        self._session = session
        self._rule_set = rule_set
        self._node_key = node_key
        self._clock = clock

    def serve(self, peer: Peer, call: IncomingCall) -> None:
        """Process a call received on a stream."""
        frame = call.frame
        context = verify_token(frame.token, self._node_key)
        if context is None and peer.role == ROLE_NODE:
            call.reply(make_refusal(Refusal.UNAUTHENTICATED))
            return
        if frame.session and frame.session != self._session and not frame.key:
            call.reply(make_refusal(Refusal.LEAVING))
            return
        request = self._build_request(peer, call, context)
        scope = CallScope(request.context, request.deadline)
        call.on_cancel(scope.cancel)
        self._execution.serve(
            request, scope, call.reply, before_wait=call.hand_off_reading
        )

    def serve_local(self, request: Request, granted: int, scope: CallScope) -> Response:
        """Return the response to a call received by this node's own router."""
        responses: queue.SimpleQueue[Response] = queue.SimpleQueue()
        context = replace(request.context, allowance=granted)
        child = CallScope(context, request.deadline)
        unregister = scope.on_cancel(child.cancel)
        self._execution.serve(request, child, responses.put)
        response = responses.get()
        unregister()
        return response

    def _build_request(
        self, peer: Peer, call: IncomingCall, context: CallContext | None
    ) -> Request:
        frame = call.frame
        caller = context.caller if context else peer.name
        rules = self._rule_set().find(frame.service)
        decision = rules.decide(caller, frame.method, frame.path)
        if context is None:
            root = frame.request_id or secrets.token_hex(_ROOT_BYTES)
            allowance = rules.extra_attempts
            context = CallContext(root, caller, decision.importance, 0, allowance)
        granted = min(frame.allowance, context.allowance)
        return Request(
            service=frame.service,
            method=frame.method,
            path=frame.path,
            headers=frame.headers,
            body=call.body,
            context=replace(context, allowance=granted),
            deadline=self._clock.monotonic() + frame.remaining_us * _MICROSECOND,
            request_id=frame.request_id,
            key=frame.key,
            idempotent=decision.idempotent,
        )


class QueryHandler:
    """Answers query frames from nodes and embedded callers."""

    def __init__(
        self, ledger: Ledger, archive: Archive, view: View, section_sync: SectionSync
    ) -> None:
        self._ledger = ledger
        self._archive = archive
        self._view = view
        self._section_sync = section_sync

    def answer(self, peer: Peer, topic: str, payload: bytes) -> bytes | None:
        """Return the reply to a query frame, None when it cannot be answered."""
        if topic == "epoch":
            return self._ledger.epoch.to_bytes(8, "big")
        if topic == "membership.sync":
            if peer.role == ROLE_NODE:
                self._view.merge_all(unpack_members(payload))
            return pack_members(self._view.all())
        if topic == "membership.differ":
            return pack_differing_members(self._view, payload)
        if topic == "outcome":
            return self._find_outcome(peer, payload)
        return self._section_sync.answer(topic, payload)

    def _find_outcome(self, peer: Peer, payload: bytes) -> bytes | None:
        ticket = parse_ticket(payload.decode(errors="replace"))
        if ticket is None:
            return None
        return pack_response(self._archive.find(peer.name, ticket))
