"""Where addresses are, and how long bytes take between them."""

from collections.abc import Mapping
from dataclasses import dataclass

from sesameroute.statement import Places

__all__ = ['Geography', 'Site']

_MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class Site:
    """Place of an address; callers stand outside of the failure domain."""

    domain: str
    is_caller: bool = False


@dataclass(frozen=True, slots=True)
class Geography:
    """Sites by address.

    Attributes
    ----------
    places : Places
        Regions, failure domains and delays.
    sites : mapping of str to Site
        Known addresses; all others are near to everything.

    """

    places: Places
    sites: Mapping[str, Site]

    def measure_delay(self, source: str, target: str) -> float:
        """Return the one-way delay in seconds between two addresses."""
        start, end = self.sites.get(source), self.sites.get(target)
        if start is None or end is None:
            return 0
        delay = self.places.measure_delay(start.domain, end.domain)
        if start.is_caller or end.is_caller:
            delay += self.places.client_delay_ms / _MILLISECONDS
        return delay

    def find_domain(self, address: str) -> str:
        """Return the failure domain of an address; empty if unknown."""
        site = self.sites.get(address)
        return site.domain if site else ''

    def find_region(self, address: str) -> str:
        """Return the region of an address; empty if unknown."""
        domain = self.find_domain(address)
        return self.places.find_region(domain) if domain else ''
