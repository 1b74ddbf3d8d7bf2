"""Metrics of a node."""

import resource
import threading
from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import Any

from sesameroute.adapters import FrontLoad
from sesameroute.forward import RequestRecord
from sesameroute.mirror import Mirror
from sesameroute.node._slot_allocator import FleetSlotAllocator
from sesameroute.node._tenant_meter import TenantMeter
from sesameroute.placement import Outcome, PoolReport, compute_utilization
from sesameroute.ports import Answer
from sesameroute.quarantine import Quarantine
from sesameroute.registry import Registry, list_leaving
from sesameroute.routes import ActiveConfiguration
from sesameroute.telemetry import Meter, Metric

__all__ = ['NodeMeter']

LabelledGauge = tuple[Metric, float, dict[str, str]]

_BYTES_PER_KIBIBYTE = 1024  # the kernel reports peak memory in kibibytes
_TEXT_HEADERS = (('Content-Type', 'text/plain; version=0.0.4'),)
_ON_TIME = 'answered'
_LATE = 'late'


class NodeMeter:
    """Collects the metrics of one node and answers requests for them.

    Parameters
    ----------
    active_configuration : ActiveConfiguration
        Holds the configuration in force.
    registry : Registry
        Known backend servers.
    allocator : FleetSlotAllocator
        Counts slots by service.
    mirror : Mirror
        This node's copy of the store.
    quarantine : Quarantine
        Counts requests that crash backend servers.

    Attributes
    ----------
    tenants_ : TenantMeter
        Counts by tenant.
    read_load_ : callable
        Returns how busy the server for callers is; None without one.

    """

    def __init__(
        self,
        active_configuration: ActiveConfiguration,
        registry: Registry,
        allocator: FleetSlotAllocator,
        mirror: Mirror,
        quarantine: Quarantine,
    ) -> None:
        """Store the parameters and start with empty metrics."""
        self.active_configuration = active_configuration
        self.registry = registry
        self.allocator = allocator
        self.mirror = mirror
        self.quarantine = quarantine
        self.meter_ = Meter()
        self.read_load_: Callable[[], FrontLoad | None] = _read_no_load
        self._leaving: set[tuple[str, str]] = set()
        self.tenants_ = TenantMeter(self.meter_, active_configuration)

    def __call__(self, _request: Any) -> Answer:
        """Return all metrics in the Prometheus text format."""
        self._update_gauges()
        content = self.meter_.render()
        return Answer(
            HTTPStatus.OK, _TEXT_HEADERS, iter((content,)), len(content)
        )

    def observe(self, record: RequestRecord) -> None:
        """Count an answered request and its latency."""
        self.meter_.add(
            Metric.REQUESTS,
            service=record.service,
            kind=record.route,
            outcome=_name_outcome(record),
        )
        if record.is_relayed:
            self.meter_.add(Metric.RELAYS)
        self.meter_.observe(
            Metric.REQUEST_SECONDS,
            record.seconds,
            kind=record.route,
        )
        self.meter_.observe(
            Metric.WAIT_SECONDS,
            record.waited,
            service=record.service,
        )

    def observe_try(self, service: str, outcome: Outcome) -> None:
        """Count a try at a backend server that has ended."""
        self.meter_.add(Metric.TRIES, service=service, outcome=outcome.value)

    def count(self, metric: Metric, **labels: str) -> None:
        """Add one to a counter."""
        self.meter_.add(metric, **labels)

    def observe_call(self, name: str, result: str) -> None:
        """Count a call to the platform's store."""
        self.meter_.add(Metric.STORE_CALLS, call=name, result=result)

    def _update_gauges(self) -> None:
        for metric, amount in self._list_gauges():
            self.meter_.set(metric, amount)
        for metric, backend, amount in self._list_backend_gauges():
            self.meter_.set(metric, amount, backend=backend)
        self._update_leaving()
        for metric, amount, labels in _list_region_gauges(self.allocator):
            self.meter_.set(metric, amount, **labels)
        self.tenants_.update()
        for name, suspended in self._count_suspended():
            self.meter_.set(Metric.BACKENDS_SUSPENDED, suspended, service=name)

    def _update_leaving(self) -> None:
        """Set the gauges of servers that leave, by who told this node."""
        now = self.allocator.clock.read_monotonic()
        ages = {
            (each.backend, each.source or '-'): now - each.said_at
            for each in list_leaving(self.registry)
        }
        ended = dict.fromkeys(self._leaving - ages.keys(), -1)
        self._leaving = set(ages)
        for (backend, source), age in (*ended.items(), *ages.items()):
            self.meter_.set(
                Metric.BACKEND_LEAVING, age, backend=backend, source=source
            )

    def _count_suspended(self) -> Iterator[tuple[str, int]]:
        now = self.allocator.clock.read_monotonic()
        for pool in self.allocator.pools:
            suspended = [each for each in pool.states if each.is_suspended(now)]
            yield pool.identity.service, len(suspended)

    def _list_backend_gauges(self) -> Iterator[tuple[Metric, str, float]]:
        for announced in self.registry.announcements.list_newest():
            limit = -1 if announced.limit is None else announced.limit
            yield Metric.BACKEND_LIMIT, announced.backend, limit
        now = self.allocator.clock.read_monotonic()
        for pool in self.allocator.pools:
            for state in pool.states:
                yield Metric.BACKEND_GRANTS, state.name, state.total_grants
                yield Metric.BACKEND_LOADS, state.name, state.cold_grants
                yield (
                    Metric.BACKEND_UTILIZATION,
                    state.name,
                    compute_utilization(state, now),
                )

    def _list_gauges(self) -> Iterator[tuple[Metric, float]]:
        yield from self._list_configuration_gauges()
        yield from _list_front_gauges(self.read_load_())
        yield Metric.PEERS, len(self.allocator.peers.list_connected())
        yield Metric.BACKENDS, len(self.registry)
        yield Metric.STORE_ERA, self.mirror.era_
        yield Metric.HELD_ITEMS, len(self.mirror.list_held().held)
        suspected, quarantined = self.quarantine.count_suspects()
        yield Metric.SUSPECTED_REQUESTS, suspected
        yield Metric.QUARANTINED_REQUESTS, quarantined
        yield from _list_process_gauges()

    def _list_configuration_gauges(self) -> Iterator[tuple[Metric, float]]:
        current_configuration = self.active_configuration.configuration
        version, age = 0, -1
        if current_configuration is not None:
            version = current_configuration.version
            now = self.allocator.clock.read_monotonic()
            age = now - current_configuration.origin.received_at
        yield Metric.CONFIGURATION_VERSION, version
        yield Metric.CONFIGURATION_AGE, age


