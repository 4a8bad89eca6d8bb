"""Takes a request with an idempotency key to the one node run that may run it.

A key that is a ticket names that run itself. Any other key is bound to a ticket
by a claim on the platform. "Not run" is answered only when the ticket's run, or
the closed claim, rules out that a copy of the request is ever run; where that
cannot be known the answer is "unknown", and sending the same key again is safe.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import TYPE_CHECKING

from ..calls import Answer, CallScope, Refusal, Request, refuse_call
from ..effects import (
    EPOCH,
    Claim,
    Ticket,
    bind_key,
    close_key,
    format_ticket,
    mint_ticket,
    move_key,
    parse_ticket,
)
from ..membership import Member, TargetRecord
from .directory import Endpoint
from .link import Link
from .router import Router, refuse_none, report_unbound

if TYPE_CHECKING:
    from ..clock import Clock
    from ..store import Table

__all__ = ["EpochBook", "KeyedRouter"]

_ASK_TIMEOUT = timedelta(seconds=1)
_RECONNECT_PAUSE = timedelta(milliseconds=50)
_MOST_MOVES = 4
_MOST_EPOCHS = 4096
_NO_ADDRESS = ""
_SILENT = frozenset({Refusal.LOST, Refusal.UNREACHED})


class EpochBook:
    """The current epoch of other node runs, asked for once and then counted on."""

    def __init__(self, link: Link, clock: Clock) -> None:
        self._link = link
        self._clock = clock
        self._told: dict[str, tuple[int, timedelta]] = {}
        self._lock = threading.Lock()

    def read(self, member: Member) -> int | None:
        """Return a run's epoch, at most a little behind; None when unreachable."""
        now = self._clock.monotonic()
        told = self._told.get(member.session)
        if told is None:
            told = self._ask(member, now)
        if told is None:
            return None
        return told[0] + (now - told[1]) // EPOCH

    def _ask(self, member: Member, now: timedelta) -> tuple[int, timedelta] | None:
        client = self._link.peers.reach(member)
        reply = client.ask("epoch", b"", _ASK_TIMEOUT) if client else None
        if reply is None:
            return None
        told = (int.from_bytes(reply, "big"), now)
        with self._lock:
            while len(self._told) >= _MOST_EPOCHS:
                self._told.pop(next(iter(self._told)))
            self._told[member.session] = told
        return told


