"""The targets that a call is sent to, and how long it may be queued."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

import pytest
from builders import make_record, make_route, make_watch

from cyclamenvane.calls import RANKS
from cyclamenvane.mesh.budget import RetryBudget
from cyclamenvane.mesh.call import Call
from cyclamenvane.mesh.directory import PeerDirectory
from cyclamenvane.mesh.dispatch import Dispatcher
from cyclamenvane.mesh.forward import ForwardResult, Load, Reason, Verdict
from cyclamenvane.mesh.levels import RouteLevels
from cyclamenvane.mesh.metric import Metrics
from cyclamenvane.mesh.model import Incarnation
from cyclamenvane.mesh.rank import Rank
from cyclamenvane.shedding import LoadShedder

LOAD = Load(1, 16, RANKS, 1, False)
MILLISECOND = timedelta(milliseconds=1)
WATCH = make_watch()


class Nodes:
    """Stand-in for other nodes: answers requests with `outcome` after `duration`."""

    def __init__(self, clock):
        self.clock = clock
        self.requests = []
        self.duration = 100 * MILLISECOND
        self.outcome = ForwardResult(Verdict.NOT_RUN, Reason.NO_ROOM, load=LOAD)

    def forward(self, address, request, watch):
        self.requests.append(request)
        self.clock.elapsed += self.duration
        return self.outcome


@pytest.fixture
def nodes(clock):
    return Nodes(clock)


@pytest.fixture
def budget(clock):
    return RetryBudget(0.2, 49, timedelta(seconds=10), clock)


@pytest.fixture
def dispatcher(clock, nodes, budget):
    directory = PeerDirectory("own", clock)
    for number in range(8):
        directory.apply(make_record(f"n-{number}"))
    return make_dispatcher(clock, directory, nodes.forward, budget)


def make_dispatcher(clock, directory, forward, budget, service="desk", execute=None):
    record = make_record("own", service=service)
    return Dispatcher(
        lambda: record,
        directory,
        execute,
        forward,
        budget,
        RouteLevels(clock),
        clock,
        Metrics(),
        lambda: 1,
        lambda version, address: None,
        lambda record: None,
        LoadShedder(0.2, 49, timedelta(seconds=10), clock),
    )


def make_call(clock, depth=0, **changes):
    now = clock.monotonic()
    deadline = now + timedelta(seconds=5)
    route = make_route(**changes)
    return Call(b"a", route, b"GET ", b"", Rank(0, depth), None, now, deadline)


def test_total_queue_time_is_limited_to_half_of_the_target_latency(
    dispatcher, nodes, clock
):
    result = dispatcher.serve(make_call(clock), WATCH)
    assert result.status == 503 and result.retry_after > timedelta()
    waits = [request.max_wait for request in nodes.requests]
    assert waits == [500 * MILLISECOND - number * nodes.duration for number in range(5)]


def test_refused_call_earns_budget_only_once(dispatcher, nodes, clock, budget):
    nodes.duration = timedelta()
    expected = RetryBudget(0.2, 49, timedelta(seconds=10), clock)
    for _ in range(400):
        dispatcher.serve(make_call(clock), WATCH)
        expected.add_call("stock", 9)
    assert spend_all(budget) == spend_all(expected)


def spend_all(budget):
    spent = 0
    while budget.spend("stock", 9):
        spent += 1
    return spent


def test_unknown_outcome_is_final_unless_the_call_is_idempotent(
    dispatcher, nodes, clock
):
    nodes.outcome = ForwardResult(Verdict.UNKNOWN, Reason.BROKEN, load=LOAD)
    assert dispatcher.serve(make_call(clock, idempotent=False), WATCH).status == 502
    assert len(nodes.requests) == 1
    assert dispatcher.serve(make_call(clock), WATCH).status == 502
    assert len(nodes.requests) == 3, "a call is sent to at most two targets"


def test_call_during_which_targets_crash_is_sent_on_once_and_as_a_suspect(
    dispatcher, nodes, clock
):
    nodes.outcome = ForwardResult(Verdict.UNKNOWN, Reason.CRASHED, load=LOAD)
    assert dispatcher.serve(make_call(clock, max_targets=4), WATCH).status == 502
    assert [request.crashes for request in nodes.requests] == [0, 1]


def test_request_that_comes_again_after_a_crash_is_sent_as_a_suspect(
    dispatcher, nodes, clock
):
    """The target's node may not have been told of the crash of the other target."""
    nodes.outcome = ForwardResult(Verdict.UNKNOWN, Reason.CRASHED, load=LOAD)
    dispatcher.serve(make_call(clock, idempotent=False), WATCH)
    nodes.outcome = ForwardResult(Verdict.ANSWERED, status=200, load=LOAD)
    dispatcher.serve(replace(make_call(clock), head=b"GET /other"), WATCH)
    dispatcher.serve(make_call(clock), WATCH)
    dispatcher.serve(make_call(clock), WATCH)
    assert [request.crashes for request in nodes.requests] == [0, 0, 1, 0]


