"""Metrics with fixed names, rendered in Prometheus' text format."""

import math
from enum import Enum, unique
from threading import Lock
from typing import Any, NamedTuple

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from aioprometheus.collectors import Collector

__all__ = ['Meter', 'Metric']

_BUCKET_BOUNDS_SECONDS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2.5,
    10,
    math.inf,
)
# Characters that the text format escapes in the values of labels.
_LABEL_ESCAPES = str.maketrans({'\\': r'\\', '"': r'\"', '\n': r'\n'})


class _MetricSpecification(NamedTuple):
    collector: type[Collector]
    name: str
    help_text: str


@unique
class Metric(Enum):
    """All metrics; the exported names say the unit."""

    REQUESTS = _MetricSpecification(
        Counter,
        'sesame_requests_total',
        'Requests of callers by service, kind and outcome.',
    )
    REQUEST_SECONDS = _MetricSpecification(
        Histogram,
        'sesame_request_seconds',
        'Seconds from a request to the end of its answer, by kind.',
    )
    TRIES = _MetricSpecification(
        Counter,
        'sesame_upstream_tries_total',
        'Tries at backend servers by service and outcome.',
    )
    RELAYS = _MetricSpecification(
        Counter,
        'sesame_relays_total',
        'Requests passed on to another VM.',
    )
    LOOKUPS = _MetricSpecification(
        Counter,
        'sesame_lookups_total',
        'Look-ups answered, by service.',
    )
    SLOTS_FREE = _MetricSpecification(
        Gauge,
        'sesame_slots_free',
        'Slots of backend servers that this VM may still use, by service.',
    )
    CONFIGURATION_VERSION = _MetricSpecification(
        Gauge,
        'sesame_configuration_version',
        'Version of the statement in force.',
    )
    CONFIGURATION_AGE = _MetricSpecification(
        Gauge,
        'sesame_configuration_age_seconds',
        'Seconds since this node got its configuration; -1 without one.',
    )
    REFUSALS = _MetricSpecification(
        Counter,
        'sesame_refusals_total',
        'Requests that the node itself has refused, by status and reason.',
    )
    TENANT_TRIES = _MetricSpecification(
        Counter,
        'sesame_tenant_tries_total',
        'Tries of the largest tenants and of all others, by result.',
    )
    TENANT_TOKENS = _MetricSpecification(
        Gauge,
        'sesame_tenant_tokens',
        'Requests that this node may still let through, by large tenant.',
    )
    PEERS = _MetricSpecification(
        Gauge,
        'sesame_peers_connected',
        'Entry VMs with a live peer stream.',
    )
    WAIT_SECONDS = _MetricSpecification(
        Histogram,
        'sesame_wait_seconds',
        'Seconds that a request spent on getting slots, by service.',
    )
    SLOTS_HELD = _MetricSpecification(
        Gauge,
        'sesame_slots_held',
        'Slots that the pool on this node has granted, by service.',
    )
    SLOTS = _MetricSpecification(
        Gauge,
        'sesame_slots',
        'Usable slots that the pool on this node knows, by service.',
    )
    BACKENDS = _MetricSpecification(
        Gauge,
        'sesame_backends',
        'Backend servers in the registry.',
    )
    DEMAND = _MetricSpecification(
        Gauge,
        'sesame_demand_slots',
        'Slots that requests of the region need or will need, by service.',
    )
    SPILLOVER_SHARE = _MetricSpecification(
        Gauge,
        'sesame_spillover_share',
        'Part of the requests that another region runs, by service and region.',
    )
    BACKEND_UTILIZATION = _MetricSpecification(
        Gauge,
        'sesame_backend_utilization',
        'Slots that the pool on this node has kept busy lately, by backend.',
    )
    BACKEND_LOADS = _MetricSpecification(
        Gauge,
        'sesame_backend_loads',
        'Requests granted so far for objects that a backend has not cached.',
    )
    BACKENDS_SUSPENDED = _MetricSpecification(
        Gauge,
        'sesame_backends_suspended',
        'Backend servers that the pool on this node has suspended, by service.',
    )
    STORE_ERA = _MetricSpecification(
        Gauge,
        'sesame_store_era',
        'Era of the store; it rises when the store is restored from a copy.',
    )
    HELD_ITEMS = _MetricSpecification(
        Gauge,
        'sesame_held_items',
        'Items in force that the restored store lacks or has in an older form.',
    )
    BACKEND_LIMIT = _MetricSpecification(
        Gauge,
        'sesame_backend_limit',
        'Requests per second that a backend server takes; -1 without a limit.',
    )
    BACKEND_LEAVING = _MetricSpecification(
        Gauge,
        'sesame_backend_leaving_seconds',
        'Seconds since a backend server said that it leaves; -1 after its end.',
    )
    BACKEND_GRANTS = _MetricSpecification(
        Gauge,
        'sesame_backend_grants',
        'Slots that the pools on this node have granted, by backend server.',
    )
    STORE_CALLS = _MetricSpecification(
        Counter,
        'sesame_store_calls_total',
        'Calls to the store by name and result.',
    )
    IGNORED_ITEMS = _MetricSpecification(
        Counter,
        'sesame_ignored_items_total',
        'Items of the store that were ignored as not valid, by kind.',
    )
    LOSSES = _MetricSpecification(
        Counter,
        'sesame_losses_total',
        'Losses of backend servers under a request; counted, or why not.',
    )
    SUSPECTED_REQUESTS = _MetricSpecification(
        Gauge,
        'sesame_suspected_requests',
        'Requests under which fewer servers were lost than quarantine takes.',
    )
    QUARANTINED_REQUESTS = _MetricSpecification(
        Gauge,
        'sesame_quarantined_requests',
        'Requests that are refused because they crash backend servers.',
    )
    FRONT_IS_ACCEPTING = _MetricSpecification(
        Gauge,
        'sesame_front_is_accepting',
        'Whether the server for callers takes new connections.',
    )
    FRONT_ACCEPTED = _MetricSpecification(
        Gauge,
        'sesame_front_connections_accepted',
        'Connections of callers that were taken since the start.',
    )
    FRONT_WAITING = _MetricSpecification(
        Gauge,
        'sesame_front_connections_waiting',
        'Connections of callers that wait for a thread.',
    )
    FRONT_OLDEST_SECONDS = _MetricSpecification(
        Gauge,
        'sesame_front_oldest_waiting_seconds',
        'Age of the connection that has waited longest for a thread.',
    )
    FRONT_BUSY = _MetricSpecification(
        Gauge,
        'sesame_front_threads_busy',
        'Threads that serve requests of callers.',
    )
    FRONT_HELD_BYTES = _MetricSpecification(
        Gauge,
        'sesame_front_held_bytes',
        'Bytes of answers that wait for others or for slow callers.',
    )
    FRONT_BLOCKED = _MetricSpecification(
        Gauge,
        'sesame_front_threads_blocked',
        'Threads that wait since there is no room to hold more of an answer.',
    )
    THREADS = _MetricSpecification(
        Gauge,
        'sesame_threads',
        'Threads of the process.',
    )
    MEMORY_BYTES = _MetricSpecification(
        Gauge,
        'sesame_memory_peak_bytes',
        'Peak of the memory of the process.',
    )


