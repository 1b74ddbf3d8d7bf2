"""Owners of slots, distances and drains, derived from a statement."""

import math

from sesameroute.routing._cached import cached_method
from sesameroute.routing._distances import Distances
from sesameroute.routing._messages import Holding
from sesameroute.routing._rendezvous import rank_names
from sesameroute.routing._subset import choose_connectors
from sesameroute.statement import DrainTarget, Statement, Upstream

__all__ = ['Topology', 'is_drained', 'rank_owners', 'split_slots']

# Fraction of an upstream's slots that its primary owner has; the standby
# owner has the rest.
_PRIMARY_FRACTION = 0.5
_OWNERS_PER_UPSTREAM = 2  # VMs that own slots of one backend server
_MILLISECONDS = 1000  # in a second


def rank_owners(statement: Statement, upstream: Upstream) -> tuple[str, ...]:
    """Return the owners of a backend server's slots, the primary first.

    VMs of its failure domain come first, then those of its region, then all
    others; within a group the order is by rendezvous hash. The result
    depends only on the statement and not on which VMs are alive, so nodes
    with different views of the fleet agree.
    """
    places = statement.places
    groups: dict[float, list[str]] = {}
    for vm in statement.vms.values():
        delay = places.measure_delay(vm.domain, upstream.domain)
        groups.setdefault(delay, []).append(vm.name)
    owners: list[str] = []
    for delay in sorted(groups):
        if len(owners) < _OWNERS_PER_UPSTREAM:
            owners.extend(rank_names(upstream.name, groups[delay]))
    return tuple(owners[:_OWNERS_PER_UPSTREAM])


def split_slots(statement: Statement, upstream: Upstream) -> dict[str, int]:
    """Return the number of slots that each owner has without a lease.

    Examples
    --------
    >>> from sesameroute.routing.tests import samples
    >>> sample = samples.build_statement()
    >>> sorted(split_slots(sample, sample.upstreams['tally-0']).values())
    [2, 2]

    """
    owners = rank_owners(statement, upstream)
    if len(owners) < _OWNERS_PER_UPSTREAM:
        return dict.fromkeys(owners, upstream.slots)
    primary_slots = math.ceil(upstream.slots * _PRIMARY_FRACTION)
    return dict(
        zip(
            owners, (primary_slots, upstream.slots - primary_slots), strict=True
        )
    )


def is_drained(statement: Statement, name: str, domain: str) -> bool:
    """Return whether the statement drains a VM or upstream."""
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


class Topology(Distances):
    """Backend servers and their owners, as seen from one VM.

    Immutable: a new statement gets a new object.
    """

    @cached_method
    def list_service_upstreams(self, service: str) -> tuple[Upstream, ...]:
        """Return the backend servers of a service."""
        return self.statement.list_upstreams(service)

    @cached_method
    def list_region_upstreams(
        self, service: str, region: str
    ) -> tuple[Upstream, ...]:
        """Return the backend servers of a service in a region."""
        return tuple(
            server
            for server in self.list_service_upstreams(service)
            if self.find_region(server.domain) == region
        )

    @cached_method
    def list_remote_regions(self, service: str) -> tuple[str, ...]:
        """Return the other regions that have backend servers of a service."""
        regions = dict.fromkeys(
            self.find_region(server.domain)
            for server in self.list_service_upstreams(service)
        )
        regions.pop(self.region, None)
        return tuple(regions)

    @cached_method
    def list_local_tiers(
        self, service: str
    ) -> tuple[tuple[Upstream, ...], ...]:
        """Return this region's backend servers by delay, nearest first."""
        by_delay: dict[float, list[Upstream]] = {}
        for upstream in self.list_region_upstreams(service, self.region):
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
        """Return each backend server's first live owner, except this VM.

        The nearest owner comes first.
        """
        lenders: dict[str, None] = {}
        for upstream in self.list_region_upstreams(service, region):
            owners = [
                owner
                for owner in self.split_by_owner(upstream.name)
                if owner in live
            ]
            lenders.update(dict.fromkeys(owners[:1]))
        lenders.pop(self.vm, None)
        return tuple(sorted(lenders, key=self.measure_vm_delay))

    @cached_method
    def list_standing(self, service: str) -> dict[str, tuple[Holding, ...]]:
        """Return the standby slots of upstreams whose primary is this VM.

        Maps each standby owner to its slots, which this VM, as the primary,
        holds on a long lease while both are alive.
        """
        standing: dict[str, tuple[Holding, ...]] = {}
        for upstream in self.list_service_upstreams(service):
            primary, *standbys = self.split_by_owner(upstream.name).items()
            if primary[0] == self.vm and standbys:
                standby, slots = standbys[0]
                holdings = standing.get(standby, ())
                standing[standby] = (*holdings, Holding(upstream.name, slots))
        return standing

    @cached_method
    def split_by_owner(self, name: str) -> dict[str, int]:
        """Return the slots of a backend server by owner, primary first."""
        return split_slots(self.statement, self.statement.upstreams[name])

    @cached_method
    def list_connectors(self, name: str) -> frozenset[str]:
        """Return the VMs that may connect to a backend server."""
        upstream = self.statement.upstreams[name]
        return frozenset(choose_connectors(self.statement, upstream))

    @cached_method
    def list_drained(self) -> frozenset[str]:
        """Return the backend servers that the statement drains."""
        return frozenset(
            upstream.name
            for upstream in self.statement.upstreams.values()
            if is_drained(self.statement, upstream.name, upstream.domain)
        )

    @cached_method
    def read_longest_deadline(self, service: str) -> float:
        """Return the longest deadline of a service's requests in seconds."""
        deadlines = [
            kind.deadline_ms
            for kind in self.statement.kinds.values()
            if kind.service == service
        ]
        return max(deadlines, default=0) / _MILLISECONDS
