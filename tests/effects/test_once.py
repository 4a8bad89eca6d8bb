"""Fuzz tests of at-most-once execution.

They cover crashes, lost and delayed messages, and a failing platform.
"""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from manual_clock import ManualClock
from platform_faults import FaultyPlatform

from cyclamenvane.calls import (
    CallContext,
    CallScope,
    Importance,
    Outcome,
    Refusal,
    Request,
    Response,
    make_refusal,
    make_unknown_response,
)
from cyclamenvane.effects import Archive, BeginResult, Ledger, parse_ticket
from cyclamenvane.membership import Member, TargetRecord
from cyclamenvane.routing import Endpoint, KeyedRouter

SERVICE = "voucher"
RECORD = TargetRecord(SERVICE, "127.0.0.1:9", 4)
KEYS = st.sampled_from(["key-1", "key-2", "ticket-1", "ticket-2"])
LINKS = st.sampled_from(
    ["", "", "", "unreached", "unreached-all", "lost-before", "lost-after", "delayed"]
)


class NodeSession:
    """One session of a node, with its ledger, archive and one target."""

    def __init__(self, number: int, clock, platform: FaultyPlatform) -> None:
        self.id = f"session{number}"
        self.ledger = Ledger(self.id, clock)
        self.archive = Archive(platform.objects, self.ledger)
        self.refusal: Refusal | None = None
        self.up = True
        self.member = Member(
            f"node{number}", self.id, 1, "z1", "r", "127.0.0.1", 1, 1, (RECORD,)
        )


class FakeCluster:
    """Fake router, streams and targets; counts the executions of each request."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.platform = FaultyPlatform(self.clock)
        self.sessions: list[NodeSession] = []
        self.effects: dict[str, int] = {}
        self.link_fault = ""
        self.delayed: list = []
        self.choices = 0
        self.directory = self
        self.selector = self

    def find_session(self, session: str) -> Member | None:
        found = [each for each in self.sessions if each.id == session and each.up]
        return found[0].member if found else None

    def select_target(self, request, excluded=frozenset()) -> Endpoint | Refusal:
        live_sessions = [
            session
            for session in self.sessions
            if session.up and (session.member.name, RECORD.address) not in excluded
        ]
        if not live_sessions:
            return Refusal.NO_TARGET
        self.choices += 1
        return Endpoint(
            SERVICE, live_sessions[self.choices % len(live_sessions)].member, RECORD
        )

    def begin(self, endpoint: Endpoint) -> None:
        pass

    def release(self, endpoint: Endpoint) -> None:
        pass

    def sign(self, request: Request) -> str:
        return ""

    def pause(self, seconds: float) -> None:
        self.clock.advance(seconds)

    def send(self, endpoint: Endpoint, request: Request, scope, token) -> Response:
        session = next(s for s in self.sessions if s.id == endpoint.member.session)
        link_fault = self.link_fault
        if link_fault == "unreached-all":
            self.clock.advance(1)
            return make_refusal(Refusal.UNREACHED)
        self.link_fault = ""
        if link_fault == "unreached" or not session.up:
            return make_refusal(Refusal.UNREACHED)
        if link_fault == "delayed":
            self.delayed.append((session, request))
        if link_fault in ("delayed", "lost-before"):
            self.clock.advance(1)
            return make_unknown_response(Refusal.LOST)
        response = self.execute(session, request)
        return (
            make_unknown_response(Refusal.LOST)
            if link_fault == "lost-after"
            else response
        )

    def execute(self, session: NodeSession, request: Request) -> Response:
        ticket = parse_ticket(request.key)
        responses: list[Response] = []
        result = session.ledger.begin("applicant", ticket, responses.append)
        if result is BeginResult.RUN:
            session.ledger.finish(
                "applicant", ticket, self.run_target(session, request)
            )
            session.ledger.begin("applicant", ticket, responses.append)
        elif not responses:
            responses.append(session.archive.find("applicant", ticket))
        return responses[0]

    def run_target(self, session: NodeSession, request: Request) -> Response:
        if session.refusal is not None:
            return make_refusal(session.refusal)
        name = request.path
        self.effects[name] = self.effects.get(name, 0) + 1
        body = f"{name} run {self.effects[name]}".encode()
        return Response(200, (), body, Outcome.DONE)


class AtMostOnceMachine(RuleBasedStateMachine):
    """Compare the effects counted at the targets with the responses to callers."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = FakeCluster()
        self.tickets: dict[str, str] = {}
        self.not_run_paths: set[str] = set()
        self.done_bodies: dict[str, bytes] = {}
        for _ in range(2):
            self.start()

    @rule()
    def start(self) -> None:
        cluster = self.cluster
        if sum(session.up for session in cluster.sessions) < 3:
            session = NodeSession(
                len(cluster.sessions), cluster.clock, cluster.platform
            )
            cluster.sessions.append(session)

    @rule(
        key=KEYS,
        link_fault=LINKS,
        fault=st.sampled_from(["", "", "lost", "late", "dropped"]),
        own=st.booleans(),
    )
    def send(self, key: str, link_fault: str, fault: str, own: bool) -> None:
        """Send a request through a live node, for the first time or as a resend."""
        cluster = self.cluster
        entry = next((session for session in cluster.sessions if session.up), None)
        keyed = KeyedRouter(
            router=cluster,
            clock=cluster.clock,
            epoch_of=lambda member: self.find_session(member).ledger.epoch,
            find_outcome=lambda caller, ticket: self.find_outcome(caller, ticket),
            table=cluster.platform,
        )
        name = self.resolve_key(key, keyed)
        if name is None or entry is None:
            return
        deadline = cluster.clock.monotonic() + timedelta(seconds=2)
        context = CallContext("r", "applicant", Importance.CRITICAL, 0, 3)
        request = Request(
            SERVICE, "POST", f"/{name}", (), b"", context, deadline, key=name
        )
        cluster.link_fault, cluster.platform.next_fault = link_fault, fault
        response = keyed.call(request, CallScope(context, deadline))
        cluster.link_fault = cluster.platform.next_fault = ""
        self.record_response(f"/{name}", response)

    def resolve_key(self, key: str, keyed: KeyedRouter) -> str | None:
        if not key.startswith("ticket"):
            return key
        if key not in self.tickets:
            endpoint = self.cluster.select_target(None)
            if isinstance(endpoint, Refusal):
                return None
            session = self.find_session(endpoint.member)
            ticket = session.ledger.mint()
            self.tickets[key] = f"t1.{ticket.session}.{ticket.epoch}.{ticket.nonce}"
        return self.tickets[key]

    def find_session(self, member: Member) -> NodeSession:
        return next(s for s in self.cluster.sessions if s.id == member.session)

    def find_outcome(self, caller: str, ticket) -> Response:
        return Archive(
            self.cluster.platform.objects, Ledger("x", self.cluster.clock)
        ).find(caller, ticket)

    def record_response(self, path: str, response: Response) -> None:
        if response.outcome is Outcome.NOT_RUN:
            self.not_run_paths.add(path)
        elif response.outcome is Outcome.DONE and response.refusal is Refusal.NONE:
            before = self.done_bodies.setdefault(path, response.body)
            assert response.body == before, "a resent request got a different response"

    @rule()
    def deliver_delayed(self) -> None:
        """Deliver the delayed copies of requests."""
        delayed, self.cluster.delayed = self.cluster.delayed, []
        for session, request in delayed:
            if session.up:
                self.cluster.execute(session, request)

    @rule()
    def apply_late_writes(self) -> None:
        self.cluster.platform.apply_late()

    @rule(down=st.booleans())
    def switch_platform(self, down: bool) -> None:
        self.cluster.platform.down = down

    @rule(data=st.data(), graceful=st.booleans())
    def end(self, data: st.DataObject, graceful: bool) -> None:
        live_sessions = [session for session in self.cluster.sessions if session.up]
        if live_sessions:
            session = data.draw(st.sampled_from(live_sessions))
            if graceful:
                session.archive.close()
            session.up = False

    @rule(data=st.data())
    def save(self, data: st.DataObject) -> None:
        data.draw(st.sampled_from(self.cluster.sessions)).archive.save()

    @rule(
        data=st.data(),
        refusal=st.none() | st.sampled_from([Refusal.LEAVING, Refusal.OVERLOAD]),
    )
    def set_refusal(self, data: st.DataObject, refusal: Refusal | None) -> None:
        data.draw(st.sampled_from(self.cluster.sessions)).refusal = refusal

    @rule(seconds=st.sampled_from([1.0, 61.0, 400.0]))
    def advance(self, seconds: float) -> None:
        self.cluster.clock.advance(seconds)

    @invariant()
    def at_most_once(self) -> None:
        assert all(count == 1 for count in self.cluster.effects.values())

    @invariant()
    def not_run_requests_have_no_effect(self) -> None:
        assert not self.not_run_paths & set(self.cluster.effects)


