"""Decoders for the documents of the operator and of backend servers.

The private models check the types of the JSON fields; they are then converted
to the types of `routes` and `registry`.
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
    WeightedService,
)

__all__ = ['decode_backend', 'decode_configuration']

_MILLISECONDS = 1000
_VERSION_BASE = 16  # versions are hexadecimal numbers


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
    # Whether backend servers are faster for objects that they have served
    # before; callers are not bound to one backend server.
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
    # Remaining warm-up time after the server's start, as of this heartbeat.
    cold_left_ms: float
    # Number of heartbeats that this incarnation has written.
    sequence: int
    # Unix time of the server's start in milliseconds; used as the number of
    # the incarnation.
    born: int = 0


def decode_configuration(content: bytes) -> Configuration:
    """Return the operator's configuration.

    Raises
    ------
    InputError
        The document is not valid.

    """
    try:
        document = msgspec.json.decode(content, type=_Configuration)
        return _convert_configuration(document)
    except (msgspec.MsgspecError, ValueError) as error:
        raise InputError(f'configuration is not valid: {error}') from error


def decode_backend(name: str, content: bytes) -> Backend:
    """Return a backend server from its entry in the store.

    Raises
    ------
    InputError
        The document is not valid.

    """
    try:
        document = msgspec.json.decode(content, type=_Backend)
        host, _, port = document.address.rpartition(':')
        target = host, int(port)
    except (msgspec.MsgspecError, ValueError) as error:
        raise InputError(f'entry {name} is not valid: {error}') from error
    if document.slots < 1 or not target[0]:
        raise InputError(
            f'entry {name} needs a slot and a host, '
            f'got {document.slots} slots at host {target[0]!r}'
        )
    return Backend(
        name,
        document.service,
        target[0],
        target[1],
        document.zone,
        document.slots,
        document.state,
        max(document.cold_left_ms, 0) / _MILLISECONDS,
        document.born,
    )


def _convert_configuration(document: _Configuration) -> Configuration:
    limits = document.limits
    return Configuration(
        int(document.version, _VERSION_BASE),
        tuple(
            _convert_route(host.host, path)
            for host in document.virtual_hosts
            for path in host.paths
        ),
        {
            service.name: _convert_service(service)
            for service in document.services
        },
        CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / _MILLISECONDS,
            limits.idle_timeout_ms / _MILLISECONDS,
        ),
    )


def _convert_service(document: _Service) -> ServiceDefinition:
    return ServiceDefinition(
        document.name,
        document.health_path,
        document.max_connections,
        document.cold_start_s,
        document.cold_per_s,
    )


def _convert_route(host: str, path: _Path) -> Route:
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
    )
