"""The targets on this node's VM, as they announced themselves."""

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
    from ..policy import Rulebook

__all__ = ["LocalTarget", "LocalTargets"]

_WARM_UP = timedelta(seconds=10)


class LocalTarget:
    """One announced target: its record, its gate and its connections."""

    def __init__(self, record: TargetRecord, clock: Clock) -> None:
        self.record = record
        self.gate = Gate(record.slots, clock)
        self.pool = ConnectionPool(split_address(record.address), clock)
        self.announced_at = clock.monotonic()


class LocalTargets:
    """The targets of one VM, by service.

    `on_change` is called, outside the lock, with the records after a change.
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
        """Return the target that serves a service on this VM."""
        return self._targets.get(service)

    def all(self) -> tuple[LocalTarget, ...]:
        """Return every target on this VM."""
        return tuple(self._targets.values())

    def announce(self, record: TargetRecord) -> None:
        """Take in what a target says of itself."""
        with self._lock:
            held = self._targets.get(record.service)
            record = replace(record, leaving=record.leaving or self._leaving)
            if held is None or held.record.address != record.address:
                self._targets[record.service] = LocalTarget(record, self._clock)
            elif held.record == record:
                return
            else:
                held.record = record
                held.announced_at = self._clock.monotonic()
        self._tell()

    def withdraw(self, service: str) -> bool:
        """Forget a target that has left; say whether it was known."""
        with self._lock:
            target = self._targets.pop(service, None)
        if target is None:
            return False
        target.pool.close()
        self._tell()
        return True

    def leave(self) -> None:
        """Mark every target as leaving: this node is shutting down."""
        with self._lock:
            self._leaving = True
            for target in self._targets.values():
                target.record = replace(target.record, leaving=True)
        self._tell()

    def tune(self, rules: Rulebook) -> None:
        """Apply the rules in force to every gate, and end warm-ups in time."""
        warmed = False
        for target in self.all():
            record = target.record
            book = rules.find(record.service)
            manual = book.manual
            target.gate.tune(
                record.slots,
                book.objective,
                manual.limit,
                manual.refuse_below,
                manual.automatic,
            )
            if record.cold and self._clock.monotonic() - target.announced_at > _WARM_UP:
                target.record = replace(record, cold=False)
                warmed = True
        if warmed:
            self._tell()

    def _tell(self) -> None:
        self._on_change(tuple(target.record for target in self.all()))
