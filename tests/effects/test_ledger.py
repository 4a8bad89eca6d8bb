"""Tests of the ledger: ticket states, retention and archiving."""

from __future__ import annotations

from manual_clock import ManualClock
from platform_faults import FaultyPlatform

from cyclamenvane.calls import Outcome, Refusal, Response, make_refusal
from cyclamenvane.effects import (
    EPOCH,
    EPOCHS_KEPT,
    Archive,
    BeginResult,
    Ledger,
    parse_ticket,
)

RESPONSE = Response(200, (), b"booked", Outcome.DONE)


def test_copies_of_a_request_get_the_same_response(clock: ManualClock) -> None:
    ledger = Ledger("run", clock)
    ticket = ledger.mint()
    responses: list[Response] = []
    assert ledger.begin("a", ticket, responses.append) is BeginResult.RUN
    assert ledger.begin("a", ticket, responses.append) is BeginResult.WAIT
    ledger.finish("a", ticket, RESPONSE)
    assert responses == [RESPONSE]
    assert ledger.begin("a", ticket, responses.append) is BeginResult.ANSWERED
    assert responses == [RESPONSE, RESPONSE]


def test_callers_do_not_share_tickets(clock: ManualClock) -> None:
    ledger = Ledger("run", clock)
    ticket = ledger.mint()
    ledger.begin("a", ticket, lambda response: None)
    ledger.finish("a", ticket, RESPONSE)
    responses: list[Response] = []
    assert ledger.begin("b", ticket, responses.append) is BeginResult.RUN
    assert not responses


def test_refused_ticket_stays_refused(clock: ManualClock) -> None:
    ledger = Ledger("run", clock)
    ticket = ledger.mint()
    ledger.begin("a", ticket, lambda response: None)
    ledger.finish("a", ticket, make_refusal(Refusal.OVERLOAD))
    responses: list[Response] = []
    assert ledger.begin("a", ticket, responses.append) is BeginResult.ANSWERED
    assert responses[0].outcome is Outcome.NOT_RUN


def test_ticket_of_another_run_or_epoch_is_not_executed(clock: ManualClock) -> None:
    ledger = Ledger("run", clock)
    other = parse_ticket("t1.other.0.abc")
    later = parse_ticket("t1.run.1.abc")
    assert ledger.begin("a", other, lambda _: None) is BeginResult.NOT_HERE
    assert ledger.begin("a", later, lambda _: None) is BeginResult.ARCHIVED
    old = ledger.mint()
    clock.advance(EPOCH.total_seconds() * EPOCHS_KEPT)
    assert ledger.begin("a", old, lambda _: None) is BeginResult.ARCHIVED


def test_old_epochs_are_discarded(clock: ManualClock) -> None:
    ledger = Ledger("run", clock)
    for _ in range(3):
        for _ in range(100):
            ticket = ledger.mint()
            ledger.begin("a", ticket, lambda _: None)
            ledger.finish("a", ticket, RESPONSE)
        clock.advance(EPOCH.total_seconds() * EPOCHS_KEPT)
    ledger.begin("a", ledger.mint(), lambda _: None)
    assert sum(len(entries) for entries in ledger._epochs.values()) == 1


def test_large_responses_are_evicted_from_memory(clock: ManualClock) -> None:
    ledger = Ledger("run", clock)
    large_response = Response(200, (), b"x" * 5_000_000, Outcome.DONE)
    tickets = [ledger.mint() for _ in range(3)]
    for ticket in tickets:
        ledger.begin("a", ticket, lambda _: None)
        ledger.finish("a", ticket, large_response)
    results = [ledger.begin("a", ticket, lambda _: None) for ticket in tickets]
    assert results == [BeginResult.ARCHIVED, BeginResult.ARCHIVED, BeginResult.ANSWERED]


def test_run_that_discarded_outcomes_in_an_outage_is_not_closed(clock) -> None:
    ledger = Ledger("run", clock)
    platform = FaultyPlatform(clock)
    archive = Archive(platform.objects, ledger)
    platform.down = True
    large_response = Response(200, (), b"x" * 1_000_000, Outcome.DONE)
    for _ in range(20):
        ticket = ledger.mint()
        ledger.begin("a", ticket, lambda _: None)
        ledger.finish("a", ticket, large_response)
        assert not archive.save()
    kept = ledger.take_unsaved()
    assert 0 < len(kept) < 8
    ledger.restore_unsaved(kept)
    platform.down = False
    assert not archive.close(), "closed a session that had discarded outcomes"
    assert archive.find("a", kept[-1].ticket).body == large_response.body
