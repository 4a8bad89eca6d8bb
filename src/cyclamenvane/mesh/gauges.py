"""The state of a node as gauges."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from .quarantine import Standing

if TYPE_CHECKING:
    from ..accounts.confirmation import Confirmation
    from ..shedding import LoadShedder
    from .acceptor import Acceptor
    from .configuration import CurrentConfiguration
    from .directory import PeerDirectory
    from .gate import Gate
    from .idle_poller import IdlePoller
    from .memory import MemoryBudget
    from .target_proxy import TargetProxy

__all__ = ["measure_node"]


def measure_node(
    gate: Gate,
    target_proxy: TargetProxy,
    configuration: CurrentConfiguration,
    confirmation: Confirmation,
    directory: PeerDirectory,
    idle_poller: IdlePoller,
    acceptors: Mapping[str, Acceptor],
    shedder: LoadShedder,
    memory: MemoryBudget,
) -> dict[str, float]:
    """Return the values of the gauges by name; `acceptors` are named by their peers."""
    load = gate.load()
    quarantine = target_proxy.quarantine
    speeds, now_s = directory.speeds, directory.now_s()
    gauges = {
        "in_flight": load.in_flight,
        "waiting": load.waiting,
        "limit": load.limit,
        "level": gate.level(),
        "queue_wait_s": gate.queue_wait().total_seconds(),
        "self_time_s": target_proxy.self_times.mean_s,
        "uneven_services": speeds.count_different(now_s),
        "placed_by_completion": speeds.count_placed_by_completion(),
        "rate_limit": target_proxy.rate_limit.rate(),
        "suspect_requests": quarantine.count(Standing.SUSPECT),
        "quarantined_requests": quarantine.count(Standing.QUARANTINED),
        "configuration_version": configuration.version(),
        **_measure_accounts(configuration, confirmation),
        "parked_connections": idle_poller.count(),
        "message_bytes": memory.reserved(),
        "message_bytes_limit": memory.limit(),
        "nodes_known": len(directory.peers()) + 1,
    }
    for name, acceptor in acceptors.items():
        gauges[f"{name}_connections"] = acceptor.count()
        gauges[f"{name}_connections_turned_away"] = acceptor.rejected
    return gauges | shedder.measure()


def _measure_accounts(
    configuration: CurrentConfiguration, confirmation: Confirmation
) -> dict[str, float]:
    table = configuration.current()
    if table is None or table.configuration.accounts is None:
        return {}
    gauges: dict[str, float] = {
        "accounts": len(table.configuration.accounts),
        "account_keys": len(table.configuration.keys),
    }
    if confirmation.is_strict():
        age = confirmation.age()
        gauges["confirmation_age_s"] = -1 if age is None else age.total_seconds()
    return gauges