@dataclass(frozen=True, slots=True)
class KeyedRouter:
    """The routing of requests that take effect at most once.

    `epoch_of` gives the epoch of a member's run, `find_outcome` what is
    recorded of a ticket whose run is gone. `table` is None where there is no
    way to the platform; keys that are no tickets are then not bound.
    """

    router: Router
    clock: Clock
    epoch_of: Callable[[Member], int | None]
    find_outcome: Callable[[str, Ticket], Answer]
    table: Table | None = None

    def call(self, request: Request, scope: CallScope, token: str = "") -> Answer:
        """Return the answer to a request that has a key."""
        token = token or self.router.sign(request)
        ticket = parse_ticket(request.key)
        if ticket is not None:
            return self._follow(ticket, request, scope, token)
        return self._call_claimed(request, scope, token)

    def mint(
        self, request: Request, declined: tuple[Ticket, ...] = ()
    ) -> Ticket | Refusal:
        """Return a ticket for a request, bound to the target chosen for it.

        `declined` holds tickets whose targets have declined the request.
        """
        without = self._name_targets(request, declined)
        endpoint = self.router.choose_target(request, without)
        if isinstance(endpoint, Refusal):
            return endpoint
        self.router.chooser.release(endpoint)
        return self._mint_for(endpoint) or Refusal.LOST

    def _call_claimed(self, request: Request, scope: CallScope, token: str) -> Answer:
        claim = self._bind(request)
        if isinstance(claim, Answer):
            return claim
        declined: tuple[Ticket, ...] = ()
        for _ in range(_MOST_MOVES):
            if claim.ticket is None:
                return refuse_call(Refusal.OVERLOAD, "the key was given up unrun")
            answer = self._follow(claim.ticket, request, scope, token)
            if answer.refusal is not Refusal.LEAVING:
                return answer
            declined += (claim.ticket,)
            moved = self._move(claim, request, declined)
            if moved is None:
                return report_unbound(Refusal.LEAVING)
            claim = moved
        return report_unbound(Refusal.LEAVING)

    def _bind(self, request: Request) -> Claim | Answer:
        if self.table is None:
            return report_unbound(Refusal.PLATFORM)
        endpoint = self.router.choose_target(request)
        if isinstance(endpoint, Refusal):
            return self._give_up(self.table, request, endpoint)
        self.router.chooser.release(endpoint)
        ticket = self._mint_for(endpoint)
        if ticket is None:
            return report_unbound(Refusal.LOST)
        caller = request.context.caller
        bound = bind_key(self.table, caller, request.key, ticket)
        return bound.ok if bound.is_ok() else report_unbound(Refusal.PLATFORM)

    def _give_up(
        self, table: Table, request: Request, refusal: Refusal
    ) -> Claim | Answer:
        """Close a key that no target takes, or find what it was bound to before."""
        closed = close_key(table, request.context.caller, request.key)
        if closed.is_error():
            return report_unbound(refusal)
        return refuse_none(refusal) if closed.ok.ticket is None else closed.ok

    def _move(
        self, claim: Claim, request: Request, declined: tuple[Ticket, ...]
    ) -> Claim | None:
        without = self._name_targets(request, declined)
        endpoint = self.router.choose_target(request, without)
        if isinstance(endpoint, Refusal):
            return None
        self.router.chooser.release(endpoint)
        ticket = self._mint_for(endpoint)
        if ticket is None or self.table is None:
            return None
        caller = request.context.caller
        moved = move_key(self.table, caller, request.key, claim, ticket)
        return moved.ok if moved.is_ok() else None

    def _follow(
        self, ticket: Ticket, request: Request, scope: CallScope, token: str
    ) -> Answer:
        ticketed = replace(request, key=format_ticket(ticket))
        while True:
            answer = self._send_once(ticket, ticketed, scope, token)
            if not self._may_ask_again(answer, request, scope):
                return self._judge_unreached(answer)
            # The run remembers the ticket, so asking again cannot run it twice.
            self.router.pause(_RECONNECT_PAUSE.total_seconds())

    def _send_once(
        self, ticket: Ticket, request: Request, scope: CallScope, token: str
    ) -> Answer:
        member = self.router.directory.find_session(ticket.session)
        if member is None:
            return self.find_outcome(request.context.caller, ticket)
        endpoint = _find_endpoint(member, request.service)
        self.router.chooser.begin(endpoint)
        return self.router.send(endpoint, request, scope, token)

    def _may_ask_again(
        self, answer: Answer, request: Request, scope: CallScope
    ) -> bool:
        if answer.refusal not in _SILENT or scope.cancelled:
            return False
        gone = self.clock.monotonic() + _RECONNECT_PAUSE >= request.deadline
        return not gone and isinstance(request.body, bytes)

    def _judge_unreached(self, answer: Answer) -> Answer:
        # The run that could not be reached may still get another copy.
        if answer.refusal is Refusal.UNREACHED:
            return report_unbound(Refusal.UNREACHED)
        return answer

    def _name_targets(
        self, request: Request, declined: tuple[Ticket, ...]
    ) -> frozenset[tuple[str, str]]:
        names = set()
        for ticket in declined:
            member = self.router.directory.find_session(ticket.session)
            if member is not None:
                names.add(_find_endpoint(member, request.service).name)
        return frozenset(names)

    def _mint_for(self, endpoint: Endpoint) -> Ticket | None:
        epoch = self.epoch_of(endpoint.member)
        return None if epoch is None else mint_ticket(endpoint.member.session, epoch)


def _find_endpoint(member: Member, service: str) -> Endpoint:
    for target in member.targets:
        if target.service == service:
            return Endpoint(service, member, target)
    # The target has gone, but its node still knows what became of the ticket.
    return Endpoint(service, member, TargetRecord(service, _NO_ADDRESS, slots=1))
