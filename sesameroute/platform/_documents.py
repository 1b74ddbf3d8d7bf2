"""Decoder for the configuration of the operator.

Each part is decoded by itself: one that this build does not understand leaves
the others in force.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import msgspec

from sesameroute.exceptions import InputError, describe_error
from sesameroute.platform._document_models import (
    HostDocument,
    LimitsDocument,
    PathDocument,
    ServiceDocument,
    TenantDocument,
    convert_limits,
    convert_route,
    convert_service,
    convert_tenant,
)
from sesameroute.platform._field_types import Version
from sesameroute.routes import (
    CallerLimits,
    Configuration,
    Route,
    ServiceDefinition,
    UnreadablePart,
)
from sesameroute.tenants import Tenant

__all__ = ['decode_configuration']

_VERSION_BASE = 16  # versions are hexadecimal numbers
_DECODING_ERRORS = (msgspec.MsgspecError, RecursionError, ValueError)


class _Configuration(msgspec.Struct):
    version: Version
    services: list[msgspec.Raw]
    limits: msgspec.Raw
    virtual_hosts: list[msgspec.Raw]
    tenants: msgspec.Raw = msgspec.Raw(b'[]')


def decode_configuration(content: bytes) -> Configuration:
    """Return the operator's configuration.

    Raises
    ------
    InputError
        The document as a whole is not valid. A part that is not valid is
        listed in the result.

    """
    try:
        document = msgspec.json.decode(content, type=_Configuration)
        return _convert_configuration(document)
    except _DECODING_ERRORS as error:
        raise InputError(
            f'configuration is not valid: {describe_error(error)}'
        ) from error


def _convert_configuration(document: _Configuration) -> Configuration:
    services = _decode_services(document.services)
    routes = list(_decode_hosts(document.virtual_hosts, services))
    tenants = list(_decode_tenants(document.tenants))
    limits = _decode_limits(document.limits)
    odd_limits = [limits] if isinstance(limits, UnreadablePart) else []
    return Configuration(
        int(document.version, _VERSION_BASE),
        tuple(part for part in routes if isinstance(part, Route)),
        services.known,
        CallerLimits() if odd_limits else limits,
        unreadable=(
            *odd_limits,
            *services.unreadable,
            *(
                part
                for part in (*routes, *tenants)
                if isinstance(part, UnreadablePart)
            ),
        ),
        tenants=tuple(part for part in tenants if isinstance(part, Tenant)),
    )


@dataclass(slots=True)
class _Services:
    """The services of a document, and those that are not understood."""

    known: dict[str, ServiceDefinition] = field(default_factory=dict)
    unreadable: list[UnreadablePart] = field(default_factory=list)
    unreadable_names: set[str | None] = field(default_factory=set)

    def check(self, name: str) -> None:
        """Raise ValueError if a route's service may be an unreadable one."""
        may_be_unnamed = None in self.unreadable_names and (
            name not in self.known
        )
        if may_be_unnamed or name in self.unreadable_names:
            raise ValueError(f'service {name} is not understood')


def _decode_services(parts: Iterable[msgspec.Raw]) -> _Services:
    services = _Services()
    for number, part in enumerate(parts):
        try:
            definition = msgspec.json.decode(part, type=ServiceDocument)
        except _DECODING_ERRORS as error:
            services.unreadable_names.add(_read_field(part, 'name'))
            services.unreadable.append(
                UnreadablePart(
                    f'services[{number}]',
                    describe_error(error),
                    has_routes=False,
                )
            )
        else:
            services.known[definition.name] = convert_service(definition)
    return services


def _decode_limits(part: msgspec.Raw) -> CallerLimits | UnreadablePart:
    try:
        limits = msgspec.json.decode(part, type=LimitsDocument)
    except _DECODING_ERRORS as error:
        return UnreadablePart('limits', describe_error(error), has_routes=False)
    return convert_limits(limits)


def _decode_tenants(part: msgspec.Raw) -> Iterator[Tenant | UnreadablePart]:
    try:
        parts = msgspec.json.decode(part, type=list[msgspec.Raw] | None)
    except _DECODING_ERRORS as error:
        yield _describe_tenants('tenants', error)
        return
    for number, each in enumerate(parts or ()):
        try:
            document = msgspec.json.decode(each, type=TenantDocument)
        except _DECODING_ERRORS as error:
            yield _describe_tenants(f'tenants[{number}]', error)
        else:
            yield convert_tenant(document)


def _describe_tenants(where: str, error: Exception) -> UnreadablePart:
    return UnreadablePart(
        where, describe_error(error), has_routes=False, has_tenants=True
    )


def _decode_hosts(
    parts: Iterable[msgspec.Raw], services: _Services
) -> Iterator[Route | UnreadablePart]:
    for number, part in enumerate(parts):
        where = f'virtual_hosts[{number}]'
        try:
            host = msgspec.json.decode(part, type=HostDocument)
        except _DECODING_ERRORS as error:
            yield UnreadablePart(
                where, describe_error(error), _read_field(part, 'host')
            )
        else:
            yield from _decode_paths(host, where, services)


def _decode_paths(
    host: HostDocument, where: str, services: _Services
) -> Iterator[Route | UnreadablePart]:
    for number, part in enumerate(host.paths):
        try:
            yield _decode_route(host.host, part, services)
        except _DECODING_ERRORS as error:
            yield UnreadablePart(
                f'{where}.paths[{number}]',
                describe_error(error),
                host.host,
                _read_field(part, 'path_prefix'),
            )


def _decode_route(host: str, part: msgspec.Raw, services: _Services) -> Route:
    route = convert_route(host, msgspec.json.decode(part, type=PathDocument))
    for share in route.parts:
        services.check(share.service)
    return route


def _read_field(part: msgspec.Raw, name: str) -> str | None:
    """Return one text of a part that is not valid as a whole."""
    try:
        fields = msgspec.json.decode(part, type=dict[str, msgspec.Raw])
        return msgspec.json.decode(fields.get(name, b''), type=str)
    except _DECODING_ERRORS:
        return None