class Meter:
    """Counters, gauges and histograms of one node.

    aioprometheus updates a value by a read and a write, so a lock guards each
    update.

    Examples
    --------
    >>> meter = Meter()
    >>> meter.add(Metric.LOOKUPS, service='order-desk')
    >>> meter.read(Metric.LOOKUPS, service='order-desk')
    1
    >>> b'sesame_lookups_total{service="order-desk"} 1' in meter.render()
    True

    """

    def __init__(self) -> None:
        """Register every metric of `Metric`."""
        self._lock = Lock()
        self._registry = Registry()
        self._collectors: dict[Metric, Any] = {
            metric: _create_collector(metric.value, self._registry)
            for metric in Metric
        }

    def add(self, metric: Metric, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        with self._lock:
            self._collectors[metric].add(_escape_labels(labels), amount)

    def set(self, metric: Metric, amount: float, **labels: str) -> None:
        """Set a gauge."""
        with self._lock:
            self._collectors[metric].set(_escape_labels(labels), amount)

    def observe(self, metric: Metric, amount: float, **labels: str) -> None:
        """Add one observation to a histogram."""
        with self._lock:
            self._collectors[metric].observe(
                _escape_labels(labels), float(amount)
            )

    def read(self, metric: Metric, **labels: str) -> Any:
        """Return a metric's value, or 0 if the labels were never used."""
        with self._lock:
            try:
                return self._collectors[metric].get(_escape_labels(labels))
            except KeyError:
                return 0

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        with self._lock:
            content, _headers = render(self._registry, [])
        return content


def _escape_labels(labels: dict[str, str]) -> dict[str, str]:
    return {
        name: text.translate(_LABEL_ESCAPES) for name, text in labels.items()
    }


def _create_collector(
    spec: _MetricSpecification, registry: Registry
) -> Collector:
    if spec.collector is Histogram:
        return Histogram(
            spec.name,
            spec.help_text,
            registry=registry,
            buckets=_BUCKET_BOUNDS_SECONDS,
        )
    return spec.collector(spec.name, spec.help_text, registry=registry)
