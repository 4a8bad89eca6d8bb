"""A caller that is embedded in a service, and talks to targets' nodes directly.

It learns members and sections from a few nodes, then makes the same decisions
as a node's HTTP front and sends each call straight to the node of its target.

    settings = CallerSettings("dispatch-desk", credential, "amman-1", nodes)
    caller = Caller(settings, SystemClock(), ThreadPoolExecutor(64))
    caller.start()
    answer = caller.call("truck-tracking", "GET", "/positions/7")
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
    Answer,
    CallContext,
    CallScope,
    Headers,
    Pipe,
    Refusal,
    Request,
    read_context,
    refuse_call,
    report_unknown,
)
from ..effects import Ticket, format_ticket, unpack_answer
from ..membership import MalformedMember, Member, unpack_member
from ..policy import (
    Rulebook,
    Section,
    SectionTable,
    build_rulebook,
    unpack_section,
)
from ..routing import (
    Chooser,
    Directory,
    EpochBook,
    KeyedRouter,
    Link,
    PeerPool,
    Router,
)
from ..settings import split_address
from ..wire import ROLE_CALLER

if TYPE_CHECKING:
    from concurrent.futures import Executor

    from ..clock import Clock
    from ..wire import StreamClient

__all__ = ["Caller", "CallerSettings"]

_REFRESH = timedelta(milliseconds=500)
_BEAT = timedelta(milliseconds=250)
_ASK_TIMEOUT = timedelta(seconds=1)
_FRESH_TICKETS = 3


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """Who the caller is, where it runs and which nodes it asks first.

    `credential` is the secret part of the credential issued for `name`, `nodes`
    are stream addresses as `host:port`.
    """

    name: str
    credential: str
    availability_zone: str
    nodes: tuple[str, ...]


class Caller:
    """Makes calls from within a process, without an HTTP hop."""

    def __init__(
        self, settings: CallerSettings, clock: Clock, executor: Executor
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._executor = executor
        self._members: tuple[Member, ...] = ()
        self._version = 0
        self._rulebook = Rulebook()
        self._sections = SectionTable(self._apply_section)
        self._stopped = threading.Event()
        self.peers = PeerPool(
            ROLE_CALLER, settings.name, settings.credential.encode(), clock, executor
        )
        link = Link(self.peers, clock)
        directory = Directory(
            lambda: self._members, lambda: self._version, lambda: self._rulebook
        )
        self._router = Router(
            directory=directory,
            chooser=Chooser(directory, settings.availability_zone, clock),
            link=link,
            clock=clock,
        )
        self._keyed = KeyedRouter(
            router=self._router,
            clock=clock,
            epoch_of=EpochBook(link, clock).read,
            find_outcome=self._find_outcome,
        )

    def start(self) -> bool:
        """Learn members and sections, and keep them fresh; False if none answered."""
        found = self.refresh()
        self._executor.submit(self._run, _REFRESH, self.refresh)
        self._executor.submit(self._run, _BEAT, self.peers.beat)
        return found

    def stop(self) -> None:
        """Stop refreshing and close every stream."""
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
    ) -> Answer:
        """Return the answer to one request.

        `token` is the value of the context header that this process was called
        with, if it makes the request for a call that it serves; `scope` is then
        shared by all the requests of that call (see `open_scope`). A request
        that the document names as non-idempotent gets a ticket of its own when
        no `key` is given.
        """
        scope = scope or self.open_scope(service, token, f"{method} {path}")
        request = self._build(service, method, path, headers, body, key, scope)
        if request.repeatable:
            return self._router.call(request, scope, token)
        decision = self._rulebook.find(service).decide(
            self._settings.name, method, path
        )
        if key or not decision.keyed:
            routed = self._keyed.call if key else self._router.call
            return routed(request, scope, token)
        return self._call_with_tickets(request, scope, token)

    def open_scope(
        self, service: str, token: str = "", request: str = "GET /"
    ) -> CallScope:
        """Return the scope for the requests made on behalf of one call.

        `request` is the method and path that give a new root its importance.
        """
        method, _, path = request.partition(" ")
        book = self._rulebook.find(service)
        context = read_context(token) if token else None
        if context is None:
            context = CallContext(
                uuid.uuid4().hex,
                self._settings.name,
                book.decide(self._settings.name, method, path).importance,
                0,
                book.extra_attempts,
            )
        return CallScope(context, self._clock.monotonic() + book.deadline)

    def holds(self, team: str, version: int) -> bool:
        """Whether a team's section is known in a version or a newer one."""
        return self._sections.versions().get(team, 0) >= version

    def refresh(self) -> bool:
        """Ask a node for members and sections once; False when none answered."""
        client = self._reach_any()
        if client is None:
            return False
        reply = client.ask("membership.sync", b"", _ASK_TIMEOUT)
        versions = client.ask("policy.versions", b"", _ASK_TIMEOUT)
        if reply is None or versions is None:
            return False
        self._take_members(reply)
        for team in self._sections.list_newer(msgpack.unpackb(versions)):
            raw = client.ask("policy.section", team.encode(), _ASK_TIMEOUT)
            if raw is not None:
                self._sections.adopt(unpack_section(raw))
        return True

    def _call_with_tickets(
        self, request: Request, scope: CallScope, token: str
    ) -> Answer:
        answer = refuse_call(Refusal.NO_TARGET)
        declined: tuple[Ticket, ...] = ()
        for _ in range(_FRESH_TICKETS):
            ticket = self._keyed.mint(request, declined)
            if isinstance(ticket, Refusal):
                return refuse_call(ticket)
            answer = self._keyed.call(_with_key(request, ticket), scope, token)
            # A ticket that was refused by a leaving target is spent; the
            # request itself was not run, so it may go out under another.
            if answer.refusal is not Refusal.LEAVING:
                return answer
            declined += (ticket,)
        return answer

    def _build(
        self,
        service: str,
        method: str,
        path: str,
        headers: Headers,
        body: bytes | Pipe,
        key: str,
        scope: CallScope,
    ) -> Request:
        decision = self._rulebook.find(service).decide(
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
            repeatable=decision.repeatable,
        )

    def _find_outcome(self, caller: str, ticket: Ticket) -> Answer:
        # A node looks an outcome up under this caller's own name only, and would
        # find nothing of what was run in the name of a root's caller.
        if caller != self._settings.name:
            return report_unknown(Refusal.NO_RECORD)
        client = self._reach_any()
        if client is None:
            return report_unknown(Refusal.LOST)
        raw = client.ask("outcome", format_ticket(ticket).encode(), _ASK_TIMEOUT)
        return report_unknown(Refusal.LOST) if raw is None else unpack_answer(raw)

    def _reach_any(self) -> StreamClient | None:
        zone = self._settings.availability_zone
        near = sorted(self._members, key=lambda member: member.zone != zone)
        addresses = [split_address(each) for each in self._settings.nodes]
        addresses += [(each.host, each.stream_port) for each in near]
        for address in addresses:
            client = self.peers.connect(address)
            if client is not None:
                return client
        return None

    def _take_members(self, raw: bytes) -> None:
        try:
            values = msgpack.unpackb(raw, use_list=False)
            members = tuple(unpack_member(each) for each in values)
        except (ValueError, MalformedMember, msgpack.UnpackException):
            return
        if members != self._members:
            self._members = members
            self._version += 1

    def _apply_section(self, section: Section) -> None:
        self._rulebook = build_rulebook(self._sections.all())

    def _run(self, period: timedelta, step: Callable[[], object]) -> None:
        while not self._stopped.wait(period.total_seconds()):
            step()


def _with_key(request: Request, ticket: Ticket) -> Request:
    return replace(request, key=format_ticket(ticket))
