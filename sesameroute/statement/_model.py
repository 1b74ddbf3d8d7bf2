"""Data classes of an institution's statement."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum, unique

__all__ = [
    'Drain',
    'DrainTarget',
    'Kind',
    'Link',
    'Places',
    'Policy',
    'Priority',
    'Service',
    'Shift',
    'Statement',
    'Upstream',
    'Vm',
]

_MILLISECONDS = 1000  # in a second
_BYTES_PER_MEGABIT = 125_000


@unique
class Priority(StrEnum):
    """Whether the institution prefers low latency or spare capacity."""

    LATENCY = 'latency'
    HEADROOM = 'headroom'


@unique
class DrainTarget(StrEnum):
    """Type of the object that is drained."""

    UPSTREAM = 'upstream'
    VM = 'vm'
    DOMAIN = 'domain'
    REGION = 'region'


@dataclass(frozen=True, slots=True)
class Places:
    """Regions, failure domains and the delays between them.

    Attributes
    ----------
    regions : mapping of str to tuple of str
        Failure domains by region.
    store_region : str
        Region of the platform's key-value store.
    domain_delay_ms : float
        One-way delay between failure domains of one region, in
        milliseconds.
    region_delay_ms : float
        One-way delay between regions, in milliseconds.
    client_delay_ms : float
        One-way delay from callers to their nearest failure domain, in
        milliseconds.

    """

    regions: Mapping[str, tuple[str, ...]]
    store_region: str
    domain_delay_ms: float
    region_delay_ms: float
    client_delay_ms: float

    @property
    def domains(self) -> tuple[str, ...]:
        """All failure domains, in the order of the statement."""
        return tuple(
            name
            for domains_of_region in self.regions.values()
            for name in domains_of_region
        )

    def find_region(self, domain: str) -> str:
        """Return the region of a failure domain.

        Raises
        ------
        KeyError
            No region has this failure domain.

        """
        for region, domains_of_region in self.regions.items():
            if domain in domains_of_region:
                return region
        raise KeyError(domain)

    def measure_delay(self, source: str, target: str) -> float:
        """Return the one-way delay in seconds between two failure domains."""
        if source == target:
            return 0
        if self.find_region(source) == self.find_region(target):
            return self.domain_delay_ms / _MILLISECONDS
        return self.region_delay_ms / _MILLISECONDS


@dataclass(frozen=True, slots=True)
class Vm:
    """An entry VM: its name, failure domain and IP address.

    Entry VMs receive requests and forward them to backend servers.
    """

    name: str
    domain: str
    address: str


@dataclass(frozen=True, slots=True)
class Service:
    """A service that backend servers offer.

    Attributes
    ----------
    trusts_shed : bool
        Whether a request that a backend server refuses as shed load counts
        as not run, so that it may safely be retried.

    """

    name: str
    trusts_shed: bool = True


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request of one service.

    Attributes
    ----------
    weight : float
        Weight of one answered request in the figure `weighted_service` of
        local runs.
    idempotent : bool
        Whether a request may be executed twice without harm.
    heavy : bool
        Whether answers are large and therefore streamed.
    deadline_ms : int
        Time for which callers wait for an answer, in milliseconds.
    work_ms : float
        Typical processing time on a warm backend server, in milliseconds.
    answer_bytes : int
        Typical size of an answer, in bytes.
    share : float
        Share of this kind in the institution's requests, relative to the
        shares of the other kinds.

    """

    name: str
    service: str
    weight: float = 1
    idempotent: bool = True
    heavy: bool = False
    deadline_ms: int = 2000
    work_ms: float = 10
    answer_bytes: int = 1000
    share: float = 1


