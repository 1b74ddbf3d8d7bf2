"""The configuration of a dynamic fleet: routes, services and limits."""

from dataclasses import dataclass, field
from enum import StrEnum, unique

__all__ = [
    'CallerLimits',
    'Configuration',
    'RequestKind',
    'Route',
    'ServiceTerms',
    'SplitPart',
]


@unique
class RequestKind(StrEnum):
    """What may be repeated on a route."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    DOWNLOAD = 'download'

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self is not RequestKind.UNSAFE


@dataclass(frozen=True, slots=True)
class SplitPart:
    """A service's share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host and path prefix go, and their terms.

    Attributes
    ----------
    parts : tuple of SplitPart
        Services that share the requests; one without a split.
    timeout : float
        Longest time in seconds until a final answer.
    objective : float
        Time in seconds within which an answer is on time.
    priority : int
        Rank under overload; 0 is the highest.
    max_attempts : int
        Backend servers that one request may be sent to.
    is_sticky : bool
        Whether a backend server works faster on objects it knows.
    homes : frozenset of str
        Regions that may serve the route; empty means all.

    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    parts: tuple[SplitPart, ...]
    timeout: float
    objective: float
    priority: int
    max_attempts: int
    is_sticky: bool
    homes: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ServiceTerms:
    """What the backend servers of a service bear.

    Attributes
    ----------
    max_connections : int
        Connections that one backend server accepts from all callers.
    cold_seconds : float
        Time after its start in which a backend server is cold.
    cold_rate : float
        Requests per second that a cold backend server bears.

    """

    name: str
    health_path: str
    max_connections: int
    cold_seconds: float
    cold_rate: float


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send, in bytes and seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of all routes, services and limits."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceTerms] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