def _name_outcome(record: RequestRecord) -> str:
    if record.status >= HTTPStatus.BAD_REQUEST:
        return str(record.status)
    return _LATE if record.is_late else _ON_TIME


def _list_front_gauges(
    load: FrontLoad | None,
) -> Iterator[tuple[Metric, float]]:
    if load is not None:
        yield Metric.FRONT_IS_ACCEPTING, int(load.is_accepting)
        yield Metric.FRONT_ACCEPTED, load.accepted
        yield Metric.FRONT_WAITING, load.waiting
        yield Metric.FRONT_OLDEST_SECONDS, load.oldest_seconds
        yield Metric.FRONT_BUSY, load.busy
        yield Metric.FRONT_HELD_BYTES, load.held_bytes
        yield Metric.FRONT_BLOCKED, load.blocked


def _list_region_gauges(
    allocator: FleetSlotAllocator,
) -> Iterator[LabelledGauge]:
    """Yield slots, demand, and the parts of it that other regions run."""
    for service, held, usable in allocator.count_slots():
        yield Metric.SLOTS_HELD, held, {'service': service}
        yield Metric.SLOTS, usable, {'service': service}
    now = allocator.clock.read_monotonic()
    for pool in allocator.pools:
        yield from _list_demand_gauges(pool.make_report(now))


def _list_demand_gauges(report: PoolReport) -> Iterator[LabelledGauge]:
    yield Metric.DEMAND, report.demand, {'service': report.service}
    for region, share in report.shares[report.region].items():
        labels = {'service': report.service, 'region': region}
        yield Metric.SPILLOVER_SHARE, share, labels


def _list_process_gauges() -> Iterator[tuple[Metric, float]]:
    yield Metric.THREADS, threading.active_count()
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    yield Metric.MEMORY_BYTES, peak * _BYTES_PER_KIBIBYTE


def _read_no_load() -> None:
    """Return None; the default of `NodeMeter.read_load_`."""
