"""The exchange of tokens: a node with its holder, and holders of different zones.

A `Send` passes one frame to a node, without knowledge of what it says, so the model
test runs this code without a network. A node that does not reach the holder of its zone
asks through one that does. No exchange creates tokens: a holder takes them
out of its bucket before it answers, and an answer that is lost loses them.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from .answers import RecentAnswers
from .cache import TokenCache
from .client import ASK_TIMEOUT, CANCELLED, Send, TokenClient
from .fleet import Fleet
from .grants import BucketHolder
from .model import Account
from .tokens import Grant, Status, TokenRequest

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["Refusal", "TokenExchange"]

# All that a holder does for a request, so that its answer arrives within ASK_TIMEOUT:
# it probes skipped nodes, and asks other zones one after the other.
_SERVE_LIMIT = timedelta(milliseconds=110)
_CHECK_LIMIT = timedelta(milliseconds=60)  # for all skipped nodes together
_TRANSFER_TIMEOUT = timedelta(milliseconds=60)
# With less time left no node is asked: it would count as silent without being so.
_RELAYED_TRANSFER_TIMEOUT = timedelta(milliseconds=40)
_MIN_TIMEOUT = timedelta(milliseconds=30)
_ACQUIRE_LIMIT = timedelta(milliseconds=350)
_MAX_CANDIDATES = 3  # nodes of a zone that are asked for one call
# A node that was heard within this time need not be probed before it is believed.
_HEARD_JUST_NOW = timedelta(milliseconds=100)
# How long a holder whose bucket is empty is not asked again.
_MIN_EMPTY_TIME = timedelta(milliseconds=50)
_MAX_EMPTY_TIME = timedelta(milliseconds=250)
_NO_HOLDER_WAIT = timedelta(milliseconds=500)
_MAX_REMEMBERED = 4096  # empty buckets of other zones
_HAS_TOKENS = Grant(Status.GRANTED)


@dataclass(frozen=True)
class Refusal:
    """Why a call gets no token, and when one will be available.

    With `no_holder`, no node that answers holds the bucket at present.
    """

    wait: timedelta
    detail: str
    no_holder: bool = False


class TokenExchange:
    """Gets tokens for the calls of the local node, and answers other nodes.

    `request_balance` has `balance` called for an account, without waiting for it.
    """

    def __init__(
        self,
        fleet: Fleet,
        holder: BucketHolder,
        cache: TokenCache,
        get_version: Callable[[], int],
        clock: Clock,
        request_balance: Callable[[str], None] | None = None,
    ) -> None:
        self._request_balance = request_balance
        self._fleet = fleet
        self._holder = holder
        self._cache = cache
        self._clock = clock
        self.client = TokenClient(fleet, get_version)
        self._answers = RecentAnswers()
        self._lock = threading.Lock()
        self._pulls: dict[str, threading.Event] = {}
        self._empty_until: dict[tuple[str, str], timedelta] = {}
        self._balance_count = 0

    def acquire(self, account: Account, send: Send) -> Refusal | None:
        """Get a token for a call; return why there is none."""
        if self._cache.take(account):
            return None
        wait = self._cache.find_refusal(account)
        if wait is not None:
            detail = f"account {account.name}: no token, as just before"
            return Refusal(wait, detail, self._cache.lacks_holder(account))
        started = self._clock.monotonic()
        request = self.client.make_request(account, self._cache.batch(account))
        until = started + _ACQUIRE_LIMIT
        bucket, grant = self._ask_zone(self._fleet.zone, request, send, until)
        if grant is None:
            # No node of the zone holds the bucket for now.
            foreign = replace(request, transfer=True, amount=1)
            bucket, grant = self._ask_other_zones(foreign, send, until)
        if grant is CANCELLED:
            return Refusal(
                _NO_HOLDER_WAIT, f"account {account.name}: the call was cancelled"
            )
        if grant is None:
            self._cache.refuse(account, _NO_HOLDER_WAIT, 0.0, no_holder=True)
            detail = f"account {account.name}: no holder answers"
            return Refusal(_NO_HOLDER_WAIT, detail, no_holder=True)
        if grant.status is Status.GRANTED and grant.tokens >= 1:
            self._cache.add(account, int(grant.tokens) - 1, grant.excess)
            return None
        if grant.status is Status.UNKNOWN_ACCOUNT:
            self._cache.refuse(account, _NO_HOLDER_WAIT, 0.0)
            detail = f"account {account.name}: not known at {bucket}"
            return Refusal(_NO_HOLDER_WAIT, detail)
        self._cache.refuse(account, grant.wait, grant.excess)
        return Refusal(
            grant.wait, f"account {account.name}: the bucket at {bucket} is empty"
        )

    def answer(self, frame: list[Any], send: Send) -> list[Any]:
        """Answer a frame of another node.

        Raises ValueError, TypeError or OverflowError if it is invalid.
        """
        request = TokenRequest.unpack(frame)
        self._fleet.record_request(request.sender, not request.account)
        if not request.account:
            # Nodes that start a moment later have to start jointly too. If they heard
            # that this one grants tokens, they would wait for a holder from before.
            ready = self._holder.ready and not self._fleet.joint_start.may_be_joined()
            return Grant(Status.GRANTED if ready else Status.NOT_READY).pack()
        return self._answers.find_or_make(
            request, lambda: self._serve(request, send), _SERVE_LIMIT
        ).pack()

    def balance(self, account: str, send: Send) -> None:
        """Fetch tokens for a local bucket from fuller ones of other zones."""
        zones = self._fleet.other_zones()
        self._balance_count += 1
        first = self._balance_count % max(1, len(zones))
        total = 0.0
        for zone in zones[first:] + zones[:first]:
            request = self.client.make_request(Account(account, 0), 0)
            request = self._holder.balance_request(request)
            if not request.amount:
                break
            until = self._clock.monotonic() + _TRANSFER_TIMEOUT
            _, grant = self._ask_zone(zone, self.client.renew(request), send, until)
            if grant is not None and grant.status is Status.GRANTED:
                total += grant.tokens
                self._holder.credit(account, grant.tokens)
            if total < 1.0:
                break  # The other zones are likely to be as low.
        self._holder.finish_balance(account, total)

    def _ask_zone(
        self, zone: str, request: TokenRequest, send: Send, until: timedelta
    ) -> tuple[str, Grant | None]:
        """Ask the holder of a zone, and after it those that may have taken over.

        Returns the node that has answered as the holder.
        """
        skipped = list(self._fleet.unreached(request.account, zone))
        hint = ""
        for _ in range(_MAX_CANDIDATES):
            if self._clock.monotonic() >= until:
                break
            candidates = self._fleet.ranked(request.account, zone)
            if skipped:
                candidates = tuple(each for each in candidates if each not in skipped)
                request = replace(request, skipped=tuple(skipped))
            if not candidates:
                break
            node = hint if hint in candidates else candidates[0]
            if node == self._fleet.local_node:
                grant: Grant | None = self._serve(request, send)
            else:
                timeout = ASK_TIMEOUT
                if request.transfer:
                    left = until - self._clock.monotonic()
                    if left < _MIN_TIMEOUT:
                        break
                    timeout = min(_TRANSFER_TIMEOUT, left)
                grant = self.client.ask(node, request, send, timeout)
            if grant is not None:
                if grant is CANCELLED:
                    return node, grant
                if grant.status is Status.NOT_HOLDER:
                    hint = grant.holder
                    if hint == self._fleet.local_node:
                        self._fleet.end_relay(node)
                elif grant.status is not Status.NOT_READY:
                    return node, grant
            skipped.append(node)
        return "", None

    def _ask_other_zones(
        self, request: TokenRequest, send: Send, until: timedelta
    ) -> tuple[str, Grant | None]:
        """Ask the holders of other zones in turn, unless they were empty just now.

        Returns what they have granted together, which may be fractions of tokens.
        """
        name, total = request.account, 0.0
        refused: tuple[str, Grant | None] = "", None
        for zone in self._fleet.other_zones():
            now = self._clock.monotonic()
            if until - now < _MIN_TIMEOUT:
                break
            empty_until = self._empty_until.get((name, zone), now)
            if now < empty_until:
                if refused[1] is None:
                    refused = zone, Grant(Status.EMPTY, wait=empty_until - now)
                continue
            rest = replace(self.client.renew(request), amount=request.amount - total)
            node, grant = self._ask_zone(zone, rest, send, until)
            if grant is CANCELLED:
                refused = node, grant
                break
            if grant is not None and grant.status is Status.GRANTED:
                total += grant.tokens
                if total >= min(1.0, request.amount):
                    break
                wait = _MIN_EMPTY_TIME
            else:
                wait = grant.wait if grant is not None else _MAX_EMPTY_TIME
            if len(self._empty_until) >= _MAX_REMEMBERED:
                self._empty_until = {}
            self._empty_until[name, zone] = self._clock.monotonic() + min(
                max(wait, _MIN_EMPTY_TIME), _MAX_EMPTY_TIME
            )
            if grant is not None:
                refused = node, grant
        if total:
            return "other zones", Grant(Status.GRANTED, total)
        return refused

    def _serve(self, request: TokenRequest, send: Send) -> Grant:
        """Answer a request out of the local bucket, and others' if it is empty."""
        until = self._clock.monotonic() + _SERVE_LIMIT
        self._check_skipped(request, send)
        if not request.amount and self._holder.ready:
            usable = filter(self._fleet.is_usable, request.skipped)
            return Grant(Status.NOT_HOLDER, holder=next(usable, ""))
        while True:
            grant = self._holder.grant(request)
            if grant is not None:
                if (
                    self._request_balance is not None
                    and grant.status is Status.GRANTED
                    and not request.transfer
                    and self._holder.start_balance(request.account)
                ):
                    self._request_balance(request.account)
                return self._relay(request, grant, send, until)
            if request.transfer or self._clock.monotonic() >= until:
                return self._holder.refuse(request)
            pulled = self._pull(request, send, until)
            if pulled is CANCELLED:
                return CANCELLED
            if pulled is None:
                # A token may have been added while other zones were asked.
                return self._holder.grant(request) or self._holder.refuse(request)

    def _relay(
        self, request: TokenRequest, grant: Grant, send: Send, until: timedelta
    ) -> Grant:
        """Ask the holder for a node that does not reach it."""
        holder = grant.holder
        if grant.status is not Status.NOT_HOLDER or holder not in request.skipped:
            return grant
        if holder == request.sender:
            # Says that none of the nodes before this one is reached from here.
            return grant
        timeout = until - self._clock.monotonic()
        if request.transfer:
            timeout = min(timeout, _RELAYED_TRANSFER_TIMEOUT)
        if not self._fleet.is_usable(holder) or timeout < _MIN_TIMEOUT:
            return grant
        # Without skipped nodes it is not relayed again.
        relayed = replace(self.client.renew(request), skipped=())
        # The holder has answered just now: if it takes longer, it is not silent.
        frame = send(holder, relayed.pack(), timeout)
        return self.client.read(holder, relayed, frame) or grant

    def _check_skipped(self, request: TokenRequest, send: Send) -> None:
        """Probe the nodes that the sender has skipped, which would go first."""
        if request.transfer:
            return
        unheard = [
            node
            for node in request.skipped[: _MAX_CANDIDATES - 1]
            if self._fleet.is_usable(node)
            and not self._fleet.was_heard(node, _HEARD_JUST_NOW)
        ]
        for node in unheard:
            self.client.probe(node, send, _CHECK_LIMIT / len(unheard))

    def _pull(
        self, request: TokenRequest, send: Send, until: timedelta
    ) -> Grant | None:
        """Fetch tokens from another zone; return None if the bucket has no more.

        Of concurrent requests for tokens of one account, one asks other zones and the
        others wait for it.
        """
        name = request.account
        with self._lock:
            running = self._pulls.get(name)
            if running is None:
                self._pulls[name] = done = threading.Event()
        if running is not None:
            left = until - self._clock.monotonic()
            fetched = running.wait(max(0.0, left.total_seconds()))
            return _HAS_TOKENS if fetched else None
        try:
            pull = self._holder.pull_request(request)
            _, grant = self._ask_other_zones(pull, send, until)
            if grant is None or grant is CANCELLED:
                return grant
            if grant.status is not Status.GRANTED:
                return None
            self._holder.credit(name, grant.tokens)
            return grant
        finally:
            with self._lock:
                del self._pulls[name]
            done.set()