TestAtMostOnce = AtMostOnceMachine.TestCase


def test_claim_with_a_lost_response_does_not_block_its_key() -> None:
    machine = AtMostOnceMachine()
    machine.send("key-1", "", "lost", False)
    assert machine.cluster.effects == {"/key-1": 1}


def test_session_with_a_running_request_is_not_closed() -> None:
    session = AtMostOnceMachine().cluster.sessions[0]
    session.ledger.begin("applicant", session.ledger.mint(), lambda response: None)
    assert not session.archive.close()


def test_platform_outage_blocks_caller_chosen_keys_but_not_tickets() -> None:
    machine = AtMostOnceMachine()
    machine.cluster.platform.down = True
    machine.send("key-1", "", "", False)
    machine.send("ticket-1", "", "", False)
    assert list(machine.cluster.effects.values()) == [1]
    assert not machine.not_run_paths, "got not-run for a key that may be bound"


def test_resent_request_gets_its_response_after_the_target_left() -> None:
    machine = AtMostOnceMachine()
    machine.send("ticket-1", "", "", False)
    machine.send("key-1", "", "", False)
    for session in machine.cluster.sessions:
        session.member = replace(session.member, targets=())
        session.refusal = Refusal.LEAVING
    machine.send("ticket-1", "", "", False)
    machine.send("key-1", "", "", False)
    assert not machine.not_run_paths, "got not-run for a request that had run"
    assert len(machine.done_bodies) == 2


def test_resent_bound_key_is_forwarded_when_no_target_accepts_it() -> None:
    machine = AtMostOnceMachine()
    machine.send("key-1", "", "", False)
    machine.cluster.select_target = lambda *_: Refusal.OVERLOAD
    machine.done_bodies.clear()
    machine.send("key-1", "", "", False)
    assert list(machine.done_bodies) == ["/key-1"]
