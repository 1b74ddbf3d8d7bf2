"""Simulated network between callers, entry VMs and backend servers."""

from sesameroute.routing.tests.fleet import Fleet
from sesameroute.statement import Upstream

__all__ = ['Network']

_MILLISECONDS = 1000  # in a second


class Network:
    """Network delays and partitions of a fleet.

    Parameters
    ----------
    fleet : Fleet
        The entry VMs and the partitions between failure domains.

    """

    def __init__(self, fleet: Fleet) -> None:
        """Store the fleet."""
        self.fleet = fleet

    def measure_caller_delay(self, domain: str, vm: str) -> float:
        """Return the one-way delay from a caller to an entry VM in seconds."""
        places = self.fleet.statement.places
        delay = places.measure_delay(domain, self._find_domain(vm))
        return delay + places.client_delay_ms / _MILLISECONDS

    def measure_delay(self, vm: str, upstream: Upstream) -> float:
        """Return the one-way delay to a backend server in seconds."""
        places = self.fleet.statement.places
        return places.measure_delay(self._find_domain(vm), upstream.domain)

    def find_regions(self, vm: str, upstream: Upstream) -> tuple[str, str]:
        """Return the regions of an entry VM and of a backend server."""
        places = self.fleet.statement.places
        return (
            places.find_region(self._find_domain(vm)),
            places.find_region(upstream.domain),
        )

    def is_partitioned(self, vm: str, upstream: Upstream) -> bool:
        """Return whether a partition separates a VM from a backend server."""
        return self.fleet.is_partitioned(self._find_domain(vm), upstream.domain)

    def _find_domain(self, vm: str) -> str:
        vms = self.fleet.statement.vms
        return vms[vm].domain
