"""Configuration of the nodes: routes, services and limits."""

from dataclasses import dataclass, field
from enum import StrEnum, unique

from sesameroute.tenants import Tenant

__all__ = [
    'CallerLimits',
    'Configuration',
    'ConfigurationOrigin',
    'RequestKind',
    'Route',
    'ServiceDefinition',
    'UnreadablePart',
    'WeightedService',
]


@unique
class RequestKind(StrEnum):
    """Kind of the requests on a route; decides whether they may be repeated.

    A request of kind `UNSAFE` or `UPLOAD` must not run more than once; the
    others may. Uploads have large bodies, downloads large answers.
    """

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    DOWNLOAD = 'download'
    UPLOAD = 'upload'

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self in {RequestKind.SAFE, RequestKind.DOWNLOAD}


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a traffic split and its weight.

    Attributes
    ----------
    weight : float
        Share of the requests, relative to the sum of the route's weights.

    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Services and conditions for requests to a host and path prefix.

    Attributes
    ----------
    parts : tuple of WeightedService
        Services that share the requests; a single one if there is no
        traffic split.
    timeout : float
        Maximum time in seconds until the final answer.
    latency_target : float
        Latency target in seconds; a later answer counts as late.
    priority : int
        Priority under overload; 0 is the highest.
    max_attempts : int
        Maximum number of backend servers to which one request may be sent.
    has_object_affinity : bool
        Whether a backend server is faster for objects that it has served
        before.
    homes : frozenset of str
        Regions that may serve the route; empty means all.
    is_anonymous : bool
        Whether requests need no tenant's key.

    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    parts: tuple[WeightedService, ...]
    timeout: float
    latency_target: float
    priority: int
    max_attempts: int
    has_object_affinity: bool
    homes: frozenset[str] = frozenset()
    is_anonymous: bool = False


@dataclass(frozen=True, slots=True)
class ServiceDefinition:
    """A service and the capacity of each of its backend servers.

    Attributes
    ----------
    health_path : str
        Path of the health check.
    max_connections : int
        Connections that one backend server accepts from all callers.
    cold_seconds : float
        Warm-up time after the start of a backend server.
    cold_rate : float
        Requests per second that a backend server can take while it warms
        up.

    """

    name: str
    health_path: str
    max_connections: int
    cold_seconds: float
    cold_rate: float


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on a caller's requests and connections.

    Attributes
    ----------
    header_bytes : int
        Maximum size of a request's header.
    body_bytes : int
        Maximum size of a request's body.
    header_seconds : float
        Timeout for reading the header of a request.
    idle_seconds : float
        Time after which an idle connection is closed.

    """

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class UnreadablePart:
    """A part of a configuration that this build does not understand.

    Nobody can say which requests it allows, so that those that it may be
    about are turned away instead of refused.

    Attributes
    ----------
    where : str
        Path of the part in the document.
    why : str
        What is wrong with it.
    host : str or None
        Host of the route or routes; None if that is not readable either.
    prefix : str or None
        Path prefix of the route; None if it is not readable, or if the part
        is a whole host.
    has_routes : bool
        Whether the part may hold routes.
    has_tenants : bool
        Whether the part may hold keys of tenants.

    """

    where: str
    why: str
    host: str | None = None
    prefix: str | None = None
    has_routes: bool = True
    has_tenants: bool = False


@dataclass(frozen=True, slots=True)
class ConfigurationOrigin:
    """Where a node has its configuration from.

    Attributes
    ----------
    position : int
        Packed position of the document in the store, see `mirror.Position`.
    source : str
        Address of the node that told of it; empty if this node has read it
        from the store.
    received_at : float
        Monotonic time in seconds.

    """

    position: int = 0
    source: str = ''
    received_at: float = 0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of all routes, services and limits.

    Attributes
    ----------
    version : int
        Number that is higher in a newer configuration.
    services : dict of str to ServiceDefinition
        Services by name.
    unreadable : tuple of UnreadablePart
        What this build does not understand; the rest is in force.
    tenants : tuple of Tenant
        Tenants; without any, requests need no keys.

    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceDefinition] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    origin: ConfigurationOrigin = ConfigurationOrigin()
    unreadable: tuple[UnreadablePart, ...] = ()
    tenants: tuple[Tenant, ...] = ()
