"""Callers of a local run."""

import random

from sesameroute.caller import Caller, Directory
from sesameroute.fakes import FakeWire, Site
from sesameroute.local._options import RunOptions
from sesameroute.ports import SystemClock
from sesameroute.statement import Statement

__all__ = ['build_callers', 'list_caller_sites']

_CALLER_HOST = 160  # first last octet of callers


def list_caller_sites(statement: Statement, callers: int) -> dict[str, Site]:
    """Return the sites of the callers by their addresses."""
    return {
        address: Site(domain, is_caller=True)
        for domain, address in _list_addresses(statement, callers)
    }


def build_callers(
    statement: Statement,
    wire: FakeWire,
    options: RunOptions,
) -> tuple[Caller, ...]:
    """Return the callers of all failure domains."""
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
    callers: int,
) -> list[tuple[str, str]]:
    networks = {
        vm.domain: vm.address.rpartition('.')[0]
        for vm in statement.vms.values()
    }
    return [
        (domain, f'{networks[domain]}.{_CALLER_HOST + number}')
        for domain in statement.places.domains
        for number in range(callers)
        if domain in networks
    ]


def _list_lookups(
    statement: Statement,
    domain: str,
) -> tuple[tuple[str, int], ...]:
    """Return the addresses of all look-ups, the nearest first."""
    measure = statement.places.measure_delay
    vms = sorted(
        statement.vms.values(),
        key=lambda vm: measure(domain, vm.domain),
    )
    return tuple((vm.address, statement.lookup_port) for vm in vms)
