"""Builds the callers of a local run and their network addresses."""

import random

from sesameroute.caller import Caller, Directory
from sesameroute.fakes import FakeWire, Site
from sesameroute.local._options import RunOptions
from sesameroute.ports import SystemClock
from sesameroute.statement import Statement

__all__ = ['build_callers', 'list_caller_sites']

_FIRST_CALLER_OCTET = 160  # last octet of the first caller of each domain


def list_caller_sites(
    statement: Statement, caller_count: int
) -> dict[str, Site]:
    """Return the network location of each caller, keyed by its address."""
    return {
        address: Site(domain, is_caller=True)
        for domain, address in _list_addresses(statement, caller_count)
    }


def build_callers(
    statement: Statement,
    wire: FakeWire,
    options: RunOptions,
) -> tuple[Caller, ...]:
    """Return the callers of all failure domains, seeded by their address."""
    return tuple(
        Caller(
            Directory(
                _list_lookups(statement, domain),
                domain,
                wire,
                address,
                SystemClock(),
            ),
            random.Random(f'{options.seed}/{address}'),
        )
        for domain, address in _list_addresses(statement, options.callers)
    )


def _list_addresses(
    statement: Statement,
    caller_count: int,
) -> list[tuple[str, str]]:
    networks = {
        vm.domain: vm.address.rpartition('.')[0]
        for vm in statement.vms.values()
    }
    return [
        (domain, f'{networks[domain]}.{_FIRST_CALLER_OCTET + number}')
        for domain in statement.places.domains
        for number in range(caller_count)
        if domain in networks
    ]


def _list_lookups(
    statement: Statement,
    domain: str,
) -> tuple[tuple[str, int], ...]:
    """Return the addresses of all look-ups, lowest network delay first."""
    measure = statement.places.measure_delay
    vms = sorted(
        statement.vms.values(),
        key=lambda vm: measure(domain, vm.domain),
    )
    return tuple((vm.address, statement.lookup_port) for vm in vms)
