"""Requests to single nodes, which show who answers."""

from __future__ import annotations

import itertools
import secrets
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from typing import Any, TypeAlias

from .fleet import Fleet
from .model import Account
from .silence import Check
from .tokens import Grant, Status, TokenRequest

__all__ = ["ASK_TIMEOUT", "CANCELLED", "Send", "TokenClient"]

# Returns the answer, None if the node does not answer in time, and an empty list if
# the call that asks has been cancelled.
Send: TypeAlias = Callable[[str, list[Any], timedelta], list[Any] | None]

ASK_TIMEOUT = timedelta(milliseconds=150)
_PROBE_TIMEOUT = timedelta(milliseconds=80)
_SESSION_BITS = 32
# In place of an answer if the call that asks has been cancelled. It says nothing about
# the bucket, so it is not remembered for other calls.
CANCELLED = Grant(Status.NOT_READY)


class TokenClient:
    """Sends requests of the local node, and records which nodes answer."""

    def __init__(self, fleet: Fleet, get_version: Callable[[], int]) -> None:
        self._fleet = fleet
        self._get_version = get_version
        # Requests of an earlier process of the node have other sessions, whatever the
        # wall clock says.
        self._session = secrets.randbits(_SESSION_BITS)
        self._numbers = itertools.count()

    def make_request(self, account: Account, amount: float) -> TokenRequest:
        """Return a request for tokens of an account."""
        return TokenRequest(
            self._fleet.local_node,
            next(self._numbers),
            account.name,
            amount,
            account.rate,
            account.burst,
            self._get_version(),
            session=self._session,
        )

    def renew(self, request: TokenRequest) -> TokenRequest:
        """Return the request as a new one of the local node."""
        return replace(
            request,
            sender=self._fleet.local_node,
            number=next(self._numbers),
            session=self._session,
        )

    def probe(self, node: str, send: Send, timeout: timedelta = _PROBE_TIMEOUT) -> bool:
        """Ask whether a node answers and can hold buckets."""
        request = TokenRequest(self._fleet.local_node, next(self._numbers))
        grant = self.ask(node, request, send, timeout)
        return grant is not None and grant.status is Status.GRANTED

    def check(self, check: Check, send: Send) -> None:
        """Ask another node of the zone whether it reaches a silent one.

        The request is one for no tokens, which nodes of the release before understand.
        """
        request = replace(self.make_request(check.account, 0), skipped=(check.silent,))
        grant = self.ask(check.peer, request, send, ASK_TIMEOUT)
        reached = (
            grant is not None
            and grant.status is Status.NOT_HOLDER
            and grant.holder == check.silent
        )
        self._fleet.record_check(check.silent, check.peer, reached)

    def ask(
        self, node: str, request: TokenRequest, send: Send, timeout: timedelta
    ) -> Grant | None:
        """Return the answer of a node, which counts as silent without one."""
        frame = send(node, request.pack(), timeout)
        if frame is None:
            self._fleet.record_silent(node)
        return self.read(node, request, frame)

    def read(
        self, node: str, request: TokenRequest, frame: list[Any] | None
    ) -> Grant | None:
        """Return the answer that a node has sent, None if there is no valid one."""
        if frame is None:
            return None
        if not frame:
            return CANCELLED
        try:
            grant = Grant.unpack(frame)
        except (ValueError, TypeError, OverflowError):
            # A node of an earlier release holds no buckets.
            self._fleet.record_silent(node)
            return None
        if grant.tokens > request.amount:
            # What was not asked for has no use, and a large number no room.
            grant = replace(grant, tokens=request.amount)
        if grant.status is Status.NOT_READY:
            self._fleet.record_starting(node)
        elif request.account:
            self._fleet.record_answer(node)
        else:
            self._fleet.record_heard(node)
        return grant
