"""Which VMs may connect to a backend server, and who probes it."""

from collections.abc import Iterable

from sesameroute.routing._rendezvous import rank_names
from sesameroute.statement import Statement, Upstream

__all__ = ['choose_connectors', 'choose_prober', 'count_connections']

_SPARE = 0.9  # part of an upstream's connections that is given out


def count_connections(upstream: Upstream) -> int:
    """Return how many connections each permitted VM may open.

    A VM needs no more than one connection a slot: it never has more
    requests there.
    """
    return max(1, upstream.slots)


def choose_connectors(
    statement: Statement,
    upstream: Upstream,
) -> tuple[str, ...]:
    """Return the VMs that may connect to a backend server.

    The nearest come first, by rendezvous hash among equals, as many as its
    connections allow; with few VMs that is all of them.

    Examples
    --------
    >>> from dataclasses import replace
    >>> from sesameroute.routing.tests import samples
    >>> sample = samples.build_statement()
    >>> upstream = replace(sample.upstreams['tally-0'], connections=9)
    >>> len(choose_connectors(sample, upstream))
    2

    """
    per_vm = count_connections(upstream)
    most = max(1, int(upstream.connections * _SPARE / per_vm))
    places = statement.places
    delays = {
        vm.name: places.measure_delay(vm.domain, upstream.domain)
        for vm in statement.vms.values()
    }
    if len(delays) <= most:
        return tuple(delays)
    ranked = rank_names(upstream.name, delays)
    return tuple(sorted(ranked, key=delays.__getitem__)[:most])


def choose_prober(upstream: str, live: Iterable[str]) -> str:
    """Return the live VM that probes a backend server for all others.

    Two VMs that see different ones alive may both probe; none is left out.

    Examples
    --------
    >>> choose_prober('tally-0', ('vm-a', 'vm-b')) in {'vm-a', 'vm-b'}
    True

    """
    return next(iter(rank_names(upstream, live)), '')
