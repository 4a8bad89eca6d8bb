"""The effect of heartbeats does not depend on the order of their arrival."""

from __future__ import annotations

from datetime import timedelta
from types import SimpleNamespace

import pytest
from builders import TARGET, make_heartbeat, make_record

from cyclamenvane.mesh.forward import Reason
from cyclamenvane.mesh.model import Incarnation
from cyclamenvane.mesh.registration import Registration

DRAIN = timedelta(seconds=2)


@pytest.fixture
def changes():
    return []


@pytest.fixture
def registration(changes, clock):
    registration = Registration("stock", TARGET, DRAIN, clock, changes.append)
    registration.restore(None)
    return registration


def test_a_heartbeat_registers_the_target(registration, changes):
    assert not registration.is_serving()
    assert registration.refusal_reason() is Reason.NO_TARGET
    assert registration.handle_heartbeat(make_heartbeat()).accepted
    assert registration.serving_incarnation() == Incarnation(1000, "i-1")
    assert len(changes) == 1


def test_a_repeated_heartbeat_causes_no_change(registration, changes):
    registration.handle_heartbeat(make_heartbeat())
    registration.handle_heartbeat(make_heartbeat(sequence=2))
    assert len(changes) == 1


@pytest.mark.parametrize(
    "late",
    [
        make_heartbeat(sequence=3),
        make_heartbeat(sequence=4),
        make_heartbeat(incarnation=Incarnation(900, "i-0"), sequence=99),
        make_heartbeat(incarnation=Incarnation(900, "i-1"), sequence=99),
    ],
)
def test_a_late_heartbeat_does_not_reactivate_a_draining_target(registration, late):
    registration.handle_heartbeat(make_heartbeat(sequence=4, draining=True))
    assert not registration.handle_heartbeat(late).accepted
    assert not registration.is_serving()


def test_a_draining_incarnation_cannot_become_healthy_again(registration):
    registration.handle_heartbeat(make_heartbeat(sequence=4, draining=True))
    assert not registration.handle_heartbeat(make_heartbeat(sequence=5)).accepted
    assert registration.refusal_reason() is Reason.LEAVING


def test_a_target_that_deregisters_without_draining_stays_so(registration):
    registration.handle_heartbeat(make_heartbeat())
    assert registration.handle_deregistration("i-1")
    assert not registration.is_serving()
    assert not registration.handle_heartbeat(make_heartbeat(sequence=9)).accepted
    assert not registration.is_serving()


def test_a_deregistration_before_the_first_heartbeat_is_applied(registration, clock):
    """Guards against a next start that is taken for a late heartbeat."""
    assert registration.handle_deregistration("i-1") is None
    assert not registration.handle_heartbeat(make_heartbeat()).accepted
    assert not registration.is_serving()
    now_ms = int(clock.now().timestamp() * 1000)
    next_start = make_heartbeat(incarnation=Incarnation(now_ms + 1, "i-1"))
    assert registration.handle_heartbeat(next_start).accepted
    assert registration.is_serving()


def test_deregistration_of_an_unknown_target_concerns_no_other(registration):
    """Guards against a target that is refused since the one before it ended late."""
    assert registration.handle_deregistration("i-0") is None
    assert registration.handle_deregistration("i-0") is None, "sent once more"
    assert registration.handle_heartbeat(make_heartbeat()).accepted
    assert registration.is_serving()


def test_deregistration_after_the_settings_have_changed(registration, changes):
    registration.handle_heartbeat(make_heartbeat())
    settings = SimpleNamespace(service="desk", target=TARGET, drain_timeout=DRAIN)
    registration.reconfigure(settings)
    assert registration.handle_deregistration("i-1") == Incarnation(1000, "i-1")
    following = make_heartbeat(service="desk", incarnation=Incarnation(2000, "i-2"))
    assert registration.handle_heartbeat(following).accepted
    assert registration.is_serving()


def test_deregistrations_of_unknown_targets_are_bounded(registration):
    """Guards against memory that grows with each instance name that is sent."""
    for number in range(1000):
        registration.handle_deregistration(f"i-{number}")
    assert len(registration._announced_shutdowns) <= 64
    assert len(registration._unidentified_shutdowns) <= 64
    assert not registration.handle_heartbeat(
        make_heartbeat(incarnation=Incarnation(1000, "i-999"))
    ).accepted


