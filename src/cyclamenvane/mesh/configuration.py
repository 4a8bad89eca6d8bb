"""The configuration in force on this node; its version never decreases."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import eliot

from ..accounts.tier import Tiers, make_tiers
from .model import CallerLimits, Route

if TYPE_CHECKING:
    from ..accounts import Account
    from .metric import Metrics
    from .model import Configuration

__all__ = [
    "CurrentConfiguration",
    "RouteTable",
    "make_route_table",
    "report_configuration",
]

_MAX_LOGGED_PROBLEMS = 20  # of one version


@dataclass(frozen=True, slots=True)
class RouteTable:
    """A configuration, indexed for looking up routes and accounts.

    `tiers` is None if the configuration has no accounts.
    """

    configuration: Configuration
    limits: CallerLimits
    tiers: Tiers | None
    _by_prefix: dict[tuple[bytes, bytes], Route]

    def find_account(self, key: bytes) -> Account | None:
        """Return the account that a key belongs to."""
        return self.configuration.keys.get(key)

    def find_route(self, host: bytes, path: bytes) -> Route | None:
        """Return the host's route with the longest prefix that matches the path."""
        name = host.partition(b":")[0].lower()
        end = len(path)
        # Prefixes end with a slash, so a prefix can end only at a slash of the path.
        while (end := path.rfind(b"/", 0, end)) >= 0:
            route = self._by_prefix.get((name, path[: end + 1]))
            if route is not None:
                return route
        return None


class CurrentConfiguration:
    """Holds the newest configuration that this process has received."""

    def __init__(self, on_change: Callable[[Configuration, str], None]) -> None:
        self._table: RouteTable | None = None
        self._on_change = on_change
        self._lock = threading.Lock()

    def current(self) -> RouteTable | None:
        """Return the routes in force, or None before the first configuration."""
        return self._table

    def version(self) -> int:
        """Return the version in force, 0 before the first configuration."""
        table = self._table
        return table.configuration.version if table else 0

    def apply(self, configuration: Configuration, source: str) -> bool:
        """Put a configuration in force; return False if its version is not newer.

        `source` says for the log where the configuration was received from.
        """
        table = make_route_table(configuration)
        with self._lock:
            known = self._table
            newer = configuration.version > self.version()
            if newer:
                self._table = table
        if newer:
            self._on_change(configuration, source)
        elif known is not None:
            _report_ignored(configuration, known.configuration, source)
        return newer


def make_route_table(configuration: Configuration) -> RouteTable:
    """Return the index of a configuration.

    Of routes with the same host and prefix, the last one is found.
    """
    accounts = configuration.accounts
    return RouteTable(
        configuration,
        configuration.limits,
        None if accounts is None else make_tiers(accounts),
        {
            (route.host.encode(), route.prefix.encode()): route
            for route in configuration.routes
        },
    )


def _report_ignored(
    configuration: Configuration, in_force: Configuration, source: str
) -> None:
    if configuration.encoded == in_force.encoded:
        return  # received again
    eliot.log_message(
        "configuration:ignored",
        version=configuration.version,
        in_force=in_force.version,
        source=source,
    )


def report_configuration(
    metrics: Metrics, configuration: Configuration, source: str
) -> None:
    """Log a version that has come into force, and its problems."""
    version, problems = configuration.version, configuration.problems
    eliot.log_message(
        "configuration:in_force",
        version=version,
        source=source,
        routes=len(configuration.routes),
        accounts=len(configuration.accounts or ()),
        problems=len(problems),
    )
    for problem in problems[:_MAX_LOGGED_PROBLEMS]:
        eliot.log_message("configuration:problem", version=version, problem=problem)
    metrics.set_gauge("configuration_problems", len(problems))
