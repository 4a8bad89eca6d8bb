"""Caller that is embedded in a service and connects to targets' nodes directly.

It fetches members and policy sections from a few nodes, makes the same decisions as
a node's HTTP front and sends each call directly to the node of its target.

    settings = CallerSettings("dispatch-desk", credential, "amman-1", nodes)
    caller = Caller(settings, SystemClock(), ThreadPoolExecutor(64))
    caller.start()
    response = caller.call("truck-tracking", "GET", "/positions/7")
    with_context = caller.call("stock", "GET", "/cables", token=incoming_token)
"""

from __future__ import annotations

import threading
import uuid
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import TYPE_CHECKING

import msgpack

from ..calls import (
    CallContext,
    CallScope,
    Headers,
    Pipe,
    Refusal,
    Request,
    Response,
    decode_unverified,
    make_refusal,
    make_unknown_response,
)
from ..effects import Ticket, format_ticket, unpack_response
from ..membership import MalformedMember, Member, unpack_member
from ..policy import (
    RuleSet,
    Section,
    SectionTable,
    build_rule_set,
    unpack_section,
)
from ..routing import (
    Directory,
    EpochCache,
    KeyedRouter,
    NodeClient,
    PeerPool,
    Router,
    TargetSelector,
)
from ..settings import split_address
from ..wire import ROLE_CALLER

if TYPE_CHECKING:
    from concurrent.futures import Executor

    from ..clock import Clock
    from ..wire import StreamClient

__all__ = ["Caller", "CallerSettings"]

_REFRESH_INTERVAL = timedelta(milliseconds=500)
_STREAM_CHECK_INTERVAL = timedelta(milliseconds=250)
_FETCH_TIMEOUT = timedelta(seconds=1)
_MAX_TICKETS = 3


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """Name and credential of a caller, its zone and the nodes it contacts first.

    `credential` is the secret part of the credential issued for `name`; `nodes`
    are stream addresses as `host:port`.
    """

    name: str
    credential: str
    availability_zone: str
    nodes: tuple[str, ...]