def test_the_next_incarnation_serves_under_a_new_or_the_same_id(registration):
    registration.handle_heartbeat(make_heartbeat())
    registration.handle_deregistration("i-1")
    restarted = make_heartbeat(incarnation=Incarnation(2000, "i-1"))
    assert registration.handle_heartbeat(restarted).accepted
    assert registration.is_serving()
    other = make_heartbeat(incarnation=Incarnation(3000, "i-2"))
    assert registration.handle_heartbeat(other).accepted
    assert not registration.handle_heartbeat(make_heartbeat(sequence=50)).accepted


def test_heartbeats_of_other_targets_are_rejected(registration):
    assert not registration.handle_heartbeat(make_heartbeat(service="other")).accepted
    moved = make_heartbeat(address=("127.0.0.1", 9999))
    assert not registration.handle_heartbeat(moved).accepted


@pytest.mark.parametrize("heartbeat_first", [True, False])
def test_a_deregistration_recorded_by_an_earlier_process_of_the_node_is_kept(
    registration, heartbeat_first
):
    if heartbeat_first:
        registration.handle_heartbeat(make_heartbeat())
    incarnation = Incarnation(1000, "i-1")
    registration.restore(make_record(incarnation=incarnation, leaving=True))
    assert not registration.handle_heartbeat(make_heartbeat(sequence=9)).accepted
    assert not registration.is_serving()
    next_start = make_heartbeat(incarnation=Incarnation(2000, "i-1"))
    assert registration.handle_heartbeat(next_start).accepted


def test_a_draining_target_gets_calls_for_a_short_time(registration, clock):
    """That is half of the drain timeout."""
    registration.handle_heartbeat(make_heartbeat())
    registration.handle_heartbeat(make_heartbeat(sequence=2, draining=True))
    assert not registration.is_serving()
    clock.advance(0.7)
    registration.handle_heartbeat(make_heartbeat(sequence=3, draining=True))
    assert registration.serving_incarnation() == Incarnation(1000, "i-1")
    clock.advance(0.4)
    assert registration.serving_incarnation() is None


def test_a_drained_target_gets_no_calls_after_deregistering(registration):
    registration.handle_heartbeat(make_heartbeat())
    registration.handle_heartbeat(make_heartbeat(sequence=2, draining=True))
    registration.handle_deregistration("i-1")
    assert registration.serving_incarnation() is None


def test_a_target_that_deregisters_without_draining_gets_calls_for_a_short_time(
    registration, clock
):
    registration.handle_heartbeat(make_heartbeat())
    registration.handle_deregistration("i-1")
    assert registration.serving_incarnation() == Incarnation(1000, "i-1")
    clock.advance(1.1)
    assert registration.serving_incarnation() is None


def test_a_restarted_node_sends_no_calls_to_a_draining_target(registration):
    """An earlier session may have got the announcement at an unknown time."""
    registration.handle_heartbeat(make_heartbeat(sequence=9, draining=True))
    assert registration.serving_incarnation() is None


def test_target_that_says_in_a_response_that_it_leaves_gets_calls_for_a_moment(
    registration, changes, clock
):
    heartbeat = make_heartbeat()
    registration.handle_heartbeat(heartbeat)
    registration.handle_leaving_response(heartbeat.incarnation)
    registration.handle_leaving_response(heartbeat.incarnation)
    assert not registration.is_serving() and len(changes) == 2
    assert registration.serving_incarnation() == heartbeat.incarnation
    clock.advance(DRAIN.total_seconds())
    # Neither a healthy heartbeat nor the announcement gives it more time.
    for sequence, draining in ((5, False), (6, True)):
        later = make_heartbeat(sequence=sequence, draining=draining)
        assert registration.handle_heartbeat(later).accepted
        assert registration.serving_incarnation() is None
    assert registration.refusal_reason() is Reason.LEAVING


def test_response_of_an_earlier_incarnation_does_not_concern_the_next_one(
    registration,
):
    registration.handle_heartbeat(make_heartbeat())
    successor = Incarnation(2000, "i-2")
    registration.handle_heartbeat(make_heartbeat(incarnation=successor))
    registration.handle_leaving_response(Incarnation(1000, "i-1"))
    assert registration.is_serving()
    registration.handle_leaving_response(successor)
    third = Incarnation(3000, "i-3")
    registration.handle_heartbeat(make_heartbeat(incarnation=third))
    assert registration.is_serving()
