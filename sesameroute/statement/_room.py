"""What the drains of a statement leave."""

from functools import cached_property

from sesameroute.statement._model import (
    Drain,
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

    def _is_drained(self, target: DrainTarget, place: Vm | Upstream) -> bool:
        return any(
            self._covers(drain, target, place)
            for drain in self.statement.drains.values()
        )

    def _covers(
        self,
        drain: Drain,
        target: DrainTarget,
        place: Vm | Upstream,
    ) -> bool:
        subjects = {
            target: place.name,
            DrainTarget.DOMAIN: place.domain,
            DrainTarget.REGION: self.statement.places.find_region(
                place.domain,
            ),
        }
        return subjects.get(drain.target) == drain.subject
