"""Builder with which operators write a statement in Python."""

from collections.abc import Mapping
from ipaddress import ip_address
from itertools import cycle, islice
from typing import Any, Self

from sesameroute.exceptions import InputError
from sesameroute.statement._assembly import assemble_statement
from sesameroute.statement._model import DrainTarget, Statement

__all__ = ['StatementBuilder']


class _SectionCollector:
    """Collects sections by title and refuses duplicate titles."""

    _sections: dict[str, dict[str, Any]]

    def _add_section(
        self, section_type: str, name: str, fields: dict[str, Any]
    ) -> Self:
        title = f'{section_type} {name}'
        if title in self._sections:
            raise InputError(
                f'<builder>: [{title}]: section occurs more than once'
            )
        self._sections[title] = fields
        return self


class StatementBuilder(_SectionCollector):
    """Builds a statement; each call adds a section and returns the builder.

    Parameters
    ----------
    institution : str
        Name of the institution.
    **ports : int
        `entry_port`, `lookup_port` and `peer_port`, where they differ from
        the defaults of `Statement`.

    Notes
    -----
    `build` validates all values at once, with the same rules and messages
    as for a statement that is read from a file.

    Examples
    --------
    >>> statement = (
    ...     StatementBuilder('kalina')
    ...     .set_places('north', domain_delay_ms=1, region_delay_ms=12)
    ...     .add_region('north', 'north-a', 'north-b')
    ...     .set_policy(priority='headroom', reserve=0.25)
    ...     .add_vm('north-a-1', 'north-a', '127.20.1.11')
    ...     .add_vm('north-b-1', 'north-b', '127.20.2.11')
    ...     .add_service('order-desk')
    ...     .add_kind('batch-order', 'order-desk', idempotent=False)
    ...     .add_upstreams(
    ...         'order-desk',
    ...         count=4,
    ...         addresses={
    ...             'north-a': '127.20.1.100',
    ...             'north-b': '127.20.2.100',
    ...         },
    ...         port=9000,
    ...         slots=4,
    ...         connections=330,
    ...     )
    ...     .build()
    ... )
    >>> [upstream.address for upstream in statement.upstreams.values()]
    ['127.20.1.100', '127.20.2.100', '127.20.1.101', '127.20.2.101']

    """

    def __init__(self, institution: str, **ports: int) -> None:
        """Start with the institution and the default policy."""
        self.institution = institution
        self.ports = ports
        self._sections = {
            'institution': {'name': institution, **ports},
            'policy': {},
        }

    def set_places(
        self,
        store_region: str,
        *,
        domain_delay_ms: float = 0,
        region_delay_ms: float = 0,
        client_delay_ms: float = 0,
    ) -> Self:
        """Set the store's region and the one-way delays in milliseconds.

        Parameters
        ----------
        store_region : str
            Region of the platform's key-value store.
        domain_delay_ms : float, optional
            Delay between failure domains of one region.
        region_delay_ms : float, optional
            Delay between regions.
        client_delay_ms : float, optional
            Delay from callers to their nearest failure domain.

        """
        self._sections['places'] = {
            'store_region': store_region,
            'domain_delay_ms': domain_delay_ms,
            'region_delay_ms': region_delay_ms,
            'client_delay_ms': client_delay_ms,
        }
        return self

    def set_policy(self, **options: Any) -> Self:
        """Set fields of `Policy`, such as ``priority='latency'``."""
        self._sections['policy'] = options
        return self

    def add_region(self, name: str, *domains: str) -> Self:
        """Add a region with its failure domains."""
        return self._add_section('region', name, {'domains': domains})

    def add_vm(self, name: str, domain: str, address: str) -> Self:
        """Add an entry VM."""
        return self._add_section(
            'vm', name, {'domain': domain, 'address': address}
        )

    def add_service(self, name: str, **options: Any) -> Self:
        """Add a service; options are the fields of `Service`."""
        return self._add_section('service', name, options)

    def add_kind(self, name: str, service: str, **options: Any) -> Self:
        """Add a kind of request; options are the fields of `Kind`."""
        return self._add_section('kind', name, {'service': service, **options})

    def add_upstreams(
        self,
        service: str,
        *,
        count: int,
        addresses: Mapping[str, str],
        **options: int,
    ) -> Self:
        """Add backend servers, distributed round-robin over failure domains.

        Parameters
        ----------
        service : str
            Service of the backend servers.
        count : int
            Number of backend servers.
        addresses : mapping of str to str
            First IP address by failure domain; each further backend server
            of the domain gets the next address.
        **options : int
            `port`, `slots` and `connections` of each backend server.

        """
        domains = islice(cycle(addresses), count)
        for number, domain in enumerate(domains):
            offset = number // len(addresses)
            fields = {
                'service': service,
                'domain': domain,
                'address': str(ip_address(addresses[domain]) + offset),
                **options,
            }
            self._add_section('upstream', f'{service}-{number + 1}', fields)
        return self

    def add_link(
        self,
        first: str,
        second: str,
        megabits: float,
        cap: float | None = None,
    ) -> Self:
        """Add the link between two regions, in both directions.

        Parameters
        ----------
        first, second : str
            Names of the regions.
        megabits : float
            Bandwidth of each direction in megabits a second.
        cap : float, optional
            Fraction of the bandwidth that may be used, up to 1.

        """
        fields = {'megabits': megabits, 'cap': cap}
        self._add_section('link', f'{first} {second}', fields)
        return self._add_section('link', f'{second} {first}', fields)

    def add_drain(self, name: str, target: DrainTarget, subject: str) -> Self:
        """Add a drain of a VM, backend server, failure domain or region."""
        return self._add_section(
            'drain', name, {'target': target, 'subject': subject}
        )

    def add_shift(self, name: str, **options: Any) -> Self:
        """Add a shift of traffic; options are the fields of `Shift`."""
        return self._add_section('shift', name, options)

    def build(self) -> Statement:
        """Return the statement; raise InputError with all problems."""
        return assemble_statement(self._sections, '<builder>')
