"""The statement of one institution, as data classes."""

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
    """What the institution weighs most."""

    LATENCY = 'latency'
    HEADROOM = 'headroom'


@unique
class DrainTarget(StrEnum):
    """What a drain empties."""

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
        Region of the platform's key-value service.
    domain_delay_ms, region_delay_ms, client_delay_ms : float
        One-way delay in milliseconds between failure domains of one region,
        between regions, and from callers to their nearest failure domain.

    """

    regions: Mapping[str, tuple[str, ...]]
    store_region: str
    domain_delay_ms: float
    region_delay_ms: float
    client_delay_ms: float

    @property
    def domains(self) -> tuple[str, ...]:
        """All failure domains in the statement's order."""
        return tuple(name for group in self.regions.values() for name in group)

    def find_region(self, domain: str) -> str:
        """Return the region of a failure domain; raise KeyError if none."""
        for region, group in self.regions.items():
            if domain in group:
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
    """An entry VM: its name, failure domain and IP address."""

    name: str
    domain: str
    address: str


@dataclass(frozen=True, slots=True)
class Service:
    """A service; `trusts_shed` says that a shed answer is a true not-run."""

    name: str
    trusts_shed: bool = True


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request of one service.

    Attributes
    ----------
    weight : float
        Worth of one answered request in the weighted service.
    idempotent : bool
        Whether running it twice does no harm.
    heavy : bool
        Whether its answers are large and streamed.
    deadline_ms : int
        Longest time that a caller waits, in milliseconds.
    work_ms : float
        Usual time on a warm backend server, in milliseconds.
    answer_bytes : int
        Usual size of an answer, in bytes.
    share : float
        Part of the institution's requests that are of this kind.

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
    """A backend server: where it is and how much it takes at once."""

    name: str
    service: str
    domain: str
    address: str
    port: int
    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class Link:
    """One direction between two regions; `cap` is a part of `megabits`."""

    source: str
    target: str
    megabits: float
    cap: float = 0.8

    @property
    def bytes_per_second(self) -> float:
        """The cap in bytes a second."""
        return self.megabits * self.cap * _BYTES_PER_MEGABIT


@dataclass(frozen=True, slots=True)
class Drain:
    """An operator's wish that something gets no new work."""

    name: str
    target: DrainTarget
    subject: str


@dataclass(frozen=True, slots=True)
class Shift:
    """A move of traffic of one service between two regions.

    Attributes
    ----------
    fraction : float
        Part of the source region's requests that is moved in the end.
    cap : float
        Most requests moved in any second, over all entry VMs together.
    started : float
        Start as Unix time in seconds.
    seconds : float
        Duration of the ramp from nothing to `fraction`.

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
    """How the institution wants its limits weighed.

    Attributes
    ----------
    priority : Priority
        Latency first or headroom first.
    reserve : float
        Part of each region's slots held back from spilled work.
    retry_budget : float
        Retries allowed per first try, as a fraction.
    hedge_budget : float
        Hedged copies allowed per first try, as a fraction; 0 for none.
    queue_ms : int
        Longest wait for a slot, in milliseconds.
    lookup_ttl_ms : int
        Time for which callers may keep a look-up's answer.
    peak_rate : float
        Requests a second of all kinds at the stated peak; 0 if not stated.

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
    """All that one institution states about its services and limits.

    Attributes
    ----------
    institution : str
        Name of the institution.
    entry_port, lookup_port, peer_port : int
        TCP ports on every entry VM.

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
