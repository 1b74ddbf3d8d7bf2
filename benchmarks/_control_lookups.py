"""Cost of answering a look-up, by the number of entry VMs."""

import time
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import cycle, islice

from benchmarks._control_store import make_fleet_statement
from benchmarks._measurement import Measurement
from sesameroute.membership import FanOut, choose_targets
from sesameroute.ports import SystemClock
from sesameroute.programs._members_view import HeadroomReport
from sesameroute.routing import Lookup
from sesameroute.statement import Service, Statement

__all__ = ['measure_lookups']

# Entry VMs, failure domains and regions.
_FLEET_SIZES = ((7, 6, 3), (65, 9, 4), (540, 9, 4))
_SERVICE = 'order-desk'
_LOOKUP_COUNT = 100
_MICROSECONDS = 1_000_000


@dataclass(frozen=True, slots=True)
class FixedMembers:
    """Members from which the look-up process of a VM receives heartbeats."""

    live: tuple[str, ...]
    digest: HeadroomReport

    def list_live(self) -> tuple[str, ...]:
        """Return the VMs with a stream to this one."""
        return self.live

    def list_leaving(self) -> frozenset[str]:
        """Return an empty set: no VM is leaving."""
        return frozenset()

    def find_digest(self, vm: str) -> HeadroomReport | None:
        """Return the same digest for every VM with a stream."""
        return self.digest if vm in self.live else None


def measure_lookups() -> Iterator[Measurement]:
    """Measure look-ups without HTTP, from each failure domain in turn."""
    for size in _FLEET_SIZES:
        statement = _add_service(make_fleet_statement(*size))
        seconds = _time_lookup(statement)
        title = f'control/{size[0]}/lookup'
        yield Measurement(title, seconds * _MICROSECONDS, 'us of a core')


def _time_lookup(statement: Statement) -> float:
    live = choose_targets(statement, 'vm0', 'd0', FanOut())
    members = FixedMembers(tuple(live), HeadroomReport({_SERVICE: (20, 48)}, 1))
    lookup = Lookup(lambda: statement, members, SystemClock())
    domains = cycle(statement.places.domains)
    started = time.process_time()
    for domain in islice(domains, _LOOKUP_COUNT):
        lookup.answer(_SERVICE, domain)
    return (time.process_time() - started) / _LOOKUP_COUNT


def _add_service(statement: Statement) -> Statement:
    return Statement(
        statement.institution,
        statement.places,
        statement.policy,
        statement.vms,
        {_SERVICE: Service(_SERVICE)},
        {},
        {},
    )
