"""Seeded choices of what a fault hits."""

import random

from sesameroute.fakes import FakeUpstream
from sesameroute.local._deployment import Deployment
from sesameroute.local._vm import LocalVm

__all__ = ['Picks']


class Picks:
    """Picks parts of a deployment.

    Parameters
    ----------
    deployment : Deployment
        The running deployment.
    seed : int
        Seed of the choices.

    Attributes
    ----------
    sick : set of str
        Names of VMs that a fault has hit; others are picked.

    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        """Store the parameters."""
        self.deployment = deployment
        self.rng = random.Random(f'faults/{seed}')
        self.sick: set[str] = set()

    def pick_vm(self) -> LocalVm:
        """Return an entry VM that no fault has hit."""
        vms = [
            vm
            for vm in self.deployment.vms.values()
            if vm.name not in self.sick
        ]
        return self.rng.choice(vms)

    def pick_upstream(self) -> FakeUpstream:
        """Return a backend server that runs."""
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
        """Return a region in which the store does not stand."""
        places = self.deployment.statement.places
        away = [name for name in places.regions if name != places.store_region]
        return self.rng.choice(away or list(places.regions))

    def list_vms(self, domains: tuple[str, ...]) -> tuple[str, ...]:
        """Return the names of the entry VMs of failure domains."""
        vms = self.deployment.vms.values()
        return tuple(vm.name for vm in vms if vm.domain in domains)

    def list_upstreams(self, domains: tuple[str, ...]) -> tuple[str, ...]:
        """Return the names of the backend servers of failure domains."""
        upstreams = self.deployment.statement.upstreams.values()
        return tuple(each.name for each in upstreams if each.domain in domains)
