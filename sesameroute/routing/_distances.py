"""Regions of a statement and network delays from one VM."""

from typing import Any

from sesameroute.routing._cached import cached_method
from sesameroute.statement import Statement

__all__ = ['Distances']


class Distances:
    """Regions, and network delays from one VM.

    Parameters
    ----------
    statement : Statement
        The statement in force.
    vm : str
        Name of this VM.

    """

    def __init__(self, statement: Statement, vm: str) -> None:
        """Store the statement and find the region of this VM."""
        self.statement = statement
        self.vm = vm
        self.domain = statement.vms[vm].domain
        self.region = statement.places.find_region(self.domain)
        self.cache_: dict[tuple[Any, ...], Any] = {}

    @cached_method
    def find_region(self, domain: str) -> str:
        """Return the region of a failure domain."""
        return self.statement.places.find_region(domain)

    @cached_method
    def measure_delay(self, domain: str) -> float:
        """Return the one-way delay to a failure domain in seconds."""
        return self.statement.places.measure_delay(self.domain, domain)

    def measure_vm_delay(self, vm: str) -> float:
        """Return the one-way delay to a VM in seconds; 0 if unknown."""
        known = self.statement.vms.get(vm)
        return self.measure_delay(known.domain) if known else 0

    def is_local(self, domain: str) -> bool:
        """Return whether a failure domain is in this VM's region."""
        return self.find_region(domain) == self.region

    def is_local_vm(self, vm: str) -> bool:
        """Return whether a VM is in this VM's region."""
        known = self.statement.vms.get(vm)
        return known is not None and self.is_local(known.domain)

    @cached_method
    def list_region_vms(self, region: str) -> tuple[str, ...]:
        """Return the entry VMs that the statement lists in a region."""
        return tuple(
            vm.name
            for vm in self.statement.vms.values()
            if self.find_region(vm.domain) == region
        )
