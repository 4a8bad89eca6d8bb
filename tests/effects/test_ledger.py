"""What a node run remembers of its tickets."""

from __future__ import annotations

from manual_clock import ManualClock
from platform_faults import FaultyPlatform

from cyclamenvane.calls import Answer, Outcome, Refusal, refuse_call
from cyclamenvane.effects import (
    EPOCH,
    EPOCHS_KEPT,
    Archive,
    Ledger,
    Standing,
    parse_ticket,
)

ANSWER = Answer(200, (), b"booked", Outcome.DONE)


def test_copies_wait_for_the_one_answer(clock: ManualClock) -> None:
    ledger = Ledger("run", clock)
    ticket = ledger.mint()
    got: list[Answer] = []
    assert ledger.begin("a", ticket, got.append) is Standing.RUN
    assert ledger.begin("a", ticket, got.append) is Standing.WAIT
    ledger.finish("a", ticket, ANSWER)
    assert got == [ANSWER]
    assert ledger.begin("a", ticket, got.append) is Standing.ANSWERED
    assert got == [ANSWER, ANSWER]


def test_key_of_one_caller_gives_another_nothing(clock: ManualClock) -> None:
    ledger = Ledger("run", clock)
    ticket = ledger.mint()
    ledger.begin("a", ticket, lambda answer: None)
    ledger.finish("a", ticket, ANSWER)
    got: list[Answer] = []
    assert ledger.begin("b", ticket, got.append) is Standing.RUN
    assert not got


def test_refused_ticket_stays_refused(clock: ManualClock) -> None:
    ledger = Ledger("run", clock)
    ticket = ledger.mint()
    ledger.begin("a", ticket, lambda answer: None)
    ledger.finish("a", ticket, refuse_call(Refusal.OVERLOAD))
    got: list[Answer] = []
    assert ledger.begin("a", ticket, got.append) is Standing.ANSWERED
    assert got[0].outcome is Outcome.NOT_RUN


def test_ticket_of_another_run_or_time_is_not_executed(clock: ManualClock) -> None:
    ledger = Ledger("run", clock)
    other = parse_ticket("t1.other.0.abc")
    later = parse_ticket("t1.run.1.abc")
    assert ledger.begin("a", other, lambda _: None) is Standing.NOT_HERE
    assert ledger.begin("a", later, lambda _: None) is Standing.ARCHIVED
    old = ledger.mint()
    clock.advance(EPOCH.total_seconds() * EPOCHS_KEPT)
    assert ledger.begin("a", old, lambda _: None) is Standing.ARCHIVED


def test_forgetting_bounds_what_is_kept(clock: ManualClock) -> None:
    ledger = Ledger("run", clock)
    for _ in range(3):
        for _ in range(100):
            ticket = ledger.mint()
            ledger.begin("a", ticket, lambda _: None)
            ledger.finish("a", ticket, ANSWER)
        clock.advance(EPOCH.total_seconds() * EPOCHS_KEPT)
    ledger.begin("a", ledger.mint(), lambda _: None)
    assert sum(len(entries) for entries in ledger._epochs.values()) == 1


def test_large_answers_are_left_to_the_archive(clock: ManualClock) -> None:
    ledger = Ledger("run", clock)
    big = Answer(200, (), b"x" * 5_000_000, Outcome.DONE)
    tickets = [ledger.mint() for _ in range(3)]
    for ticket in tickets:
        ledger.begin("a", ticket, lambda _: None)
        ledger.finish("a", ticket, big)
    found = [ledger.begin("a", ticket, lambda _: None) for ticket in tickets]
    assert found == [Standing.ARCHIVED, Standing.ARCHIVED, Standing.ANSWERED]


def test_outcomes_of_a_long_outage_are_bounded_and_keep_the_run_open(clock) -> None:
    ledger = Ledger("run", clock)
    platform = FaultyPlatform(clock)
    archive = Archive(platform.objects, ledger)
    platform.down = True
    big = Answer(200, (), b"x" * 1_000_000, Outcome.DONE)
    for _ in range(20):
        ticket = ledger.mint()
        ledger.begin("a", ticket, lambda _: None)
        ledger.finish("a", ticket, big)
        assert not archive.save()
    kept = ledger.take_unsaved()
    assert 0 < len(kept) < 8
    ledger.put_back(kept)
    platform.down = False
    assert not archive.close(), "a run that lost outcomes was closed"
    assert archive.find("a", kept[-1].ticket).body == big.body
