"""What happens in each run of the steering benchmark."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from benchmarks._traffic import Traffic
from sesameroute.statement import Drain, DrainTarget, Shift, Statement

__all__ = ['SCENARIOS', 'Scenario', 'find_capacity']

START = 2.0  # seconds from the start of load to the event
_MILLISECONDS = 1000  # in a second


@dataclass(frozen=True, slots=True)
class Scenario:
    """A load and what happens to it.

    Attributes
    ----------
    load : float
        Part of the capacity of the busiest service.
    events : tuple of callable
        Called with the traffic at the start of load; they schedule.
    seconds : float
        Duration of the load.

    """

    name: str
    load: float
    events: tuple[Callable[[Traffic], None], ...] = ()
    seconds: float = 10

    def pair(self, other: 'Scenario') -> 'Scenario':
        """Return both at once at the lower load."""
        return Scenario(
            f'{self.name}+{other.name}',
            min(self.load, other.load),
            self.events + other.events,
            max(self.seconds, other.seconds),
        )


def find_capacity(statement: Statement) -> float:
    """Return the requests a second at which the first service is full."""
    rates = []
    for service in statement.services:
        kinds = [
            one for one in statement.kinds.values() if one.service == service
        ]
        slots = sum(one.slots for one in statement.list_upstreams(service))
        work = sum(one.share * one.work_ms for one in kinds) / _MILLISECONDS
        total = sum(one.share for one in statement.kinds.values())
        if work:
            rates.append(slots * total / work)
    return min(rates)


def _at(traffic: Traffic, delay: float, call: Callable[[], None]) -> None:
    traffic.fleet.schedule.add(delay, call)


def _pick_vm(traffic: Traffic) -> str:
    """Return a VM that is alone in its failure domain."""
    statement = traffic.statement
    alone = [
        vm.name
        for vm in statement.vms.values()
        if len(statement.list_vms(vm.domain)) == 1
    ]
    return alone[0]


def _pick_region(traffic: Traffic) -> str:
    return list(traffic.statement.places.regions)[1]


def lose_vm(traffic: Traffic) -> None:
    """The machine of one entry VM dies and stays dead."""
    vm = _pick_vm(traffic)
    _at(traffic, START, partial(traffic.fleet.lose, vm))


def crash_vm(traffic: Traffic) -> None:
    """The process of one entry VM dies and does not come back."""
    vm = _pick_vm(traffic)
    _at(traffic, START, partial(traffic.fleet.crash, vm))


def _fail_domain(traffic: Traffic, domain: str) -> None:
    for vm in traffic.statement.list_vms(domain):
        traffic.fleet.lose(vm.name)
    for server in traffic.servers.values():
        if server.upstream.domain == domain:
            server.up = False


def lose_domain(traffic: Traffic) -> None:
    """A failure domain dies with its VM and backend servers."""
    domain = traffic.statement.vms[_pick_vm(traffic)].domain
    _at(traffic, START, lambda: _fail_domain(traffic, domain))


def lose_region(traffic: Traffic) -> None:
    """A region dies."""
    group = traffic.statement.places.regions[_pick_region(traffic)]
    for domain in group:
        _at(traffic, START, partial(_fail_domain, traffic, domain))


def cut_region(traffic: Traffic) -> None:
    """A region loses all others for five seconds."""
    places = traffic.statement.places
    inside = places.regions[_pick_region(traffic)]
    outside = [one for one in places.domains if one not in inside]
    for pair in itertools.product(inside, outside):
        _at(traffic, START, partial(traffic.fleet.cut, *pair))
    _at(traffic, START + 5, traffic.fleet.cuts.clear)


def _lie(vm: str, headroom: dict) -> dict:
    return {name: (total, total) for name, (_, total) in headroom.items()}


def lie(traffic: Traffic) -> None:
    """Heartbeats and backend servers always report no load."""

    def start() -> None:
        traffic.fleet.mangle = _lie
        traffic.fleet.report_load = lambda server: 0

    _at(traffic, START, start)


def stall(traffic: Traffic) -> None:
    """Measurements stop while contact goes on."""

    def start() -> None:
        traffic.fleet.stalled = True

    _at(traffic, START, start)


def skew(traffic: Traffic) -> None:
    """Half of the callers are in one region."""
    group = traffic.statement.places.regions[_pick_region(traffic)]
    for domain in group:
        traffic.weights[domain] *= 2


def drain_domain(traffic: Traffic) -> None:
    """An operator drains a failure domain."""
    domain = traffic.statement.vms[_pick_vm(traffic)].domain
    drain = Drain('work', DrainTarget.DOMAIN, domain)

    def start() -> None:
        traffic.fleet.statement = replace(
            traffic.statement,
            drains={'work': drain},
        )

    _at(traffic, START, start)


def shift_cold(traffic: Traffic) -> None:
    """An operator moves half of a region onto cold backend servers."""
    source, target = list(traffic.statement.places.regions)[:2]
    shift = Shift(
        'move',
        list(traffic.statement.services)[0],
        source,
        target,
        fraction=0.5,
        cap=60,
        started=traffic.fleet.schedule.now + START,
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
                server.served = 0

    _at(traffic, START, start)


def overload(traffic: Traffic) -> None:
    """Twice the load for ten seconds."""

    def change(factor: float) -> None:
        traffic.rate *= factor

    _at(traffic, START, lambda: change(2 / 0.7))
    _at(traffic, START + 10, lambda: change(0.7 / 2))


_STEADY = Scenario('steady', 0.6)
_LOST_VM = Scenario('lost-vm', 0.6, (lose_vm,))
_CRASHED_VM = Scenario('crashed-vm', 0.6, (crash_vm,), 14)
_LOST_DOMAIN = Scenario('lost-domain', 0.6, (lose_domain,))
_LOST_REGION = Scenario('lost-region', 0.5, (lose_region,))
_CUT = Scenario('cut', 0.6, (cut_region,))
_LIES = Scenario('lies', 0.7, (lie, skew))
_STALL = Scenario('stall', 0.7, (stall, skew))
_DRAIN = Scenario('drain', 0.6, (drain_domain,))
_SHIFT = Scenario('shift-cold', 0.5, (shift_cold,))
_SKEW = Scenario('skew', 0.7, (skew,))

SCENARIOS = (
    _STEADY,
    Scenario('full', 0.9),
    _SKEW,
    _LOST_VM,
    _CRASHED_VM,
    _LOST_DOMAIN,
    _LOST_REGION,
    _CUT,
    _LIES,
    _STALL,
    _DRAIN,
    _SHIFT,
    Scenario('overload', 0.7, (overload,), 18),
    _LOST_VM.pair(_STALL),
    _CUT.pair(_LIES),
    _DRAIN.pair(_LOST_DOMAIN),
    _SHIFT.pair(_LOST_VM),
)
