"""Location of each address and the network delay between addresses."""

from collections.abc import Mapping
from dataclasses import dataclass

from sesameroute.statement import Places

__all__ = ['Geography', 'Site']

_MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class Site:
    """Location of an address.

    Attributes
    ----------
    domain : str
        Failure domain; for a caller, the one nearest to it.
    is_caller : bool
        Whether the address is a caller's. Callers are outside the failure
        domain and reach it with an additional delay.

    """

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
        Known addresses; the delay to any other address is 0.

    """

    places: Places
    sites: Mapping[str, Site]

    def measure_delay(self, source: str, target: str) -> float:
        """Return the one-way delay in seconds between two addresses."""
        source_site, target_site = (
            self.sites.get(source),
            self.sites.get(target),
        )
        if source_site is None or target_site is None:
            return 0
        delay = self.places.measure_delay(
            source_site.domain, target_site.domain
        )
        if source_site.is_caller or target_site.is_caller:
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
