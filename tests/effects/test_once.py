"""Fuzzing of "at most once" over crashes, lost messages and a failing platform."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from manual_clock import ManualClock
from platform_faults import FaultyPlatform

from cyclamenvane.calls import (
    Answer,
    CallContext,
    CallScope,
    Importance,
    Outcome,
    Refusal,
    Request,
    refuse_call,
    report_unknown,
)
from cyclamenvane.effects import Archive, Ledger, Standing, parse_ticket
from cyclamenvane.membership import Member, TargetRecord
from cyclamenvane.routing import Endpoint, KeyedRouter

SERVICE = "voucher"
RECORD = TargetRecord(SERVICE, "127.0.0.1:9", 4)
KEYS = st.sampled_from(["key-1", "key-2", "ticket-1", "ticket-2"])
LINKS = st.sampled_from(
    ["", "", "", "unreached", "unreached-all", "lost-before", "lost-after", "late"]
)


class NodeRun:
    """One run of a node: its ledger, and the target that it stands before."""

    def __init__(self, number: int, clock, platform: FaultyPlatform) -> None:
        self.session = f"run{number}"
        self.ledger = Ledger(self.session, clock)
        self.archive = Archive(platform.objects, self.ledger)
        self.refusal: Refusal | None = None
        self.up = True
        self.member = Member(
            f"node{number}", self.session, 1, "z1", "r", "127.0.0.1", 1, 1, (RECORD,)
        )


class World:
    """Stands in for streams and targets, and counts what takes effect."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.platform = FaultyPlatform(self.clock)
        self.runs: list[NodeRun] = []
        self.effects: dict[str, int] = {}
        self.link = ""
        self.late: list = []
        self.chosen = 0
        self.directory = self
        self.chooser = self

    def find_session(self, session: str) -> Member | None:
        found = [run for run in self.runs if run.session == session and run.up]
        return found[0].member if found else None

    def choose_target(self, request, without=frozenset()) -> Endpoint | Refusal:
        up = [
            run
            for run in self.runs
            if run.up and (run.member.name, RECORD.address) not in without
        ]
        if not up:
            return Refusal.NO_TARGET
        self.chosen += 1
        return Endpoint(SERVICE, up[self.chosen % len(up)].member, RECORD)

    def begin(self, endpoint: Endpoint) -> None:
        pass

    def release(self, endpoint: Endpoint) -> None:
        pass

    def sign(self, request: Request) -> str:
        return ""

    def pause(self, seconds: float) -> None:
        self.clock.advance(seconds)

    def send(self, endpoint: Endpoint, request: Request, scope, token) -> Answer:
        run = next(r for r in self.runs if r.session == endpoint.member.session)
        link = self.link
        if link == "unreached-all":
            self.clock.advance(1)
            return refuse_call(Refusal.UNREACHED)
        self.link = ""
        if link == "unreached" or not run.up:
            return refuse_call(Refusal.UNREACHED)
        if link == "late":
            self.late.append((run, request))
        if link in ("late", "lost-before"):
            self.clock.advance(1)
            return report_unknown(Refusal.LOST)
        answer = self.execute(run, request)
        return report_unknown(Refusal.LOST) if link == "lost-after" else answer

    def execute(self, run: NodeRun, request: Request) -> Answer:
        ticket = parse_ticket(request.key)
        told: list[Answer] = []
        standing = run.ledger.begin("applicant", ticket, told.append)
        if standing is Standing.RUN:
            run.ledger.finish("applicant", ticket, self.run_target(run, request))
            run.ledger.begin("applicant", ticket, told.append)
        elif not told:
            told.append(run.archive.find("applicant", ticket))
        return told[0]

    def run_target(self, run: NodeRun, request: Request) -> Answer:
        if run.refusal is not None:
            return refuse_call(run.refusal)
        name = request.path
        self.effects[name] = self.effects.get(name, 0) + 1
        body = f"{name} run {self.effects[name]}".encode()
        return Answer(200, (), body, Outcome.DONE)


