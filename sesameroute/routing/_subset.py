"""Subsetting: which VMs may connect to a backend server or probe it."""

from collections.abc import Iterable

from sesameroute.routing._rendezvous import rank_names
from sesameroute.statement import Statement, Upstream

__all__ = ['choose_connectors', 'choose_prober', 'count_connections']

_USABLE_CONNECTION_FRACTION = 0.9  # the rest is spare


def count_connections(upstream: Upstream) -> int:
    """Return how many connections each permitted VM may open.

    One per slot is enough, since a VM never has more requests there.
    """
    return max(1, upstream.slots)


def choose_connectors(
    statement: Statement,
    upstream: Upstream,
) -> tuple[str, ...]:
    """Return the VMs that may connect to a backend server.

    These are the nearest VMs, by rendezvous hash among equals, as many as
    the connection limit of the backend server allows; with few VMs that is
    all of them.

    Examples
    --------
    >>> from dataclasses import replace
    >>> from sesameroute.routing.tests import samples
    >>> sample = samples.build_statement()
    >>> upstream = replace(sample.upstreams['tally-0'], connections=9)
    >>> len(choose_connectors(sample, upstream))
    2

    """
    connections_per_vm = count_connections(upstream)
    max_vms = max(
        1,
        int(
            upstream.connections
            * _USABLE_CONNECTION_FRACTION
            / connections_per_vm
        ),
    )
    places = statement.places
    delays = {
        vm.name: places.measure_delay(vm.domain, upstream.domain)
        for vm in statement.vms.values()
    }
    if len(delays) <= max_vms:
        return tuple(delays)
    ranked = rank_names(upstream.name, delays)
    return tuple(sorted(ranked, key=delays.__getitem__)[:max_vms])


def choose_prober(upstream: str, live: Iterable[str]) -> str:
    """Return the live VM that probes a backend server for all others.

    VMs with different views of which VMs are live may both probe; no
    backend server is left without a prober.

    Examples
    --------
    >>> choose_prober('tally-0', ('vm-a', 'vm-b')) in {'vm-a', 'vm-b'}
    True

    """
    return next(iter(rank_names(upstream, live)), '')
