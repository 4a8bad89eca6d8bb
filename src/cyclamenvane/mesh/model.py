"""The data types of a mesh node: frozen, without behaviour.

An adapter decodes a platform's messages into these types, so the rest of the
package does not depend on platform-specific names. Durations are `timedelta`;
points in time are readings of `Clock.monotonic`, valid only in this process.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TypeAlias

from ..accounts.model import Account

__all__ = [
    "MAX_PORT",
    "MAX_SLOTS",
    "MAX_TIME_MS",
    "Address",
    "CallerLimits",
    "Configuration",
    "Heartbeat",
    "Incarnation",
    "MeshSettings",
    "NodeRecord",
    "Route",
    "RouteShare",
    "ServicePolicy",
]

Address: TypeAlias = tuple[str, int]

MAX_PORT = 65535
MAX_SLOTS = 2**31 - 1  # of one target
MAX_TIME_MS = 2**53  # a Unix time in milliseconds


@dataclass(frozen=True, slots=True)
class RouteShare:
    """The share of a route's calls that goes to one service."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How calls to one host and path prefix are handled.

    `idempotent` is whether a call may run more than once. `timeout` is the
    longest time that a caller waits, `target_latency` the time in
    which a response should arrive. `priority` 0 is the most important. `max_targets`
    is the largest number of targets that one call may be sent to. Calls of a route
    without `shares` are refused. A route that is not `public` asks for the key of a
    client account, if the configuration has accounts.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout: timedelta
    target_latency: timedelta
    priority: int
    shares: tuple[RouteShare, ...]
    max_targets: int
    public: bool = False


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """The configuration of one service."""

    name: str
    max_connections: int
    health_path: str


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and time of a caller's requests, and on its idle time."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout: timedelta = timedelta(seconds=5)
    idle_timeout: timedelta = timedelta(seconds=30)


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted version of the configuration, with its encoded form.

    `problems` says, for each part that could not be decoded, what is done without it.
    `accounts` is None if the configuration has no accounts, so that no request needs a
    key. `keys` has the account of each key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServicePolicy]
    limits: CallerLimits
    encoded: bytes = field(default=b"", repr=False)
    problems: tuple[str, ...] = ()
    accounts: tuple[Account, ...] | None = None
    keys: Mapping[bytes, Account] = field(default_factory=dict, repr=False)


@dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """One start of a target; a later start compares greater.

    `started_ms` is the Unix time of the start by the target's clock, in milliseconds.
    """

    started_ms: int
    instance: str


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The status that a target reports.

    `sequence` increases with each heartbeat of one incarnation, so a late one is
    recognised. `warmup` is how much longer the target stays slow after its start.
    """

    incarnation: Incarnation
    service: str
    address: Address
    zone: str
    slots: int
    draining: bool
    sequence: int
    warmup: timedelta


@dataclass(frozen=True, slots=True)
class NodeRecord:
    """The published state of a node and its local target.

    `session` identifies the node's process by its start time, in Unix milliseconds. A
    record without `incarnation` offers no target. A record with `leaving` is used only
    if no other target is usable.
    """

    node: str
    session: int
    zone: str
    address: Address
    service: str
    slots: int
    leaving: bool
    incarnation: Incarnation | None


@dataclass(frozen=True, slots=True)
class MeshSettings:
    """The location, the addresses and the limits of a node.

    `grace_period` is the time in which the process exits after a request to stop.
    `store_recovery_time` is the time after a disruption of the store or of the links in
    which the node has to follow the store again. `drain_timeout` is the time in which a
    target that has announced its shutdown may still get calls. `retry_budget_ratio` and
    `retry_budget_slack` limit the retries of all nodes to one service within
    `retry_budget_window`: at most the ratio times its calls, plus the slack.
    `first_start` is whether the whole fleet starts for the first time, so that no
    node's record is stored yet. With `strict_revocation`, a key is accepted only if the
    configuration in force was confirmed within `revocation_time`. Within any
    `quota_window`, all nodes together may let in the calls that an account's rate and
    burst allow, `quota_overshoot` times as many more, and `quota_tolerance` calls.
    `message_memory_share` is the share of the memory for requests and responses.
    """

    node: str
    zone: str
    zones: tuple[str, ...]
    service: str
    caller_listener: Address
    readiness_listener: Address
    admin_listener: Address
    peer_listener: Address
    target: Address
    store: Address
    memory_bytes: int
    max_open_files: int
    grace_period: timedelta
    store_recovery_time: timedelta
    drain_timeout: timedelta
    retry_budget_ratio: float
    retry_budget_slack: float
    retry_budget_window: timedelta
    first_start: bool = False
    strict_revocation: bool = False
    revocation_time: timedelta = timedelta(seconds=5)
    quota_window: timedelta = timedelta(seconds=5)
    quota_overshoot: float = 0.0
    quota_tolerance: float = 0.0
    message_memory_share: float = 1 / 3