class OnceMachine(RuleBasedStateMachine):
    """The oracle: effects counted at the target, against what callers were told."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()
        self.tickets: dict[str, str] = {}
        self.told_not_run: set[str] = set()
        self.told_done: dict[str, bytes] = {}
        for _ in range(2):
            self.start()

    @rule()
    def start(self) -> None:
        world = self.world
        if sum(run.up for run in world.runs) < 3:
            run = NodeRun(len(world.runs), world.clock, world.platform)
            world.runs.append(run)

    @rule(
        key=KEYS,
        link=LINKS,
        fault=st.sampled_from(["", "", "lost", "late", "dropped"]),
        own=st.booleans(),
    )
    def send(self, key: str, link: str, fault: str, own: bool) -> None:
        """A caller sends a request, again or for the first time, at any node."""
        world = self.world
        entry = next((run for run in world.runs if run.up), None)
        keyed = KeyedRouter(
            router=world,
            clock=world.clock,
            epoch_of=lambda member: self.find_run(member).ledger.epoch,
            find_outcome=lambda caller, ticket: self.find_outcome(caller, ticket),
            table=world.platform,
        )
        name = self.name_key(key, keyed)
        if name is None or entry is None:
            return
        deadline = world.clock.monotonic() + timedelta(seconds=2)
        context = CallContext("r", "applicant", Importance.CRITICAL, 0, 3)
        request = Request(
            SERVICE, "POST", f"/{name}", (), b"", context, deadline, key=name
        )
        world.link, world.platform.next_fault = link, fault
        answer = keyed.call(request, CallScope(context, deadline))
        world.link = world.platform.next_fault = ""
        self.check(f"/{name}", answer)

    def name_key(self, key: str, keyed: KeyedRouter) -> str | None:
        if not key.startswith("ticket"):
            return key
        if key not in self.tickets:
            endpoint = self.world.choose_target(None)
            if isinstance(endpoint, Refusal):
                return None
            run = self.find_run(endpoint.member)
            ticket = run.ledger.mint()
            self.tickets[key] = f"t1.{ticket.session}.{ticket.epoch}.{ticket.nonce}"
        return self.tickets[key]

    def find_run(self, member: Member) -> NodeRun:
        return next(r for r in self.world.runs if r.session == member.session)

    def find_outcome(self, caller: str, ticket) -> Answer:
        return Archive(self.world.platform.objects, Ledger("x", self.world.clock)).find(
            caller, ticket
        )

    def check(self, path: str, answer: Answer) -> None:
        if answer.outcome is Outcome.NOT_RUN:
            self.told_not_run.add(path)
        elif answer.outcome is Outcome.DONE and answer.refusal is Refusal.NONE:
            before = self.told_done.setdefault(path, answer.body)
            assert answer.body == before, "a repeat got another answer"

    @rule()
    def deliver_late(self) -> None:
        """Copies that were sent long ago arrive now."""
        late, self.world.late = self.world.late, []
        for run, request in late:
            if run.up:
                self.world.execute(run, request)

    @rule()
    def apply_late_writes(self) -> None:
        self.world.platform.apply_late()

    @rule(down=st.booleans())
    def switch_platform(self, down: bool) -> None:
        self.world.platform.down = down

    @rule(data=st.data(), graceful=st.booleans())
    def end(self, data: st.DataObject, graceful: bool) -> None:
        up = [run for run in self.world.runs if run.up]
        if up:
            run = data.draw(st.sampled_from(up))
            if graceful:
                run.archive.close()
            run.up = False

    @rule(data=st.data())
    def save(self, data: st.DataObject) -> None:
        data.draw(st.sampled_from(self.world.runs)).archive.save()

    @rule(
        data=st.data(),
        refusal=st.none() | st.sampled_from([Refusal.LEAVING, Refusal.OVERLOAD]),
    )
    def refuse_or_take(self, data: st.DataObject, refusal: Refusal | None) -> None:
        data.draw(st.sampled_from(self.world.runs)).refusal = refusal

    @rule(seconds=st.sampled_from([1.0, 61.0, 400.0]))
    def advance(self, seconds: float) -> None:
        self.world.clock.advance(seconds)

    @invariant()
    def at_most_once(self) -> None:
        assert all(count == 1 for count in self.world.effects.values())

    @invariant()
    def not_run_is_true(self) -> None:
        assert not self.told_not_run & set(self.world.effects)


TestOnce = OnceMachine.TestCase


def test_claim_whose_answer_was_lost_leaves_no_key_stuck() -> None:
    machine = OnceMachine()
    machine.send("key-1", "", "lost", False)
    assert machine.world.effects == {"/key-1": 1}


def test_run_that_has_work_left_is_not_closed() -> None:
    run = OnceMachine().world.runs[0]
    run.ledger.begin("applicant", run.ledger.mint(), lambda answer: None)
    assert not run.archive.close()


def test_outage_stops_chosen_keys_and_not_tickets() -> None:
    machine = OnceMachine()
    machine.world.platform.down = True
    machine.send("key-1", "", "", False)
    machine.send("ticket-1", "", "", False)
    assert list(machine.world.effects.values()) == [1]
    assert not machine.told_not_run, "a key that may be bound was called not run"


def test_repeat_gets_its_answer_after_the_target_has_gone() -> None:
    machine = OnceMachine()
    machine.send("ticket-1", "", "", False)
    machine.send("key-1", "", "", False)
    for run in machine.world.runs:
        run.member = replace(run.member, targets=())
        run.refusal = Refusal.LEAVING
    machine.send("ticket-1", "", "", False)
    machine.send("key-1", "", "", False)
    assert not machine.told_not_run, "what had run was called not run"
    assert len(machine.told_done) == 2


def test_repeat_of_a_bound_key_is_followed_when_no_target_takes_it() -> None:
    machine = OnceMachine()
    machine.send("key-1", "", "", False)
    machine.world.choose_target = lambda *_: Refusal.OVERLOAD
    machine.told_done.clear()
    machine.send("key-1", "", "", False)
    assert list(machine.told_done) == ["/key-1"]
