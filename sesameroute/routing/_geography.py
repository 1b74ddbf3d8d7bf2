"""Distances, homes and drains as one VM sees a statement."""

import math

from sesameroute.routing._cached import cached_method
from sesameroute.routing._distances import Distances
from sesameroute.routing._messages import Holding
from sesameroute.routing._rendezvous import rank_names
from sesameroute.routing._subset import choose_connectors
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


class Geography(Distances):
    """Backend servers and their owners seen from one VM.

    It never changes; a new statement makes a new one.
    """

    @cached_method
    def list_service(self, service: str) -> tuple[Upstream, ...]:
        """Return the backend servers of a service."""
        return self.statement.list_upstreams(service)

    @cached_method
    def list_region(self, service: str, region: str) -> tuple[Upstream, ...]:
        """Return the backend servers of a service in a region."""
        return tuple(
            one
            for one in self.list_service(service)
            if self.find_region(one.domain) == region
        )

    @cached_method
    def list_far_regions(self, service: str) -> tuple[str, ...]:
        """Return the other regions that have backend servers of a service."""
        regions = dict.fromkeys(
            self.find_region(one.domain) for one in self.list_service(service)
        )
        regions.pop(self.region, None)
        return tuple(regions)

    @cached_method
    def list_near_tiers(self, service: str) -> tuple[tuple[Upstream, ...], ...]:
        """Return this region's backend servers, the nearest group first."""
        by_delay: dict[float, list[Upstream]] = {}
        for upstream in self.list_region(service, self.region):
            delay = self.measure_delay(upstream.domain)
            by_delay.setdefault(delay, []).append(upstream)
        return tuple(tuple(by_delay[delay]) for delay in sorted(by_delay))

    @cached_method
    def list_lenders(
        self,
        service: str,
        region: str,
        live: frozenset[str],
    ) -> tuple[str, ...]:
        """Return the first live owner of each backend server of a region."""
        lenders: dict[str, None] = {}
        for upstream in self.list_region(service, region):
            owners = [one for one in self.split(upstream.name) if one in live]
            lenders.update(dict.fromkeys(owners[:1]))
        lenders.pop(self.vm, None)
        return tuple(sorted(lenders, key=self.measure_vm_delay))

    @cached_method
    def list_standing(self, service: str) -> dict[str, tuple[Holding, ...]]:
        """Return by standby its slots of backend servers homed here."""
        standing: dict[str, tuple[Holding, ...]] = {}
        for upstream in self.list_service(service):
            home, *standbys = self.split(upstream.name).items()
            if home[0] == self.vm and standbys:
                standby, slots = standbys[0]
                known = standing.get(standby, ())
                standing[standby] = (*known, Holding(upstream.name, slots))
        return standing

    @cached_method
    def split(self, name: str) -> dict[str, int]:
        """Return the slots of a backend server by owner, home first."""
        return split_slots(self.statement, self.statement.upstreams[name])

    @cached_method
    def list_connectors(self, name: str) -> frozenset[str]:
        """Return the VMs that may connect to a backend server."""
        upstream = self.statement.upstreams[name]
        return frozenset(choose_connectors(self.statement, upstream))

    @cached_method
    def list_drained(self) -> frozenset[str]:
        """Return the backend servers that the statement's drains cover."""
        return frozenset(
            upstream.name
            for upstream in self.statement.upstreams.values()
            if is_drained(self.statement, upstream.name, upstream.domain)
        )

    @cached_method
    def measure_linger(self, service: str) -> float:
        """Return the longest time that work of a service goes on, seconds."""
        deadlines = [
            kind.deadline_ms
            for kind in self.statement.kinds.values()
            if kind.service == service
        ]
        return max(deadlines, default=0) / _MILLISECONDS
