"""The counters and histograms of a mesh node, by prometheus_client."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

if TYPE_CHECKING:
    from .dispatch import Reply
    from .order import Delivery

__all__ = ["Metrics"]

_SECONDS = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


class Metrics:
    """What a node counts; `registry` serves it as text."""

    def __init__(self) -> None:
        self.registry = registry = CollectorRegistry()
        self._replies = Counter(
            "cyclamenvane_replies",
            "Calls that began at this node, by service, status and reason",
            ["service", "status", "reason"],
            registry=registry,
        )
        self._seconds = Histogram(
            "cyclamenvane_reply_seconds",
            "Time from a whole request to its outcome",
            ["service"],
            buckets=_SECONDS,
            registry=registry,
        )
        self._deliveries = Counter(
            "cyclamenvane_deliveries",
            "Orders handed to a target's node, by verdict and reason",
            ["verdict", "reason"],
            registry=registry,
        )
        self._queue = Histogram(
            "cyclamenvane_queue_seconds",
            "Time that orders waited for the target beside this node",
            buckets=_SECONDS,
            registry=registry,
        )
        self._unread = Counter(
            "cyclamenvane_unread_requests",
            "Requests refused before they were whole, by status",
            ["status"],
            registry=registry,
        )
        self._store = Counter(
            "cyclamenvane_store_contacts",
            "Calls to the platform's store, by outcome",
            ["outcome"],
            registry=registry,
        )
        self._gauges = Gauge(
            "cyclamenvane_state",
            "The node's state: see the reference of metrics",
            ["name"],
            registry=registry,
        )
        # Looking a labelled child up costs more than counting with it.
        self._children: dict[tuple, Counter] = {}
        self._timers: dict[str, Histogram] = {}

    def note_reply(self, reply: Reply, took: timedelta) -> None:
        """Count the outcome of a call."""
        key = ("reply", reply.service, reply.status, reply.reason)
        child = self._children.get(key)
        if child is None:
            child = self._replies.labels(
                reply.service, reply.status, reply.reason.name.lower()
            )
            self._children[key] = child
        child.inc()
        timer = self._timers.get(reply.service)
        if timer is None:
            timer = self._timers[reply.service] = self._seconds.labels(reply.service)
        timer.observe(took.total_seconds())

    def note_delivery(self, delivery: Delivery) -> None:
        """Count the outcome of an order."""
        key = ("delivery", delivery.verdict, delivery.reason)
        child = self._children.get(key)
        if child is None:
            child = self._deliveries.labels(
                delivery.verdict.name.lower(), delivery.reason.name.lower()
            )
            self._children[key] = child
        child.inc()

    def note_queue(self, waited: timedelta) -> None:
        """Note how long an order waited."""
        if waited:
            self._queue.observe(waited.total_seconds())

    def note_unread(self, status: int) -> None:
        """Count a request that was refused before it was whole."""
        self._unread.labels(int(status)).inc()

    def note_store(self, reached: bool) -> None:
        """Count a call to the store."""
        self._store.labels("answered" if reached else "failed").inc()

    def set_state(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges.labels(name).set(value)
