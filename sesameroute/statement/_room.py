"""What the drains of a statement leave."""

from collections.abc import Mapping
from functools import cached_property

from sesameroute.statement._model import (
    DrainTarget,
    Statement,
    Upstream,
    Vm,
)

__all__ = ['Room']


class Room:
    """Entry VMs and backend servers that no drain empties.

    Parameters
    ----------
    statement : Statement
        A statement whose references are valid.

    """

    def __init__(self, statement: Statement) -> None:
        """Store the statement."""
        self.statement = statement

    @cached_property
    def vms(self) -> tuple[Vm, ...]:
        """The entry VMs that are left."""
        return tuple(
            vm
            for vm in self.statement.vms.values()
            if not self._is_drained(DrainTarget.VM, vm)
        )

    @cached_property
    def upstreams(self) -> tuple[Upstream, ...]:
        """The backend servers that are left."""
        return tuple(
            upstream
            for upstream in self.statement.upstreams.values()
            if not self._is_drained(DrainTarget.UPSTREAM, upstream)
        )

    def list_upstreams(self, service: str) -> tuple[Upstream, ...]:
        """Return the backend servers of a service that are left."""
        return tuple(
            upstream
            for upstream in self.upstreams
            if upstream.service == service
        )

    def count_slots(self, service: str, region: str = '') -> int:
        """Return the slots of a service that are left, in one region or all."""
        find_region = self.statement.places.find_region
        return sum(
            upstream.slots
            for upstream in self.list_upstreams(service)
            if region in {'', find_region(upstream.domain)}
        )

    @cached_property
    def _drained_names(self) -> Mapping[DrainTarget, frozenset[str]]:
        drains = self.statement.drains.values()
        return {
            target: frozenset(
                drain.subject for drain in drains if drain.target is target
            )
            for target in DrainTarget
        }

    @cached_property
    def _drained_domains(self) -> frozenset[str]:
        """Failure domains that are drained, alone or with their region."""
        regions = self._drained_names[DrainTarget.REGION]
        return self._drained_names[DrainTarget.DOMAIN].union(
            *(self.statement.places.regions[region] for region in regions),
        )

    def _is_drained(self, target: DrainTarget, place: Vm | Upstream) -> bool:
        is_named = place.name in self._drained_names[target]
        return is_named or place.domain in self._drained_domains
