"""VMs, backend servers and slots of a statement that are not drained."""

from collections.abc import Mapping
from functools import cached_property

from sesameroute.statement._model import (
    DrainTarget,
    Statement,
    Upstream,
    Vm,
)

__all__ = ['UndrainedCapacity']


class UndrainedCapacity:
    """Entry VMs and backend servers that are not drained.

    A drain of a failure domain or region covers everything in it.

    Parameters
    ----------
    statement : Statement
        A statement whose references are valid; see `find_inconsistencies`.

    """

    def __init__(self, statement: Statement) -> None:
        """Store the statement."""
        self.statement = statement

    @cached_property
    def vms(self) -> tuple[Vm, ...]:
        """The entry VMs that are not drained."""
        return tuple(
            vm
            for vm in self.statement.vms.values()
            if not self._is_drained(DrainTarget.VM, vm)
        )

    @cached_property
    def upstreams(self) -> tuple[Upstream, ...]:
        """The backend servers that are not drained."""
        return tuple(
            upstream
            for upstream in self.statement.upstreams.values()
            if not self._is_drained(DrainTarget.UPSTREAM, upstream)
        )

    def list_upstreams(self, service: str) -> tuple[Upstream, ...]:
        """Return the backend servers of a service that are not drained."""
        return tuple(
            upstream
            for upstream in self.upstreams
            if upstream.service == service
        )

    def count_slots(self, service: str, region: str = '') -> int:
        """Return the number of undrained slots of a service.

        Parameters
        ----------
        service : str
            Name of the service.
        region : str, optional
            Region whose slots are counted; all regions if empty.

        """
        find_region = self.statement.places.find_region
        return sum(
            upstream.slots
            for upstream in self.list_upstreams(service)
            if region in {'', find_region(upstream.domain)}
        )

    @cached_property
    def _drained_names(self) -> Mapping[DrainTarget, frozenset[str]]:
        """Names given in the drains, by what they name."""
        drains = self.statement.drains.values()
        return {
            target: frozenset(
                drain.subject for drain in drains if drain.target is target
            )
            for target in DrainTarget
        }

    @cached_property
    def _drained_domains(self) -> frozenset[str]:
        """Failure domains drained by name or as part of a region."""
        regions = self._drained_names[DrainTarget.REGION]
        return self._drained_names[DrainTarget.DOMAIN].union(
            *(self.statement.places.regions[region] for region in regions),
        )

    def _is_drained(self, target: DrainTarget, server: Vm | Upstream) -> bool:
        is_named = server.name in self._drained_names[target]
        return is_named or server.domain in self._drained_domains
