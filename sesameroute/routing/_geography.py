"""Distances, homes and drains as one VM sees a statement."""

import math
from functools import cache

from sesameroute.routing._messages import Holding
from sesameroute.routing._rendezvous import rank_names
from sesameroute.statement import DrainTarget, Statement, Upstream

__all__ = ['Geography', 'is_drained', 'rank_owners', 'split_slots']

# Part of an upstream's slots that its home owns; the rest is the standby's.
_HOME_SHARE = 0.5
_OWNERS = 2  # VMs that own slots of one backend server
_MILLISECONDS = 1000  # in a second


def rank_owners(statement: Statement, upstream: Upstream) -> tuple[str, ...]:
    """Return the VMs that own slots of a backend server, home first.

    VMs of its own failure domain come first, then those of its region, then
    all others; within each group the order is by rendezvous hash. Only the
    statement counts, not who is alive: nodes that see different parts of
    the fleet agree.
    """
    places = statement.places
    groups: dict[float, list[str]] = {}
    for vm in statement.vms.values():
        delay = places.measure_delay(vm.domain, upstream.domain)
        groups.setdefault(delay, []).append(vm.name)
    owners: list[str] = []
    for delay in sorted(groups):
        if len(owners) < _OWNERS:
            owners.extend(rank_names(upstream.name, groups[delay]))
    return tuple(owners[:_OWNERS])


def split_slots(statement: Statement, upstream: Upstream) -> dict[str, int]:
    """Return the slots that each owner has without asking anybody.

    Examples
    --------
    >>> from sesameroute.routing.tests import samples
    >>> sample = samples.build_statement()
    >>> sorted(split_slots(sample, sample.upstreams['tally-0']).values())
    [2, 2]

    """
    owners = rank_owners(statement, upstream)
    if len(owners) < _OWNERS:
        return dict.fromkeys(owners, upstream.slots)
    kept = math.ceil(upstream.slots * _HOME_SHARE)
    return dict(zip(owners, (kept, upstream.slots - kept), strict=True))


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
        self.list_service = cache(statement.list_upstreams)
        self.list_tiers = cache(self._sort_tiers)
        self.list_lenders = cache(self._sort_lenders)
        self.list_standing = cache(self._collect_standing)
        self.split = cache(self._split)
        self.drained_ = frozenset(
            upstream.name
            for upstream in statement.upstreams.values()
            if is_drained(statement, upstream.name, upstream.domain)
        )

    def measure_delay(self, domain: str) -> float:
        """Return the one-way delay to a failure domain in seconds."""
        return self.statement.places.measure_delay(self.domain, domain)

    def measure_vm_delay(self, vm: str) -> float:
        """Return the one-way delay to a VM in seconds; 0 if unknown."""
        known = self.statement.vms.get(vm)
        return self.measure_delay(known.domain) if known else 0

    def is_near(self, domain: str) -> bool:
        """Return whether a failure domain is in this VM's region."""
        places = self.statement.places
        return domain in places.regions[places.find_region(self.domain)]

    def is_near_vm(self, vm: str) -> bool:
        """Return whether a VM is in this VM's region."""
        known = self.statement.vms.get(vm)
        return known is not None and self.is_near(known.domain)

    def measure_linger(self, service: str) -> float:
        """Return the longest time that work of a service goes on, seconds."""
        deadlines = [
            kind.deadline_ms
            for kind in self.statement.kinds.values()
            if kind.service == service
        ]
        return max(deadlines, default=0) / _MILLISECONDS

    def _split(self, name: str) -> dict[str, int]:
        return split_slots(self.statement, self.statement.upstreams[name])

    def _sort_tiers(self, service: str) -> tuple[tuple[Upstream, ...], ...]:
        by_delay: dict[float, list[Upstream]] = {}
        for upstream in self.list_service(service):
            delay = self.measure_delay(upstream.domain)
            by_delay.setdefault(delay, []).append(upstream)
        return tuple(tuple(by_delay[delay]) for delay in sorted(by_delay))

    def _sort_lenders(
        self,
        service: str,
        live: frozenset[str],
    ) -> tuple[str, ...]:
        lenders: dict[str, None] = {}
        for tier in self.list_tiers(service):
            for upstream in tier:
                owners = [
                    one for one in self.split(upstream.name) if one in live
                ]
                lenders.update(dict.fromkeys(owners[:1]))
        lenders.pop(self.vm, None)
        return tuple(lenders)

    def _collect_standing(self, service: str) -> dict[str, tuple[Holding, ...]]:
        standing: dict[str, tuple[Holding, ...]] = {}
        for upstream in self.list_service(service):
            home, *standbys = self.split(upstream.name).items()
            if home[0] == self.vm and standbys:
                standby, slots = standbys[0]
                known = standing.get(standby, ())
                holding = Holding(upstream.name, slots)
                standing[standby] = (*known, holding)
        return standing
