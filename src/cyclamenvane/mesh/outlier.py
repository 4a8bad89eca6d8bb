"""Ejection of targets that fail far more calls than the others of their service.

Answers targets whose heartbeats are good while they answer calls with errors, break
them off or stay silent. Such a target is often idle, so that selection by load would
prefer it. It gets no calls for a while, and then those up to the first failure, which
shows that it has not recovered.

A failure may be that of a nested call. So a target is compared with its service: where
all targets fail alike, none is ejected.
"""

from __future__ import annotations

import threading
from datetime import timedelta
from statistics import median_low
from typing import TYPE_CHECKING

import eliot

from .forward import ForwardResult, Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from .directory import Peer

__all__ = ["ServiceFailures", "TargetFailures", "has_failed", "record_outcome"]

_TARGET_SMOOTHING = 1 / 8  # weight of one call in the share of its target
_SERVICE_SMOOTHING = 1 / 64
_MIN_CALLS = 4  # before a target may be ejected
_MIN_SHARE = 0.4
_SERVICE_FACTOR = 2.0  # of the share of the service, that of an outlier is above it
_MIN_EXCESS = 0.2
_MAX_EJECTED_SHARE = 0.5  # of the targets of a service
_EJECTION_TIME = timedelta(seconds=1)  # doubled with each ejection
_MAX_EJECTION_TIME = timedelta(seconds=8)
# After this time without a call, a share is learned anew. It is far longer than an
# ejection, and than the time between two calls of a node that sends few.
_SHARE_TTL = timedelta(seconds=60)
_RECOVERED_SHARE = 0.2  # below which the next ejection is a first one again
_FAILURES = (Reason.BROKEN, Reason.CRASHED, Reason.QUARANTINED, Reason.TIMED_OUT)


class TargetFailures:
    """The share of calls that one target has failed, as seen by one sending node."""

    def __init__(self) -> None:
        self.share = 0.0
        self.calls = 0
        self.ejected_until = timedelta()
        self._ejection_time = _EJECTION_TIME
        self._expires_at = timedelta()

    def reset(self) -> None:
        """Forget all calls, as for a target that has been replaced."""
        self.share, self.calls = 0.0, 0
        self.ejected_until = timedelta()
        self._ejection_time = _EJECTION_TIME

    def is_known(self, now: timedelta) -> bool:
        """Return whether the share is that of recent calls."""
        return self.calls > 0 and now < self._expires_at

    def add(self, failed: bool, now: timedelta) -> None:
        """Add a call."""
        if now >= self._expires_at:
            self.reset()
        self._expires_at = now + _SHARE_TTL
        self.calls += 1
        self.share += (failed - self.share) * max(1 / self.calls, _TARGET_SMOOTHING)
        if self.share < _RECOVERED_SHARE:
            self._ejection_time = _EJECTION_TIME

    def eject(self, now: timedelta) -> None:
        """Let the target get no calls, for longer than the last time."""
        self.ejected_until = now + self._ejection_time
        self._ejection_time = min(self._ejection_time * 2, _MAX_EJECTION_TIME)


class ServiceFailures:
    """The share of calls that the targets of a service fail, without outliers.

    Its lock also covers the failures of the targets.
    """

    def __init__(self) -> None:
        self.share = 0.0
        self.lock = threading.Lock()
        self._calls = 0
        self._expires_at = timedelta()

    def add(self, target: TargetFailures, failed: bool, now: timedelta) -> bool:
        """Add a call; return whether its target is an outlier."""
        target.add(failed, now)
        if target.share > _outlier_limit(self.share) and target.calls >= _MIN_CALLS:
            return failed
        if now >= self._expires_at:
            self._calls = 0
        self._expires_at = now + _SHARE_TTL
        self._calls += 1
        weight = max(1 / self._calls, _SERVICE_SMOOTHING)
        self.share += (failed - self.share) * weight
        return False


def has_failed(result: ForwardResult) -> bool:
    """Return whether a target has failed the call that it got."""
    if result.verdict is Verdict.ANSWERED:
        return result.status >= 500
    return result.verdict is Verdict.UNKNOWN and result.reason in _FAILURES


def _exceeds(
    target: TargetFailures, others: Sequence[TargetFailures], now: timedelta
) -> bool:
    """Return whether a target fails more than at least half of some others do.

    The share of the service is slower than that of a target, so that it does not show
    at once that all targets have begun to fail.
    """
    shares = [each.share for each in others if each.is_known(now)]
    return not shares or target.share > _outlier_limit(median_low(shares))


def _outlier_limit(share: float) -> float:
    return max(_MIN_SHARE, share * _SERVICE_FACTOR + _MIN_EXCESS)


def record_outcome(
    service: ServiceFailures,
    list_peers: Callable[[], Sequence[Peer]],
    peer: Peer,
    result: ForwardResult,
    now: timedelta,
) -> None:
    """Add the result of a call; `list_peers` returns all of the service."""
    if result.verdict is Verdict.NOT_RUN or result.reason is Reason.CALLER_GONE:
        return
    with service.lock:
        if not service.add(peer.failures, has_failed(result), now):
            return
        if now < peer.failures.ejected_until:
            return  # the call was sent before the ejection
        peers = list_peers()
        others = [each.failures for each in peers if each is not peer]
        in_use = [each for each in others if each.ejected_until <= now]
        if len(others) - len(in_use) + 1 > len(peers) * _MAX_EJECTED_SHARE:
            return
        if not _exceeds(peer.failures, in_use, now):
            return
        peer.failures.eject(now)
    eliot.log_message(
        "target:ejected",
        service=peer.record.service,
        node=peer.record.node,
        failed_share=round(peer.failures.share, 2),
        seconds=(peer.failures.ejected_until - now).total_seconds(),
    )
