"""Tests of the limit on resends by a caller."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from manual_clock import ManualClock

from cyclamenvane.admission import RESEND_WINDOW, ResendLimiter

RESENDS = 3


@given(st.lists(st.tuples(st.booleans(), st.floats(0, 3)), max_size=60))
def test_sends_between_successes_are_bounded(steps: list[tuple[bool, float]]) -> None:
    clock = ManualClock()
    limiter = ResendLimiter(clock)
    sent: list[float] = []
    for succeeds, delay in steps:
        clock.advance(delay)
        now = clock.monotonic().total_seconds()
        if limiter.admit("foreman", "request-1", RESENDS):
            sent.append(now)
            if succeeds:
                limiter.clear("foreman", "request-1")
                sent.clear()
        window = RESEND_WINDOW.total_seconds()
        assert sum(now - sent_at < window for sent_at in sent) <= 2 * (1 + RESENDS)


def test_other_callers_and_requests_are_not_counted(clock: ManualClock) -> None:
    limiter = ResendLimiter(clock)
    assert [limiter.admit("a", "r", 1) for _ in range(3)] == [True, True, False]
    assert limiter.admit("b", "r", 1) and limiter.admit("a", "s", 1)
    clock.advance(RESEND_WINDOW.total_seconds())
    assert limiter.admit("a", "r", 1)
