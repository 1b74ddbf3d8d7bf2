"""Scenarios of the steering benchmark: load, faults, operator actions."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from benchmarks._traffic import Traffic
from sesameroute.statement import Drain, DrainTarget, Shift, Statement

__all__ = ['SCENARIOS', 'Scenario', 'find_capacity']

EVENT_DELAY_SECONDS = 2.0  # from the start of the load to the event
_MILLISECONDS = 1000  # in a second


@dataclass(frozen=True, slots=True)
class Scenario:
    """A load and the events during it.

    Attributes
    ----------
    load : float
        Fraction of the capacity that `find_capacity` returns.
    events : tuple of callable
        Called with the traffic before the load starts, to schedule events.
    seconds : float
        Duration of the load.

    """

    name: str
    load: float
    events: tuple[Callable[[Traffic], None], ...] = ()
    seconds: float = 10

    def combine(self, other: 'Scenario') -> 'Scenario':
        """Return a scenario with the events of both at the lower load."""
        return Scenario(
            f'{self.name}+{other.name}',
            min(self.load, other.load),
            self.events + other.events,
            max(self.seconds, other.seconds),
        )


def find_capacity(statement: Statement) -> float:
    """Return the requests per second at which a service runs out of slots.

    The service that reaches its limit first counts.
    """
    rates = []
    for service in statement.services:
        kinds = [
            kind for kind in statement.kinds.values() if kind.service == service
        ]
        slots = sum(
            each_upstream.slots
            for each_upstream in statement.list_upstreams(service)
        )
        work_seconds = (
            sum(kind.share * kind.work_ms for kind in kinds) / _MILLISECONDS
        )
        total_share = sum(kind.share for kind in statement.kinds.values())
        if work_seconds:
            rates.append(slots * total_share / work_seconds)
    return min(rates)


def _schedule(
    traffic: Traffic, delay: float, callback: Callable[[], None]
) -> None:
    traffic.fleet.schedule.add(delay, callback)


def _pick_lone_vm(traffic: Traffic) -> str:
    """Return a VM that is alone in its failure domain."""
    statement = traffic.statement
    lone_vms = [
        vm.name
        for vm in statement.vms.values()
        if len(statement.list_vms(vm.domain)) == 1
    ]
    return lone_vms[0]


def _pick_region(traffic: Traffic) -> str:
    return list(traffic.statement.places.regions)[1]


def lose_vm(traffic: Traffic) -> None:
    """Stop the machine of an entry VM for good: connections time out."""
    vm = _pick_lone_vm(traffic)
    _schedule(
        traffic, EVENT_DELAY_SECONDS, partial(traffic.fleet.stop_machine, vm)
    )


def crash_vm(traffic: Traffic) -> None:
    """Crash the process of an entry VM; it is not restarted."""
    vm = _pick_lone_vm(traffic)
    _schedule(traffic, EVENT_DELAY_SECONDS, partial(traffic.fleet.crash, vm))


def _stop_domain(traffic: Traffic, domain: str) -> None:
    for vm in traffic.statement.list_vms(domain):
        traffic.fleet.stop_machine(vm.name)
    for server in traffic.servers.values():
        if server.upstream.domain == domain:
            server.is_up = False


def lose_domain(traffic: Traffic) -> None:
    """Stop the entry VM and the backend servers of a failure domain."""
    domain = traffic.statement.vms[_pick_lone_vm(traffic)].domain
    _schedule(
        traffic, EVENT_DELAY_SECONDS, lambda: _stop_domain(traffic, domain)
    )


def lose_region(traffic: Traffic) -> None:
    """Stop all entry VMs and backend servers of a region."""
    region_domains = traffic.statement.places.regions[_pick_region(traffic)]
    for domain in region_domains:
        _schedule(
            traffic, EVENT_DELAY_SECONDS, partial(_stop_domain, traffic, domain)
        )


def partition_region(traffic: Traffic) -> None:
    """Partition a region from all others for five seconds."""
    places = traffic.statement.places
    inner_domains = places.regions[_pick_region(traffic)]
    outer_domains = [
        each_domain
        for each_domain in places.domains
        if each_domain not in inner_domains
    ]
    for pair in itertools.product(inner_domains, outer_domains):
        _schedule(
            traffic,
            EVENT_DELAY_SECONDS,
            partial(traffic.fleet.partition, *pair),
        )
    _schedule(traffic, EVENT_DELAY_SECONDS + 5, traffic.fleet.partitions.clear)


def _report_all_free(vm: str, headroom: dict) -> dict:
    return {name: (total, total) for name, (_, total) in headroom.items()}


def falsify_reports(traffic: Traffic) -> None:
    """Make heartbeats and backend servers report that they have no load."""

    def start() -> None:
        traffic.fleet.transform_report = _report_all_free
        traffic.fleet.report_load = lambda server: 0

    _schedule(traffic, EVENT_DELAY_SECONDS, start)


def stop_reports(traffic: Traffic) -> None:
    """Stop updates of the reported headroom while heartbeats go on."""

    def start() -> None:
        traffic.fleet.reports_frozen = True

    _schedule(traffic, EVENT_DELAY_SECONDS, start)


def skew_callers(traffic: Traffic) -> None:
    """Double the callers of one of three regions, to half of all callers."""
    region_domains = traffic.statement.places.regions[_pick_region(traffic)]
    for domain in region_domains:
        traffic.domain_weights[domain] *= 2


def drain_domain(traffic: Traffic) -> None:
    """Drain a failure domain as an operator does."""
    domain = traffic.statement.vms[_pick_lone_vm(traffic)].domain
    drain = Drain('work', DrainTarget.DOMAIN, domain)

    def start() -> None:
        traffic.fleet.statement = replace(
            traffic.statement,
            drains={'work': drain},
        )

    _schedule(traffic, EVENT_DELAY_SECONDS, start)


def shift_cold(traffic: Traffic) -> None:
    """Shift half of a region's load onto cold backend servers."""
    source, target = list(traffic.statement.places.regions)[:2]
    shift = Shift(
        'move',
        list(traffic.statement.services)[0],
        source,
        target,
        fraction=0.5,
        cap=60,
        started=traffic.fleet.schedule.now + EVENT_DELAY_SECONDS,
        seconds=3,
    )

    def start() -> None:
        traffic.fleet.statement = replace(
            traffic.statement,
            shifts={'move': shift},
        )
        for server in traffic.servers.values():
            if (
                server.upstream.domain
                in traffic.statement.places.regions[target]
            ):
                server.served_requests = 0

    _schedule(traffic, EVENT_DELAY_SECONDS, start)


