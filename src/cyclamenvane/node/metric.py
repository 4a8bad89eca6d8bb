"""Prometheus metrics of a node, in a separate registry."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from .status import count_standings

if TYPE_CHECKING:
    from ..calls import Request, Response
    from .node import Node

__all__ = ["CallMetrics", "refresh_gauges"]

_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)


class CallMetrics:
    """Metrics of calls received from callers, by service, outcome and reason."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._calls = Counter(
            "cyclamenvane_calls",
            "Calls that entered at this node",
            ("service", "importance", "outcome", "reason"),
            registry=self.registry,
        )
        self._seconds = Histogram(
            "cyclamenvane_call_seconds",
            "Time from a call's entry to its answer",
            ("service",),
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.gauges = {
            name: Gauge(f"cyclamenvane_{name}", text, labels, registry=self.registry)
            for name, text, labels in (
                ("members", "Nodes known", ("zone", "standing")),
                ("peer_streams", "Open streams to other nodes", ()),
                ("answers_dropped", "Answers nobody waited for", ()),
                ("gossip_bytes", "Gossip bytes sent", ()),
                ("target_in_flight", "Calls at a target", ("service",)),
                ("target_waiting", "Calls waiting for a target", ("service",)),
                ("target_limit", "Concurrency limit of a target", ("service",)),
                ("target_level", "Admission level of a target", ("service",)),
                ("section_version", "Version of a section in force", ("team",)),
            )
        }
        self._children: dict[tuple, tuple] = {}

    def count(
        self, service: str, request: Request, response: Response, elapsed: timedelta
    ) -> None:
        """Record a call to a service and its duration."""
        key = (
            service,
            request.context.importance,
            response.outcome,
            response.refusal,
        )
        children = self._children.get(key)
        if children is None:
            children = self._children[key] = self._make_children(*key)
        counter, histogram = children
        counter.inc()
        histogram.observe(elapsed.total_seconds())

    def _make_children(self, service, importance, outcome, refusal) -> tuple:
        labels = (
            service,
            importance.name.lower(),
            outcome.name.lower(),
            refusal.name.lower(),
        )
        return self._calls.labels(*labels), self._seconds.labels(service)


def refresh_gauges(node: Node) -> None:
    """Update the gauges of a node's metrics."""
    gauges = node.metrics.gauges
    for (zone, standing), count in count_standings(node.view.all()).items():
        gauges["members"].labels(zone, standing).set(count)
    gauges["peer_streams"].set(len(node.peers))
    gauges["answers_dropped"].set(node.peers.dropped)
    gauges["gossip_bytes"].set(node.gossip.sent_bytes)
    for section in node.sections.all():
        gauges["section_version"].labels(section.team).set(section.version)
    for target in node.targets.all():
        state = target.gate.state()
        service = target.record.service
        gauges["target_in_flight"].labels(service).set(state.in_flight)
        gauges["target_waiting"].labels(service).set(state.waiting)
        gauges["target_limit"].labels(service).set(state.limit)
        gauges["target_level"].labels(service).set(state.level)
