"""Acknowledges what the local target says, once it outlives this process.

A target may rely on the acknowledgement of its shutdown: no call reaches it later than
the drain timeout after it, whatever happens to the node. So the shutdown has to be in
the store first, where the next process of the node reads it before it passes calls on.
If it is not stored in time, the target gets no acknowledgement, although this process
applies the shutdown at once. Other heartbeats promise nothing, and do not wait.
"""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import TYPE_CHECKING

import eliot

if TYPE_CHECKING:
    from ..clock import Clock
    from .model import Heartbeat, Incarnation, NodeRecord
    from .publication import RecordPublisher
    from .registration import Registration

__all__ = ["MAX_WAITING", "TargetAcknowledger", "records_shutdown"]

# A target does not take an answer after a second for an acknowledgement.
_MAX_WAIT = timedelta(milliseconds=800)
MAX_WAITING = 2  # requests at the same time; a target sends one after the other
_MILLISECOND = timedelta(milliseconds=1)


class TargetAcknowledger:
    """Applies the target's requests, and says whether they may be acknowledged."""

    def __init__(
        self, registration: Registration, publisher: RecordPublisher, clock: Clock
    ) -> None:
        self._registration = registration
        self._publisher = publisher
        self._clock = clock
        self._waiting = threading.BoundedSemaphore(MAX_WAITING)

    def handle_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Apply a heartbeat; return whether it may be acknowledged."""
        with self._limit_wait() as until:
            result = self._registration.handle_heartbeat(heartbeat)
            incarnation = heartbeat.incarnation
            if not result.accepted:
                eliot.log_message(
                    "target:heartbeat_ignored",
                    instance=incarnation.instance,
                    reason=result.detail,
                )
            if not heartbeat.draining or result.is_foreign:
                return True
            return self._wait_until_stored(incarnation, "draining", until)

    def handle_deregistration(self, instance: str) -> bool:
        """Apply a deregistration; return whether it may be acknowledged."""
        with self._limit_wait() as until:
            # The record of an earlier process says which incarnation it is.
            self._registration.wait_until_restored(self._compute_wait(until))
            incarnation = self._registration.handle_deregistration(instance)
            known = incarnation is not None
            eliot.log_message("target:ended", instance=instance, known=known)
            return known and self._wait_until_stored(incarnation, "ended", until)

    @contextmanager
    def _limit_wait(self) -> Iterator[timedelta]:
        """Yield until when a request may wait: not at all if others do."""
        may_wait = self._waiting.acquire(blocking=False)
        try:
            yield self._clock.monotonic() + (_MAX_WAIT if may_wait else timedelta())
        finally:
            if may_wait:
                self._waiting.release()

    def _compute_wait(self, until: timedelta) -> timedelta:
        return max(until - self._clock.monotonic(), timedelta())

    def _wait_until_stored(
        self, incarnation: Incarnation, announcement: str, until: timedelta
    ) -> bool:
        started = self._clock.monotonic()
        stored = self._publisher.wait_until_stored(
            lambda record: records_shutdown(record, incarnation),
            self._compute_wait(until),
        )
        eliot.log_message(
            "target:leaving_acknowledged" if stored else "target:leaving_not_stored",
            node=self._publisher.make_record().node,
            instance=incarnation.instance,
            born=incarnation.started_ms,
            announcement=announcement,
            stored_by=stored.session if stored else None,
            waited_ms=(self._clock.monotonic() - started) / _MILLISECOND,
        )
        return stored is not None


def records_shutdown(record: NodeRecord, incarnation: Incarnation) -> bool:
    """Return whether a record says that an incarnation is leaving or has ended.

    The record of a later start says so, as it has the address of the one before.
    """
    recorded = record.incarnation
    if recorded is None or recorded == incarnation:
        return recorded is not None and record.leaving
    return recorded > incarnation
