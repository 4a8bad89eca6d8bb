"""Routes a request with an idempotency key to the only session that may execute it.

A session is one process of a node, from start to exit. A key that is a ticket
contains the session. Any other key is bound to a ticket by a claim on the platform.
The outcome is "not run" only when the session of the ticket, or the closed claim,
guarantees that no copy of the request will be executed. Otherwise the outcome is
"unknown", and resending with the same key is safe.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import TYPE_CHECKING

from ..calls import CallScope, Refusal, Request, Response, make_refusal
from ..effects import (
    EPOCH,
    Claim,
    Ticket,
    bind_key,
    close_key,
    format_ticket,
    mint_ticket,
    parse_ticket,
    rebind_key,
)
from ..membership import Member, TargetRecord
from .directory import Endpoint
from .node_client import NodeClient
from .router import Router, make_no_target_refusal, make_unresolved_key_response

if TYPE_CHECKING:
    from ..clock import Clock
    from ..store import Table

__all__ = ["EpochCache", "KeyedRouter"]

_QUERY_TIMEOUT = timedelta(seconds=1)
_RETRY_DELAY = timedelta(milliseconds=50)
_MAX_REBINDS = 4
_MAX_EPOCHS = 4096
_NO_ADDRESS = ""
_NO_RESPONSE = frozenset({Refusal.LOST, Refusal.UNREACHED})


class EpochCache:
    """Caches the epochs of other sessions and advances them by the local clock."""

    def __init__(self, node_client: NodeClient, clock: Clock) -> None:
        self._node_client = node_client
        self._clock = clock
        self._epochs: dict[str, tuple[int, timedelta]] = {}
        self._lock = threading.Lock()

    def get(self, member: Member) -> int | None:
        """Return the epoch of a member's session, or None if it cannot be reached.

        The result may lag slightly behind the epoch at the member.
        """
        now = self._clock.monotonic()
        known = self._epochs.get(member.session)
        if known is None:
            known = self._fetch(member, now)
        if known is None:
            return None
        return known[0] + (now - known[1]) // EPOCH

    def _fetch(self, member: Member, now: timedelta) -> tuple[int, timedelta] | None:
        client = self._node_client.peers.reach(member)
        reply = client.query("epoch", b"", _QUERY_TIMEOUT) if client else None
        if reply is None:
            return None
        known = (int.from_bytes(reply, "big"), now)
        with self._lock:
            while len(self._epochs) >= _MAX_EPOCHS:
                self._epochs.pop(next(iter(self._epochs)))
            self._epochs[member.session] = known
        return known


@dataclass(frozen=True, slots=True)
class KeyedRouter:
    """Routes requests that take effect at most once.

    `epoch_of` returns the epoch of a member's session, `find_outcome` the recorded
    outcome of a ticket whose session has ended. `table` is None without access to
    the platform; keys that are not tickets are then not bound.
    """

    router: Router
    clock: Clock
    epoch_of: Callable[[Member], int | None]
    find_outcome: Callable[[str, Ticket], Response]
    table: Table | None = None

    def call(self, request: Request, scope: CallScope, token: str = "") -> Response:
        """Return the response to a request that has a key."""
        token = token or self.router.sign(request)
        ticket = parse_ticket(request.key)
        if ticket is not None:
            return self._call_ticketed(ticket, request, scope, token)
        return self._call_claimed(request, scope, token)

    def mint(
        self, request: Request, declined: tuple[Ticket, ...] = ()
    ) -> Ticket | Refusal:
        """Return a ticket for a request, bound to the session of the selected target.

        `declined` holds tickets whose targets have declined the request.
        """
        excluded = self._find_target_names(request, declined)
        endpoint = self.router.select_target(request, excluded)
        if isinstance(endpoint, Refusal):
            return endpoint
        self.router.selector.release(endpoint)
        return self._mint_for(endpoint) or Refusal.LOST

    def _call_claimed(self, request: Request, scope: CallScope, token: str) -> Response:
        claim = self._bind_key(request)
        if isinstance(claim, Response):
            return claim
        declined: tuple[Ticket, ...] = ()
        for _ in range(_MAX_REBINDS):
            if claim.ticket is None:
                return make_refusal(Refusal.OVERLOAD, "the key was given up unrun")
            response = self._call_ticketed(claim.ticket, request, scope, token)
            if response.refusal is not Refusal.LEAVING:
                return response
            declined += (claim.ticket,)
            rebound = self._rebind_key(claim, request, declined)
            if rebound is None:
                return make_unresolved_key_response(Refusal.LEAVING)
            claim = rebound
        return make_unresolved_key_response(Refusal.LEAVING)

    def _bind_key(self, request: Request) -> Claim | Response:
        if self.table is None:
            return make_unresolved_key_response(Refusal.PLATFORM)
        endpoint = self.router.select_target(request)
        if isinstance(endpoint, Refusal):
            return self._close_key(self.table, request, endpoint)
        self.router.selector.release(endpoint)
        ticket = self._mint_for(endpoint)
        if ticket is None:
            return make_unresolved_key_response(Refusal.LOST)
        caller = request.context.caller
        bound = bind_key(self.table, caller, request.key, ticket)
        return (
            bound.ok
            if bound.is_ok()
            else make_unresolved_key_response(Refusal.PLATFORM)
        )

    def _close_key(
        self, table: Table, request: Request, refusal: Refusal
    ) -> Claim | Response:
        """Close a key that no target accepts, or return its existing claim."""
        closed = close_key(table, request.context.caller, request.key)
        if closed.is_error():
            return make_unresolved_key_response(refusal)
        return (
            make_no_target_refusal(refusal) if closed.ok.ticket is None else closed.ok
        )

    def _rebind_key(
        self, claim: Claim, request: Request, declined: tuple[Ticket, ...]
    ) -> Claim | None:
        excluded = self._find_target_names(request, declined)
        endpoint = self.router.select_target(request, excluded)
        if isinstance(endpoint, Refusal):
            return None
        self.router.selector.release(endpoint)
        ticket = self._mint_for(endpoint)
        if ticket is None or self.table is None:
            return None
        caller = request.context.caller
        rebound = rebind_key(self.table, caller, request.key, claim, ticket)
        return rebound.ok if rebound.is_ok() else None

    def _call_ticketed(
        self, ticket: Ticket, request: Request, scope: CallScope, token: str
    ) -> Response:
        ticketed = replace(request, key=format_ticket(ticket))
        while True:
            response = self._send_once(ticket, ticketed, scope, token)
            if not self._may_retry(response, request, scope):
                return self._resolve_unreached(response)
            # The session records the ticket, so a retry cannot execute the request
            # twice.
            self.router.pause(_RETRY_DELAY.total_seconds())

    def _send_once(
        self, ticket: Ticket, request: Request, scope: CallScope, token: str
    ) -> Response:
        member = self.router.directory.find_session(ticket.session)
        if member is None:
            return self.find_outcome(request.context.caller, ticket)
        endpoint = _find_endpoint(member, request.service)
        self.router.selector.begin(endpoint)
        return self.router.send(endpoint, request, scope, token)

    def _may_retry(
        self, response: Response, request: Request, scope: CallScope
    ) -> bool:
        if response.refusal not in _NO_RESPONSE or scope.cancelled:
            return False
        too_late = self.clock.monotonic() + _RETRY_DELAY >= request.deadline
        return not too_late and isinstance(request.body, bytes)

    def _resolve_unreached(self, response: Response) -> Response:
        # The unreachable session may still receive another copy of the request.
        if response.refusal is Refusal.UNREACHED:
            return make_unresolved_key_response(Refusal.UNREACHED)
        return response

    def _find_target_names(
        self, request: Request, declined: tuple[Ticket, ...]
    ) -> frozenset[tuple[str, str]]:
        target_names = set()
        for ticket in declined:
            member = self.router.directory.find_session(ticket.session)
            if member is not None:
                target_names.add(_find_endpoint(member, request.service).name)
        return frozenset(target_names)

    def _mint_for(self, endpoint: Endpoint) -> Ticket | None:
        epoch = self.epoch_of(endpoint.member)
        return None if epoch is None else mint_ticket(endpoint.member.session, epoch)


def _find_endpoint(member: Member, service: str) -> Endpoint:
    for target in member.targets:
        if target.service == service:
            return Endpoint(service, member, target)
    # The target has left, but its node still holds the outcome of the ticket.
    return Endpoint(service, member, TargetRecord(service, _NO_ADDRESS, slots=1))