@dataclass(frozen=True, slots=True)
class Upstream:
    """A backend server.

    Attributes
    ----------
    name, service, domain : str
        Names of the backend server, its service and its failure domain.
    address : str
        IP address.
    port : int
        TCP port.
    slots : int
        Requests that it can work on at the same time.
    connections : int
        Connections that it accepts at the same time.

    """

    name: str
    service: str
    domain: str
    address: str
    port: int
    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class Link:
    """One direction of the link between two regions.

    Attributes
    ----------
    source, target : str
        Names of the regions.
    megabits : float
        Bandwidth in megabits a second.
    cap : float
        Fraction of the bandwidth that may be used.

    """

    source: str
    target: str
    megabits: float
    cap: float = 0.8

    @property
    def bytes_per_second(self) -> float:
        """Usable bandwidth in bytes a second."""
        return self.megabits * self.cap * _BYTES_PER_MEGABIT


@dataclass(frozen=True, slots=True)
class Drain:
    """An operator's order to send no new requests to something.

    Attributes
    ----------
    name : str
        Name of the drain itself.
    target : DrainTarget
        Whether `subject` is a backend server, VM, failure domain or region.
    subject : str
        Name of what is drained.

    """

    name: str
    target: DrainTarget
    subject: str


@dataclass(frozen=True, slots=True)
class Shift:
    """A gradual shift of a service's traffic from one region to another.

    Attributes
    ----------
    name : str
        Name of the shift itself.
    service : str
        Service whose traffic is shifted.
    source, target : str
        Regions that the traffic is moved from and to.
    fraction : float
        Fraction of the source region's requests that is moved at the end of
        the ramp.
    cap : float
        Maximum number of requests moved in any second, over all entry VMs
        together.
    started : float
        Start of the ramp as Unix time in seconds.
    seconds : float
        Duration of the linear ramp from 0 to `fraction`, in seconds.

    """

    name: str
    service: str
    source: str
    target: str
    fraction: float
    cap: float
    started: float
    seconds: float


@dataclass(frozen=True, slots=True)
class Policy:
    """Policy of an institution for trade-offs and budgets.

    Attributes
    ----------
    priority : Priority
        Whether low latency or spare capacity is preferred.
    reserve : float
        Fraction of each region's slots that requests from other regions
        can't use.
    retry_budget : float
        Maximum ratio of retries to first tries.
    hedge_budget : float
        Maximum ratio of hedged requests to first tries; 0 turns hedging
        off.
    queue_ms : int
        Maximum wait for a slot, in milliseconds.
    lookup_ttl_ms : int
        Time for which callers may cache a look-up's answer, in
        milliseconds.
    peak_rate : float
        Requests a second of all kinds at peak load; 0 if not stated.

    """

    priority: Priority = Priority.LATENCY
    reserve: float = 0.1
    retry_budget: float = 0.1
    hedge_budget: float = 0.05
    queue_ms: int = 300
    lookup_ttl_ms: int = 2000
    peak_rate: float = 0


@dataclass(frozen=True, slots=True)
class Statement:
    """The configuration of one institution's services and limits.

    Attributes
    ----------
    institution : str
        Name of the institution.
    entry_port, lookup_port, peer_port : int
        TCP ports on every entry VM for requests, look-ups and connections
        between entry VMs.

    """

    institution: str
    places: Places
    policy: Policy
    vms: Mapping[str, Vm]
    services: Mapping[str, Service]
    kinds: Mapping[str, Kind]
    upstreams: Mapping[str, Upstream]
    links: tuple[Link, ...] = ()
    drains: Mapping[str, Drain] = field(default_factory=dict)
    shifts: Mapping[str, Shift] = field(default_factory=dict)
    entry_port: int = 8400
    lookup_port: int = 8401
    peer_port: int = 8402

    def list_vms(self, domain: str) -> tuple[Vm, ...]:
        """Return the entry VMs of a failure domain."""
        return tuple(vm for vm in self.vms.values() if vm.domain == domain)

    def list_upstreams(self, service: str) -> tuple[Upstream, ...]:
        """Return the backend servers of a service."""
        return tuple(
            upstream
            for upstream in self.upstreams.values()
            if upstream.service == service
        )
