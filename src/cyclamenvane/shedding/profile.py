"""The mean number of calls that a call of each route makes at each service.

A call tree that fails ends before it has made all of its calls. Only trees that were
answered without an error count, or failed ones as long as there is no other sample.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..mesh.forward import ServiceUsage

__all__ = ["MAX_ROUTES", "RouteKey", "RouteProfiles"]

RouteKey = tuple[str, str]  # the name of the route, and the service that was selected

_MIN_WEIGHT = 0.1  # of a new sample against the earlier ones
_NEGLIGIBLE_CALLS = 0.001
MAX_ROUTES = 1000  # routes that are removed from the configuration are kept


class _Profile:
    def __init__(self) -> None:
        self.means: dict[str, float] = {}
        self.samples = 0
        self.complete = False


class RouteProfiles:
    """The profile of each route and service: mean nested calls by service."""

    def __init__(self) -> None:
        self._profiles: dict[RouteKey, _Profile] = {}

    def update(
        self, key: RouteKey, usage: Collection[ServiceUsage], complete: bool
    ) -> None:
        """Add what the nested calls of one call used.

        `complete` is whether the call was answered without an error.
        """
        profile = self._profiles.get(key)
        if profile is None:
            if len(self._profiles) >= MAX_ROUTES:
                self._profiles = {}
            profile = self._profiles[key] = _Profile()
        if complete and not profile.complete:
            profile.means, profile.samples, profile.complete = {}, 0, True
        elif profile.complete and not complete:
            return
        profile.samples += 1
        if not usage and not profile.means:
            return
        weight = max(_MIN_WEIGHT, 1 / profile.samples)
        means = {
            service: mean * (1 - weight) for service, mean in profile.means.items()
        }
        for each in usage:
            means[each.service] = means.get(each.service, 0.0) + each.calls * weight
        # Replaced as a whole, since other threads iterate over it.
        profile.means = {
            service: mean for service, mean in means.items() if mean > _NEGLIGIBLE_CALLS
        }

    def find(self, key: RouteKey) -> Mapping[str, float] | None:
        """Return the mean nested calls by service, or None without any sample."""
        profile = self._profiles.get(key)
        return None if profile is None else profile.means

    def keys(self) -> list[RouteKey]:
        """Return the keys with a profile."""
        return list(self._profiles)
