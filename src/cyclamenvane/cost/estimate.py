"""The load of a target and the expected completion of a call there.

Reports of a target's load are rare and soon out of date, as each sending node sees only
the results of its own calls. The estimate goes back from the last report to the mean
of the recent ones within a second, and from that to the usual load of the service.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Completion", "TargetLoad", "estimate_completion"]

_REPORT_TTL_S = 1.0
_MEAN_TIME_CONSTANT_S = 1.0
_MEAN_HOLD_S = 2.0  # for which the mean of the reports holds without new ones
_MEAN_TTL_S = 5.0
# Expected wait at a target by its estimated load, in durations of a call. The estimate
# is uncertain, so the wait rises long before all slots are taken.
_WAIT_EXPONENT = 6
_WAIT_FACTOR = 0.25
_STEEPEST_LOAD = 0.9  # from which the wait rises evenly with the load
_STEEPEST_SLOPE = _WAIT_FACTOR / (1 - _STEEPEST_LOAD) ** 2


class TargetLoad:
    """The load of one target, as reported to one sending node."""

    def __init__(self) -> None:
        self.reported = False
        self.reported_at_s = 0.0
        self._in_flight = 0.0
        self._mean_in_flight = 0.0
        self._limit = 0
        self._queue_wait_s = 0.0

    def update(
        self, in_flight: int, limit: int, queue_wait_s: float, now_s: float
    ) -> None:
        """Add a report."""
        # Results are added by many threads, not in the order of their arrival.
        elapsed_s = now_s - self.reported_at_s
        if elapsed_s < 0.0:
            elapsed_s = 0.0
        if not self.reported or elapsed_s > _MEAN_TTL_S:
            self._mean_in_flight = float(in_flight)
        weight = elapsed_s / (elapsed_s + _MEAN_TIME_CONSTANT_S)
        self._mean_in_flight += (in_flight - self._mean_in_flight) * weight
        self._in_flight = float(in_flight)
        self._limit = limit
        self._queue_wait_s = queue_wait_s
        self.reported_at_s += elapsed_s
        self.reported = True

    def utilization(
        self, own: int, sent_since: int, slots: int, usual: float, now_s: float
    ) -> float:
        """Return the estimated load with one more call, as a share of the limit.

        `own` is the number of this node's calls in flight there, `sent_since` of those
        that it has sent since the last report. `usual` is the load that is assumed
        without recent reports.
        """
        limit = self._limit or slots or 1
        age_s = now_s - self.reported_at_s
        in_flight = usual * limit
        if self.reported and age_s < _MEAN_TTL_S:
            mean = self._mean_in_flight
            if age_s > _MEAN_HOLD_S:
                share = (age_s - _MEAN_HOLD_S) / (_MEAN_TTL_S - _MEAN_HOLD_S)
                mean += (in_flight - mean) * share
            in_flight = mean
            if age_s < _REPORT_TTL_S:
                recent = self._in_flight + sent_since
                in_flight = recent + (mean - recent) * (age_s / _REPORT_TTL_S)
        return (max(in_flight, own) + 1.0) / limit

    def queue_wait_s(self, now_s: float) -> float:
        """Return the reported wait of a further call, less by the age of the report."""
        age_s = now_s - self.reported_at_s
        if not self._queue_wait_s or age_s >= _REPORT_TTL_S:
            return 0.0
        return self._queue_wait_s * (1.0 - age_s / _REPORT_TTL_S)


class Completion(NamedTuple):
    """When a target would complete a call: after `wait_s` and `service_s`."""

    wait_s: float
    service_s: float
    utilization: float


def estimate_completion(
    utilization: float, queue_wait_s: float, cost_s: float, hold_s: float
) -> Completion:
    """Return the expected wait and time of a call at a target.

    `cost_s` is the self time of the call there, `hold_s` the time for which calls hold
    a slot of it.
    """
    bounded = min(utilization, _STEEPEST_LOAD)
    share = _WAIT_FACTOR * bounded**_WAIT_EXPONENT / (1.0 - bounded)
    share += (utilization - bounded) * _STEEPEST_SLOPE
    return Completion(max(share * hold_s, queue_wait_s), cost_s, utilization)