def test_own_target_is_counted_when_targets_are_ejected(clock, nodes, budget):
    """Failure: of two targets, one being the node's own, none is ever ejected."""
    nodes.duration = timedelta()
    nodes.outcome = ForwardResult(Verdict.ANSWERED, status=200, load=LOAD)
    outcomes = [200] * 50 + [500] * 50

    def execute(request, watch):
        return ForwardResult(Verdict.ANSWERED, status=outcomes.pop(0), load=LOAD)

    directory = PeerDirectory("own", clock)
    directory.apply(make_record("n-0"))
    dispatcher = make_dispatcher(
        clock, directory, nodes.forward, budget, "stock", execute
    )
    while len(outcomes) > 40 and len(nodes.requests) < 200:
        dispatcher.serve(make_call(clock), WATCH)
    assert len(outcomes) > 40, "the failing target gets no calls any more"
    assert dispatcher.serve(make_call(clock), WATCH).status == 200


def test_quarantined_call_is_refused_without_trying_other_nodes(
    dispatcher, nodes, clock
):
    wait = timedelta(seconds=10)
    nodes.outcome = ForwardResult(
        Verdict.NOT_RUN, Reason.QUARANTINED, retry_after=wait, load=LOAD
    )
    result = dispatcher.serve(make_call(clock), WATCH)
    assert result.status == 503 and result.retry_after > timedelta(seconds=1)
    assert len(nodes.requests) == 1


def test_timeout_after_sending_is_not_reported_as_refusal(dispatcher, nodes, clock):
    nodes.outcome = ForwardResult(Verdict.UNKNOWN, Reason.TIMED_OUT, load=LOAD)
    result = dispatcher.serve(make_call(clock), WATCH)
    assert result.status == 504 and result.retry_after is None


def test_unknown_outcome_takes_precedence_over_a_later_refusal(
    dispatcher, nodes, clock
):
    outcomes = [
        ForwardResult(Verdict.UNKNOWN, Reason.BROKEN, load=LOAD),
        ForwardResult(Verdict.NOT_RUN, Reason.TARGET_REFUSED, load=LOAD),
    ]

    def forward(address, request, watch):
        nodes.requests.append(request)
        return outcomes[len(nodes.requests) - 1]

    dispatcher._forward_to_peer = forward
    assert dispatcher.serve(make_call(clock), WATCH).status == 502
    assert len(nodes.requests) == 2


def test_routes_with_large_responses_stay_in_the_zone(clock, budget):
    """A route whose responses are large is not spilled for a small difference."""
    directory = PeerDirectory("own", clock)
    directory.apply(make_record("near", zone="a"))
    directory.apply(make_record("far", zone="b"))
    full, nearly_free = Load(17, 16, RANKS, 1), Load(7, 16, RANKS, 1)
    near, far = directory.peers()
    sizes = {"small": 1_000, "large": 2_000_000}
    used = []

    def forward(address, request, watch):
        node = "near" if near.in_flight else "far"
        used.append(node)
        load = full if node == "near" else nearly_free
        body = b"x" * sizes[request.head.decode().strip()]
        return ForwardResult(Verdict.ANSWERED, status=200, body=body, load=load)

    dispatcher = make_dispatcher(clock, directory, forward, budget)
    for route in ("small", "large"):
        near.update_load(Load(0, 16, RANKS, 1))
        far.update_load(nearly_free)
        for _ in range(2):
            call = make_call(clock, name=route)
            call = replace(call, head=route.encode() + b" ")
            dispatcher.serve(call, WATCH)
    assert used == ["near", "far", "near", "near"]


def test_call_of_a_route_without_services_is_refused(dispatcher, nodes, clock):
    call = make_call(clock, shares=(), timeout=timedelta())
    result = dispatcher.serve(call, WATCH)
    assert result.status == 503 and result.retry_after > timedelta()
    assert nodes.requests == []


def test_local_target_that_has_just_started_warms_up(clock, budget):
    """Guards against a local target that counts as fast while it warms up.

    Its record comes from the node itself, not from the directory.
    """
    started_ms = round(clock.now().timestamp() * 1000)
    records = [
        make_record("own", incarnation=None),
        make_record("own", incarnation=Incarnation(started_ms, "i-own")),
    ]
    answered = ForwardResult(Verdict.ANSWERED, status=200, load=LOAD)
    dispatcher = Dispatcher(
        lambda: records[0],
        PeerDirectory("own", clock),
        lambda request, watch: answered,
        None,
        budget,
        RouteLevels(clock),
        clock,
        Metrics(),
        lambda: 1,
        lambda version, address: None,
        lambda record: None,
        LoadShedder(0.2, 49, timedelta(seconds=10), clock),
    )
    del records[0]
    assert dispatcher.serve(make_call(clock), WATCH).status == 200
    local = dispatcher._local_peer
    assert local.warm_at_s > clock.monotonic().total_seconds() + 2
    local.speed.reports = 5
    records[0] = make_record("own", incarnation=Incarnation(started_ms + 1, "i-2"))
    dispatcher.serve(make_call(clock), WATCH)
    assert local.speed.reports == 0
