"""Decoder for the configuration of the operator.

The private models check the types of the JSON fields; they are then converted
to the types of `routes`.
"""

import msgspec

from sesameroute.exceptions import InputError, describe_error
from sesameroute.platform._field_types import (
    Count,
    Milliseconds,
    Name,
    PathPrefix,
    Rate,
    Seconds,
    Text,
    TimeLimit,
    Version,
    Weight,
)
from sesameroute.routes import (
    CallerLimits,
    Configuration,
    RequestKind,
    Route,
    ServiceDefinition,
    WeightedService,
)

__all__ = ['decode_configuration']

_MILLISECONDS = 1000
_VERSION_BASE = 16  # versions are hexadecimal numbers
_DECODING_ERRORS = (msgspec.MsgspecError, RecursionError, ValueError)


class _Split(msgspec.Struct):
    service: Name
    weight: Weight


class _Path(msgspec.Struct):
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
    traffic_split: list[_Split] = []


class _Host(msgspec.Struct):
    host: Text
    paths: list[_Path]


class _Service(msgspec.Struct):
    name: Name
    health_path: PathPrefix
    max_connections: Count
    cold_start_s: Seconds = 0
    cold_per_s: Rate = 1


class _Limits(msgspec.Struct):
    max_header_bytes: Count
    max_body_bytes: Count
    header_timeout_ms: TimeLimit
    idle_timeout_ms: TimeLimit


class _Configuration(msgspec.Struct):
    version: Version
    services: list[_Service]
    limits: _Limits
    virtual_hosts: list[_Host]


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
    except _DECODING_ERRORS as error:
        raise InputError(
            f'configuration is not valid: {describe_error(error)}'
        ) from error


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
