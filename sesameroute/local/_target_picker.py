"""Seeded random choice of the targets of faults."""

import random

from sesameroute.fakes import FakeUpstream
from sesameroute.local._deployment import Deployment
from sesameroute.local._vm import LocalVm

__all__ = ['TargetPicker']


class TargetPicker:
    """Picks VMs, servers, domains and regions of a deployment.

    Parameters
    ----------
    deployment : Deployment
        The running deployment.
    seed : int
        Seed of the choices.

    Attributes
    ----------
    faulty_vms : set of str
        Names of VMs that a fault affects now; they are not picked again.

    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        """Store the parameters."""
        self.deployment = deployment
        self.rng = random.Random(f'faults/{seed}')
        self.faulty_vms: set[str] = set()

    def pick_vm(self) -> LocalVm:
        """Return an entry VM that no fault affects."""
        vms = [
            vm
            for vm in self.deployment.vms.values()
            if vm.name not in self.faulty_vms
        ]
        return self.rng.choice(vms)

    def pick_upstream(self) -> FakeUpstream:
        """Return a running backend server."""
        running = [
            fake
            for fake in self.deployment.upstreams.values()
            if fake.is_running
        ]
        return self.rng.choice(running)

    def pick_domain(self) -> str:
        """Return a failure domain."""
        return self.rng.choice(self.deployment.statement.places.domains)

    def pick_region(self) -> str:
        """Return a region without the store, or any if there is only one."""
        places = self.deployment.statement.places
        other_regions = [
            name for name in places.regions if name != places.store_region
        ]
        return self.rng.choice(other_regions or list(places.regions))

    def list_vms(self, domains: tuple[str, ...]) -> tuple[str, ...]:
        """Return the names of all entry VMs in failure domains."""
        vms = self.deployment.vms.values()
        return tuple(vm.name for vm in vms if vm.domain in domains)

    def list_upstreams(self, domains: tuple[str, ...]) -> tuple[str, ...]:
        """Return the names of all backend servers in failure domains."""
        upstreams = self.deployment.statement.upstreams.values()
        return tuple(each.name for each in upstreams if each.domain in domains)
