"""The local targets of a node: those announced on its VM."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from ..admission import Gate
from ..membership import TargetRecord
from ..settings import split_address
from .connection import ConnectionPool

if TYPE_CHECKING:
    from ..clock import Clock
    from ..policy import RuleSet

__all__ = ["LocalTarget", "LocalTargets"]

_WARM_UP = timedelta(seconds=10)


class LocalTarget:
    """An announced target: its record, admission gate and connection pool."""

    def __init__(self, record: TargetRecord, clock: Clock) -> None:
        self.record = record
        self.gate = Gate(record.slots, clock)
        self.pool = ConnectionPool(split_address(record.address), clock)
        self.announced_at = clock.monotonic()


class LocalTargets:
    """The targets of one VM, by service.

    `on_change` is called with all records after each change, outside the lock.
    """

    def __init__(
        self, clock: Clock, on_change: Callable[[tuple[TargetRecord, ...]], None]
    ) -> None:
        self._clock = clock
        self._on_change = on_change
        self._targets: dict[str, LocalTarget] = {}
        self._leaving = False
        self._lock = threading.Lock()

    def find(self, service: str) -> LocalTarget | None:
        """Return the target of a service on this VM, or None."""
        return self._targets.get(service)

    def all(self) -> tuple[LocalTarget, ...]:
        """Return every target on this VM."""
        return tuple(self._targets.values())

    def announce(self, record: TargetRecord) -> None:
        """Add a target, or update its record."""
        with self._lock:
            current = self._targets.get(record.service)
            record = replace(record, leaving=record.leaving or self._leaving)
            if current is None or current.record.address != record.address:
                self._targets[record.service] = LocalTarget(record, self._clock)
            elif current.record == record:
                return
            else:
                current.record = record
                current.announced_at = self._clock.monotonic()
        self._notify()

    def withdraw(self, service: str) -> bool:
        """Remove a target; return whether it was registered."""
        with self._lock:
            target = self._targets.pop(service, None)
        if target is None:
            return False
        target.pool.close()
        self._notify()
        return True

    def mark_leaving(self) -> None:
        """Mark every target, announced now or later, as leaving on node shutdown."""
        with self._lock:
            self._leaving = True
            for target in self._targets.values():
                target.record = replace(target.record, leaving=True)
        self._notify()

    def apply_rules(self, rule_set: RuleSet) -> None:
        """Apply the rules in force to every gate, and end expired warm-ups."""
        warmed = False
        for target in self.all():
            record = target.record
            rules = rule_set.find(record.service)
            manual = rules.manual
            target.gate.configure(
                record.slots,
                rules.objective,
                manual.limit,
                manual.refuse_below,
                manual.automatic,
            )
            if record.cold and self._clock.monotonic() - target.announced_at > _WARM_UP:
                target.record = replace(record, cold=False)
                warmed = True
        if warmed:
            self._notify()

    def _notify(self) -> None:
        self._on_change(tuple(target.record for target in self.all()))
