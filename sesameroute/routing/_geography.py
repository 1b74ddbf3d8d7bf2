"""Distances, homes and drains as one VM sees a statement."""

import math
from functools import cache

from sesameroute.routing._rendezvous import rank_names
from sesameroute.statement import DrainTarget, Statement, Upstream

__all__ = ['Geography', 'is_drained', 'rank_owners', 'split_slots']

# Part of an upstream's slots that its home owns; the rest is the standby's.
_HOME_SHARE = 1


def rank_owners(statement: Statement, upstream: Upstream) -> tuple[str, ...]:
    """Return the VMs that may own slots of a backend server, home first.

    VMs of its own failure domain come first, then those of its region, then
    all others; within each group the order is by rendezvous hash. Only the
    statement counts, not who is alive: nodes that see different parts of
    the fleet agree.
    """
    places = statement.places
    delays = {
        vm.name: places.measure_delay(vm.domain, upstream.domain)
        for vm in statement.vms.values()
    }
    ranked = rank_names(upstream.name, delays)
    return tuple(sorted(ranked, key=delays.__getitem__))


def split_slots(statement: Statement, upstream: Upstream) -> dict[str, int]:
    """Return the slots that each owner has without asking anybody.

    Examples
    --------
    >>> from sesameroute.routing.tests import samples
    >>> sample = samples.build_statement()
    >>> sorted(split_slots(sample, sample.upstreams['tally-0']).values())
    [0, 4]

    """
    home, *others = rank_owners(statement, upstream)
    if not others:
        return {home: upstream.slots}
    kept = math.ceil(upstream.slots * _HOME_SHARE)
    return {home: kept, others[0]: upstream.slots - kept}


def is_drained(statement: Statement, name: str, domain: str) -> bool:
    """Return whether a drain of the statement covers a VM or upstream."""
    region = statement.places.find_region(domain)
    subjects = {
        DrainTarget.UPSTREAM: name,
        DrainTarget.VM: name,
        DrainTarget.DOMAIN: domain,
        DrainTarget.REGION: region,
    }
    return any(
        drain.subject == subjects[drain.target]
        for drain in statement.drains.values()
    )


class Geography:
    """A statement seen from one VM; replaced when the statement changes.

    Parameters
    ----------
    statement : Statement
        The statement in force.
    vm : str
        Name of this VM.

    """

    def __init__(self, statement: Statement, vm: str) -> None:
        """Store the statement and the place of this VM."""
        self.statement = statement
        self.vm = vm
        self.domain = statement.vms[vm].domain
        self.list_tiers = cache(self._sort_tiers)
        self.split = cache(self._split)
        self.drained_ = frozenset(
            upstream.name
            for upstream in statement.upstreams.values()
            if is_drained(statement, upstream.name, upstream.domain)
        )

    def measure_delay(self, upstream: Upstream) -> float:
        """Return the one-way delay to a backend server in seconds."""
        return self.statement.places.measure_delay(
            self.domain,
            upstream.domain,
        )

    def is_local(self, upstream: Upstream) -> bool:
        """Return whether a backend server is in this VM's region."""
        places = self.statement.places
        return places.find_region(upstream.domain) == places.find_region(
            self.domain,
        )

    def _split(self, name: str) -> dict[str, int]:
        return split_slots(self.statement, self.statement.upstreams[name])

    def _sort_tiers(self, service: str) -> tuple[tuple[Upstream, ...], ...]:
        by_delay: dict[float, list[Upstream]] = {}
        for upstream in self.statement.list_upstreams(service):
            by_delay.setdefault(self.measure_delay(upstream), []).append(
                upstream,
            )
        return tuple(tuple(by_delay[delay]) for delay in sorted(by_delay))
