"""The Prometheus metrics of a mesh node."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

if TYPE_CHECKING:
    from .call import CallResult
    from .forward import ForwardResult

__all__ = ["Metrics"]

_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


class Metrics:
    """The metrics of one node; `registry` holds them for the metrics endpoint."""

    def __init__(self) -> None:
        self.registry = registry = CollectorRegistry()
        self._calls = Counter(
            "cyclamenvane_replies",
            "Calls that began at this node, by service, status and reason",
            ["service", "status", "reason"],
            registry=registry,
        )
        self._call_seconds = Histogram(
            "cyclamenvane_reply_seconds",
            "Time from a whole request to its outcome",
            ["service"],
            buckets=_BUCKETS_S,
            registry=registry,
        )
        self._forwards = Counter(
            "cyclamenvane_deliveries",
            "Orders handed to a target's node, by verdict and reason",
            ["verdict", "reason"],
            registry=registry,
        )
        self._queue_seconds = Histogram(
            "cyclamenvane_queue_seconds",
            "Time that orders waited for the target beside this node",
            buckets=_BUCKETS_S,
            registry=registry,
        )
        self._rejected_requests = Counter(
            "cyclamenvane_unread_requests",
            "Requests refused before they were whole, by status",
            ["status"],
            registry=registry,
        )
        self._unanswered_requests = Counter(
            "cyclamenvane_unanswered_requests",
            "Requests whose connection ended without their response, by cause",
            ["cause"],
            registry=registry,
        )
        self._evictions = Counter(
            "cyclamenvane_evictions",
            "Messages and connections ended to free memory or descriptors, by cause",
            ["cause"],
            registry=registry,
        )
        self._store_calls = Counter(
            "cyclamenvane_store_contacts",
            "Calls to the platform's store, by kind and outcome",
            ["kind", "outcome"],
            registry=registry,
        )
        self._invalid_configurations = Counter(
            "cyclamenvane_invalid_configurations",
            "Versions of the configuration that could not be put in force",
            registry=registry,
        )
        self._shed_roots = Counter(
            "cyclamenvane_shed_roots",
            "Root calls refused for the retries their call tree needs, by service",
            ["service"],
            registry=registry,
        )
        self._gauges = Gauge(
            "cyclamenvane_state",
            "The node's state: see the reference of metrics",
            ["name"],
            registry=registry,
        )
        # Cached, as looking up a metric by its labels costs more than updating it.
        self._counters: dict[tuple, Counter] = {}
        self._call_histograms: dict[str, Histogram] = {}

    def record_call(self, result: CallResult, duration: timedelta) -> None:
        """Count the outcome of a call, and record its duration."""
        key = ("call", result.service, result.status, result.reason)
        counter = self._counters.get(key)
        if counter is None:
            counter = self._calls.labels(
                result.service, result.status, result.reason.name.lower()
            )
            self._counters[key] = counter
        counter.inc()
        histogram = self._call_histograms.get(result.service)
        if histogram is None:
            histogram = self._call_histograms[result.service] = (
                self._call_seconds.labels(result.service)
            )
        histogram.observe(duration.total_seconds())

    def record_forward(self, result: ForwardResult) -> None:
        """Count the outcome of a forwarded request."""
        key = ("forward", result.verdict, result.reason)
        counter = self._counters.get(key)
        if counter is None:
            counter = self._forwards.labels(
                result.verdict.name.lower(), result.reason.name.lower()
            )
            self._counters[key] = counter
        counter.inc()

    def record_queue_time(self, waited: timedelta) -> None:
        """Record how long a forwarded request was queued, if it was."""
        if waited:
            self._queue_seconds.observe(waited.total_seconds())

    def record_rejected_request(self, status: int) -> None:
        """Count a request that was refused before it was read completely."""
        self._rejected_requests.labels(int(status)).inc()

    def record_eviction(self, cause: str) -> None:
        """Count what was ended since memory or descriptors ran short."""
        self._evictions.labels(cause).inc()

    def record_unanswered_requests(self, cause: str, requests: int) -> None:
        """Count requests whose connection ended before their response was sent."""
        self._unanswered_requests.labels(cause).inc(requests)

    def record_store_call(self, kind: str, reached: bool) -> None:
        """Count a call to the store by its kind and outcome."""
        self._store_calls.labels(kind, "answered" if reached else "failed").inc()

    def record_invalid_configuration(self) -> None:
        """Count a version of the configuration that could not be decoded."""
        self._invalid_configurations.inc()

    def record_shed(self, service: str) -> None:
        """Count a root call that was refused for the retries needed at a service."""
        self._shed_roots.labels(service).inc()

    def set_gauge(self, name: str, value: float) -> None:
        """Set the gauge with the given name label."""
        self._gauges.labels(name).set(value)
