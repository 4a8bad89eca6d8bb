"""The share of the sends to each service that its targets reject.

The estimate forgets earlier samples within half a second of newer ones. Without new
samples it is kept for a while, since a service whose calls are nearly all shed is
sampled rarely, and then it falls to zero, so that calls are admitted again.
"""

from __future__ import annotations

import math
from datetime import timedelta

__all__ = ["RejectionShares"]

_MEMORY = timedelta(milliseconds=500)  # in which the weight of a sample falls to 1/e
_HOLD_TIME = timedelta(milliseconds=2500)  # without new samples
_FADE_TIME = timedelta(milliseconds=1500)  # from the share to zero after that
# A target that restarts rejects single calls, which is no reason to shed any.
_MIN_REJECTIONS = 3.0
_MIN_SENDS = 4.0
_MAX_SHARE = 0.95


class _Sample:
    def __init__(self, now: timedelta) -> None:
        self.sends = 0.0
        self.rejections = 0.0
        self.updated_at = now
        self.began_at: timedelta | None = None  # once there are enough rejections


class RejectionShares:
    """The rejection share of each service with recent rejections."""

    def __init__(self) -> None:
        self._samples: dict[str, _Sample] = {}

    def add(self, service: str, accepted: int, rejected: int, now: timedelta) -> None:
        """Add the sends of one or more calls to a service."""
        sample = self._samples.get(service)
        if sample is None:
            if not rejected:
                return
            sample = self._samples[service] = _Sample(now)
        decay = math.exp(-max(0.0, (now - sample.updated_at) / _MEMORY))
        sample.sends = sample.sends * decay + accepted + rejected
        sample.rejections = sample.rejections * decay + rejected
        sample.updated_at = now
        if sample.rejections >= _MIN_REJECTIONS:
            if sample.began_at is None:
                sample.began_at = now
        elif sample.rejections < 1 and sample.sends >= _MIN_SENDS:
            del self._samples[service]

    def has_any(self) -> bool:
        """Return whether any service has rejected sends recently."""
        return bool(self._samples)

    def services(self) -> list[str]:
        """Return the services with an estimate."""
        return list(self._samples)

    def share(self, service: str, now: timedelta) -> float:
        """Return the share of sends that are rejected, 0 if few or old ones were."""
        sample = self._samples.get(service)
        if sample is None:
            return 0.0
        silence = now - sample.updated_at - _HOLD_TIME
        if silence >= _FADE_TIME:
            self._samples.pop(service, None)
            return 0.0
        if sample.began_at is None:
            return 0.0
        share = min(_MAX_SHARE, sample.rejections / max(_MIN_SENDS, sample.sends))
        if silence > timedelta():
            share *= 1 - silence / _FADE_TIME
        return share

    def last_sample(self, service: str) -> timedelta:
        """Return when the last sample of a service with an estimate was added."""
        sample = self._samples.get(service)
        return timedelta() if sample is None else sample.updated_at

    def age(self, service: str, now: timedelta) -> timedelta:
        """Return for how long a service has rejected sends."""
        sample = self._samples.get(service)
        if sample is None or sample.began_at is None:
            return timedelta()
        return now - sample.began_at
