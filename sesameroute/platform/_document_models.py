"""Models of the parts of the operator's configuration, and their conversion.

The models check the types of the JSON fields; they are then converted to the
types of `routes`.
"""

import msgspec

from sesameroute.platform._field_types import (
    Count,
    Milliseconds,
    Name,
    PathPrefix,
    Rate,
    Seconds,
    TenantName,
    Text,
    TimeLimit,
    Weight,
)
from sesameroute.routes import (
    CallerLimits,
    RequestKind,
    Route,
    ServiceDefinition,
    WeightedService,
)
from sesameroute.tenants import Tenant

__all__ = [
    'HostDocument',
    'LimitsDocument',
    'PathDocument',
    'ServiceDocument',
    'TenantDocument',
    'convert_limits',
    'convert_route',
    'convert_service',
    'convert_tenant',
]

_MILLISECONDS = 1000


class SplitDocument(msgspec.Struct):
    """One service of a traffic split."""

    service: Name
    weight: Weight


class PathDocument(msgspec.Struct):
    """A route."""

    name: Name
    path_prefix: PathPrefix
    kind: RequestKind
    timeout_ms: TimeLimit
    target_latency_ms: Milliseconds
    priority: Count
    max_attempts: Count
    # Whether backend servers are faster for objects that they have served
    # before; callers are not bound to one backend server.
    session_affinity: bool = False
    # Regions that may serve the route; empty means all.
    allowed_regions: list[Name] = []
    service: Text | None = None
    traffic_split: list[SplitDocument] = []
    # Whether requests need no tenant's key.
    anonymous: bool = False


class HostDocument(msgspec.Struct):
    """A host with its routes, not decoded yet."""

    host: Text
    paths: list[msgspec.Raw]


class ServiceDocument(msgspec.Struct):
    """A service."""

    name: Name
    health_path: PathPrefix
    max_connections: Count
    cold_start_s: Seconds = 0
    cold_per_s: Rate = 1


class TenantDocument(msgspec.Struct):
    """A tenant."""

    name: TenantName
    api_keys: list[Name]
    priority: Count = 0
    # Requests per second; 0 means no limit.
    rate_per_s: Rate = 0
    burst: Rate = 0
    # Regions that may serve the tenant; empty means all.
    allowed_regions: list[Name] = []


class LimitsDocument(msgspec.Struct):
    """Limits on callers."""

    max_header_bytes: Count
    max_body_bytes: Count
    header_timeout_ms: TimeLimit
    idle_timeout_ms: TimeLimit


def convert_limits(document: LimitsDocument) -> CallerLimits:
    """Return the limits on callers."""
    return CallerLimits(
        document.max_header_bytes,
        document.max_body_bytes,
        document.header_timeout_ms / _MILLISECONDS,
        document.idle_timeout_ms / _MILLISECONDS,
    )


def convert_service(document: ServiceDocument) -> ServiceDefinition:
    """Return a service."""
    return ServiceDefinition(
        document.name,
        document.health_path,
        document.max_connections,
        document.cold_start_s,
        document.cold_per_s,
    )


def convert_tenant(document: TenantDocument) -> Tenant:
    """Return a tenant."""
    return Tenant(
        document.name,
        frozenset(document.api_keys),
        document.priority,
        document.rate_per_s,
        document.burst,
        frozenset(document.allowed_regions),
    )


def convert_route(host: str, path: PathDocument) -> Route:
    """Return a route; raise ValueError if it names no service."""
    parts = tuple(
        WeightedService(share.service, share.weight)
        for share in path.traffic_split
        if share.weight > 0
    )
    if path.service:
        parts = (WeightedService(path.service, 1),)
    if not parts:
        raise ValueError(f'route {path.name} names no service')
    return Route(
        path.name,
        host,
        path.path_prefix,
        path.kind,
        parts,
        path.timeout_ms / _MILLISECONDS,
        path.target_latency_ms / _MILLISECONDS,
        path.priority,
        max(path.max_attempts, 1),
        path.session_affinity,
        frozenset(path.allowed_regions),
        path.anonymous,
    )
