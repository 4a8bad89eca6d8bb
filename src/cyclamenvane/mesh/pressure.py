"""How much of the less important work to refuse where it begins.

A target deep in the call graph cannot tell which calls are worth its time: those
that reach it have cost work already. Its node therefore keeps one number, the
pressure: 0 when there is room, 1 when all work of the lowest priority should be
refused where it begins, 2 when that of the next one should be too. The number
rides on every answer; nodes on the way hand on the greatest that they know of.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["CalledServices", "Pressure", "PressureTable", "is_refused"]

_WINDOW = timedelta(milliseconds=200)  # a few round trips of a deep call
_WAIT_BOUND = timedelta(milliseconds=15)  # a standing queue, not a clump
_GAIN = 0.35  # pressure for a window in which nothing could be started
_LEAST_RISE = 0.02
_FALL = 0.03  # each window; an overload of one class is lifted within 7 s
_HIGHEST = 3.0
_VALID_FOR = timedelta(seconds=2)  # without news, after which it fades


class Pressure:
    """The pressure of one target, moved at the end of each window."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._value = 0.0
        self._began = clock.monotonic()
        self._arrived = 0
        self._started = 0
        self._refused = 0
        self._waited = timedelta()

    def value(self) -> float:
        """Return the pressure now."""
        self._advance()
        return self._value

    def note_arrival(self) -> None:
        """Count a call that asks for the target."""
        self._arrived += 1

    def note_start(self, waited: timedelta) -> None:
        """Count a call that was given to the target after a wait."""
        self._started += 1
        self._waited += waited

    def note_refusal(self) -> None:
        """Count a call that was refused or gave up waiting."""
        self._refused += 1

    def _advance(self) -> None:
        now = self._clock.monotonic()
        windows = (now - self._began) // _WINDOW
        if not windows:
            return
        mean_wait = self._waited / self._started if self._started else timedelta()
        if self._refused or mean_wait > _WAIT_BOUND:
            missing = 1 - self._started / max(self._arrived, 1)
            slow = min(1.0, mean_wait / (8 * _WAIT_BOUND))
            rise = max(_LEAST_RISE, _GAIN * max(missing, slow, 0.0))
            self._value = min(_HIGHEST, self._value + rise)
        else:
            self._value = max(0.0, self._value - _FALL * min(windows, 20))
        self._began = now
        self._arrived = self._started = self._refused = 0
        self._waited = timedelta()


class PressureTable:
    """The pressure last heard from each node, by service."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heard: dict[str, dict[str, tuple[float, timedelta]]] = {}

    def note(self, service: str, node: str, value: float) -> None:
        """Take what a node told with an answer."""
        nodes = self._heard.setdefault(service, {})
        nodes[node] = (value, self._clock.monotonic())

    def value(self, service: str) -> float:
        """Return the mean pressure of a service's nodes, 0 without news."""
        nodes = self._heard.get(service)
        if not nodes:
            return 0.0
        oldest = self._clock.monotonic() - _VALID_FOR
        fresh = [value for value, at in list(nodes.values()) if at >= oldest]
        return sum(fresh) / len(fresh) if fresh else 0.0


class CalledServices:
    """The services that the target beside this node calls for its own work."""

    def __init__(self, table: PressureTable, clock: Clock) -> None:
        self._table = table
        self._clock = clock
        self._called: dict[str, timedelta] = {}

    def note(self, service: str) -> None:
        """Note a call of the target."""
        self._called[service] = self._clock.monotonic()

    def pressure(self) -> float:
        """Return the greatest pressure of the services called of late."""
        oldest = self._clock.monotonic() - _VALID_FOR
        called = [name for name, at in list(self._called.items()) if at >= oldest]
        return max((self._table.value(name) for name in called), default=0.0)


def is_refused(pressure: float, priority: int, lowest: int, draw: float) -> bool:
    """Decide whether work of a priority is refused where it begins.

    `lowest` is the number of the least important priority, `draw` the call's
    share of luck in [0, 1): of one priority the same share is refused at every
    node.
    """
    return draw < pressure - (lowest - priority)