class Caller:
    """Makes calls from within a process without an HTTP hop."""

    def __init__(
        self, settings: CallerSettings, clock: Clock, executor: Executor
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._executor = executor
        self._members: tuple[Member, ...] = ()
        self._members_version = 0
        self._rule_set = RuleSet()
        self._sections = SectionTable(self._apply_section)
        self._stopped = threading.Event()
        self.peers = PeerPool(
            ROLE_CALLER, settings.name, settings.credential.encode(), clock, executor
        )
        node_client = NodeClient(self.peers, clock)
        directory = Directory(
            lambda: self._members, lambda: self._members_version, lambda: self._rule_set
        )
        self._router = Router(
            directory=directory,
            selector=TargetSelector(directory, settings.availability_zone, clock),
            node_client=node_client,
            clock=clock,
        )
        self._keyed = KeyedRouter(
            router=self._router,
            clock=clock,
            epoch_of=EpochCache(node_client, clock).get,
            find_outcome=self._find_outcome,
        )

    def start(self) -> bool:
        """Fetch members and sections and keep them fresh; False if no node responds."""
        refreshed = self.refresh()
        self._executor.submit(self._repeat, _REFRESH_INTERVAL, self.refresh)
        self._executor.submit(
            self._repeat, _STREAM_CHECK_INTERVAL, self.peers.check_streams
        )
        return refreshed

    def stop(self) -> None:
        """Stop refreshing and close all streams."""
        self._stopped.set()
        self.peers.close()

    def call(
        self,
        service: str,
        method: str,
        path: str,
        headers: Headers = (),
        body: bytes | Pipe = b"",
        key: str = "",
        token: str = "",
        scope: CallScope | None = None,
    ) -> Response:
        """Return the response to one request.

        If the request is made on behalf of a call that this process serves, `token`
        is the value of that call's context header, and `scope` is shared by all
        requests made for that call (see `open_scope`). A request that the policy
        document lists as non-idempotent gets its own ticket if no `key` is given.
        """
        scope = scope or self.open_scope(service, token, f"{method} {path}")
        request = self._build_request(service, method, path, headers, body, key, scope)
        if request.idempotent:
            return self._router.call(request, scope, token)
        decision = self._rule_set.find(service).decide(
            self._settings.name, method, path
        )
        if key or not decision.requires_key:
            send = self._keyed.call if key else self._router.call
            return send(request, scope, token)
        return self._call_with_tickets(request, scope, token)

    def open_scope(
        self, service: str, token: str = "", request: str = "GET /"
    ) -> CallScope:
        """Return the scope for the requests made on behalf of one call.

        `request` is the method and path that determine the importance of a new root.
        """
        method, _, path = request.partition(" ")
        rules = self._rule_set.find(service)
        context = decode_unverified(token) if token else None
        if context is None:
            context = CallContext(
                uuid.uuid4().hex,
                self._settings.name,
                rules.decide(self._settings.name, method, path).importance,
                0,
                rules.extra_attempts,
            )
        return CallScope(context, self._clock.monotonic() + rules.deadline)

    def has_section(self, team: str, version: int) -> bool:
        """Return whether a team's section is cached at `version` or a newer one."""
        return self._sections.versions().get(team, 0) >= version

    def refresh(self) -> bool:
        """Fetch members and sections from a node; False if no node responds."""
        client = self._connect_any()
        if client is None:
            return False
        members = client.query("membership.sync", b"", _FETCH_TIMEOUT)
        versions = client.query("policy.versions", b"", _FETCH_TIMEOUT)
        if members is None or versions is None:
            return False
        self._update_members(members)
        for team in self._sections.list_newer(msgpack.unpackb(versions)):
            payload = client.query("policy.section", team.encode(), _FETCH_TIMEOUT)
            if payload is not None:
                self._sections.apply(unpack_section(payload))
        return True

    def _call_with_tickets(
        self, request: Request, scope: CallScope, token: str
    ) -> Response:
        response = make_refusal(Refusal.NO_TARGET)
        rejected: tuple[Ticket, ...] = ()
        for _ in range(_MAX_TICKETS):
            ticket = self._keyed.mint(request, rejected)
            if isinstance(ticket, Refusal):
                return make_refusal(ticket)
            response = self._keyed.call(_with_key(request, ticket), scope, token)
            # A ticket rejected by a leaving target cannot be used again; the
            # request was not run, so it may be sent with another ticket.
            if response.refusal is not Refusal.LEAVING:
                return response
            rejected += (ticket,)
        return response

    def _build_request(
        self,
        service: str,
        method: str,
        path: str,
        headers: Headers,
        body: bytes | Pipe,
        key: str,
        scope: CallScope,
    ) -> Request:
        decision = self._rule_set.find(service).decide(
            self._settings.name, method, path
        )
        return Request(
            service=service,
            method=method,
            path=path,
            headers=headers,
            body=body,
            context=scope.context,
            deadline=scope.deadline,
            request_id=scope.context.root if scope.context.depth == 0 else "",
            key=key,
            idempotent=decision.idempotent,
        )

    def _find_outcome(self, caller: str, ticket: Ticket) -> Response:
        # Nodes look up outcomes under this caller's own name only, so they do not
        # find requests that were run in the name of a root's caller.
        if caller != self._settings.name:
            return make_unknown_response(Refusal.NO_RECORD)
        client = self._connect_any()
        if client is None:
            return make_unknown_response(Refusal.LOST)
        payload = client.query(
            "outcome", format_ticket(ticket).encode(), _FETCH_TIMEOUT
        )
        return (
            make_unknown_response(Refusal.LOST)
            if payload is None
            else unpack_response(payload)
        )

    def _connect_any(self) -> StreamClient | None:
        zone = self._settings.availability_zone
        local_zone_first = sorted(self._members, key=lambda member: member.zone != zone)
        addresses = [split_address(each) for each in self._settings.nodes]
        addresses += [(each.host, each.stream_port) for each in local_zone_first]
        for address in addresses:
            client = self.peers.connect(address)
            if client is not None:
                return client
        return None

    def _update_members(self, payload: bytes) -> None:
        try:
            values = msgpack.unpackb(payload, use_list=False)
            members = tuple(unpack_member(each) for each in values)
        except (ValueError, MalformedMember, msgpack.UnpackException):
            return
        if members != self._members:
            self._members = members
            self._members_version += 1

    def _apply_section(self, section: Section) -> None:
        self._rule_set = build_rule_set(self._sections.all())

    def _repeat(self, period: timedelta, task: Callable[[], object]) -> None:
        while not self._stopped.wait(period.total_seconds()):
            task()


def _with_key(request: Request, ticket: Ticket) -> Request:
    return replace(request, key=format_ticket(ticket))