def overload(traffic: Traffic) -> None:
    """Raise the load to twice the capacity for ten seconds."""

    def multiply_rate(factor: float) -> None:
        traffic.rate *= factor

    _schedule(traffic, EVENT_DELAY_SECONDS, lambda: multiply_rate(2 / 0.7))
    _schedule(traffic, EVENT_DELAY_SECONDS + 10, lambda: multiply_rate(0.7 / 2))


_STEADY = Scenario('steady', 0.6)
_LOST_VM = Scenario('lost-vm', 0.6, (lose_vm,))
_CRASHED_VM = Scenario('crashed-vm', 0.6, (crash_vm,), 14)
_LOST_DOMAIN = Scenario('lost-domain', 0.6, (lose_domain,))
_LOST_REGION = Scenario('lost-region', 0.5, (lose_region,))
_PARTITION = Scenario('cut', 0.6, (partition_region,))
_FALSE_REPORTS = Scenario('lies', 0.7, (falsify_reports, skew_callers))
_STALE_REPORTS = Scenario('stall', 0.7, (stop_reports, skew_callers))
_DRAIN = Scenario('drain', 0.6, (drain_domain,))
_SHIFT = Scenario('shift-cold', 0.5, (shift_cold,))
_SKEW = Scenario('skew', 0.7, (skew_callers,))

SCENARIOS = (
    _STEADY,
    Scenario('full', 0.9),
    _SKEW,
    _LOST_VM,
    _CRASHED_VM,
    _LOST_DOMAIN,
    _LOST_REGION,
    _PARTITION,
    _FALSE_REPORTS,
    _STALE_REPORTS,
    _DRAIN,
    _SHIFT,
    Scenario('overload', 0.7, (overload,), 18),
    _LOST_VM.combine(_STALE_REPORTS),
    _PARTITION.combine(_FALSE_REPORTS),
    _DRAIN.combine(_LOST_DOMAIN),
    _SHIFT.combine(_LOST_VM),
)
