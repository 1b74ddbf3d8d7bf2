"""Documents of the operator and of backend servers, decoded once.

The models check types as they decode; the product gets its own types.
"""

import msgspec

from sesameroute.exceptions import InputError
from sesameroute.registry import Backend, BackendState
from sesameroute.routes import (
    CallerLimits,
    Configuration,
    RequestKind,
    Route,
    ServiceDefinition,
    SplitPart,
)

__all__ = ['decode_backend', 'decode_configuration']

_MILLISECONDS = 1000
_HEX = 16


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Path(msgspec.Struct):
    name: str
    path_prefix: str
    kind: RequestKind
    timeout_ms: float
    target_latency_ms: float
    priority: int
    max_attempts: int
    # Whether backend servers are faster on objects that they know; it does
    # not bind a caller to one server.
    session_affinity: bool = False
    # Regions that may serve the route; empty means all.
    allowed_regions: list[str] = []
    service: str | None = None
    traffic_split: list[_Split] = []


class _Host(msgspec.Struct):
    host: str
    paths: list[_Path]


class _Service(msgspec.Struct):
    name: str
    health_path: str
    max_connections: int
    cold_start_s: float = 0
    cold_per_s: float = 1


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Configuration(msgspec.Struct):
    version: str
    services: list[_Service]
    limits: _Limits
    virtual_hosts: list[_Host]


class _Backend(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: BackendState
    # How much longer the server stays slow after its start, at the time
    # of this heartbeat.
    cold_left_ms: float
    # Counts the server's heartbeats; it starts anew with each incarnation.
    sequence: int
    # Unix time of the server's start in milliseconds: its incarnation.
    born: int = 0


def decode_configuration(content: bytes) -> Configuration:
    """Return the operator's configuration; raise InputError."""
    try:
        wire = msgspec.json.decode(content, type=_Configuration)
        return _convert_configuration(wire)
    except (msgspec.MsgspecError, ValueError) as error:
        raise InputError(f'configuration is not valid: {error}') from error


def decode_backend(name: str, content: bytes) -> Backend:
    """Return a backend server's entry; raise InputError."""
    try:
        wire = msgspec.json.decode(content, type=_Backend)
        host, _, port = wire.address.rpartition(':')
        target = host, int(port)
    except (msgspec.MsgspecError, ValueError) as error:
        raise InputError(f'entry {name} is not valid: {error}') from error
    if wire.slots < 1 or not target[0]:
        raise InputError(
            f'entry {name} has {wire.slots} slots at {target[0]!r}'
        )
    return Backend(
        name,
        wire.service,
        target[0],
        target[1],
        wire.zone,
        wire.slots,
        wire.state,
        max(wire.cold_left_ms, 0) / _MILLISECONDS,
        wire.born,
    )


def _convert_configuration(wire: _Configuration) -> Configuration:
    limits = wire.limits
    return Configuration(
        int(wire.version, _HEX),
        tuple(
            _convert_route(host.host, path)
            for host in wire.virtual_hosts
            for path in host.paths
        ),
        {service.name: _convert_service(service) for service in wire.services},
        CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / _MILLISECONDS,
            limits.idle_timeout_ms / _MILLISECONDS,
        ),
    )


def _convert_service(wire: _Service) -> ServiceDefinition:
    return ServiceDefinition(
        wire.name,
        wire.health_path,
        wire.max_connections,
        wire.cold_start_s,
        wire.cold_per_s,
    )


def _convert_route(host: str, path: _Path) -> Route:
    parts = tuple(
        SplitPart(part.service, part.weight)
        for part in path.traffic_split
        if part.weight > 0
    )
    if path.service:
        parts = (SplitPart(path.service, 1),)
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
    )
