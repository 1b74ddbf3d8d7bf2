"""Pydantic models that validate the sections of a settings file."""

from types import MappingProxyType
from typing import Annotated, Any

from pydantic import (
    AfterValidator,
    BeforeValidator,
    Field,
    IPvAnyAddress,
    PlainSerializer,
    SecretStr,
)

from sesameroute.ini import Section
from sesameroute.settings._model import LogFormat, LogLevel, TraceExport

__all__ = ['SECTION_MODELS']

_MAX_PORT = 65_535
_MAX_COUNT = 10_000_000
_MAX_BYTES = 17_179_869_184
_MAX_SECONDS = 86_400
_MAX_TIMEOUT_MS = 60_000
_MAX_THREADS = 4096
_MIN_SECRET_CHARACTERS = 16


def _split_list(text: Any) -> Any:
    """Split a comma-separated list; pass other types on to pydantic."""
    if not isinstance(text, str):
        return text
    parts = map(str.strip, text.split(','))
    return tuple(part for part in parts if part)


def _split_named_addresses(text: Any) -> Any:
    """Split ``name=address`` pairs; pass other types on to pydantic."""
    parts = _split_list(text)
    if not isinstance(text, str):
        return parts
    return tuple(tuple(part.split('=', maxsplit=1)) for part in parts)


def _reveal_secret(secret: SecretStr) -> str:
    return secret.get_secret_value()


_Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
_Address = Annotated[IPvAnyAddress, PlainSerializer(str)]
_Port = Annotated[int, Field(ge=1, le=_MAX_PORT)]
_Bytes = Annotated[int, Field(ge=1, le=_MAX_BYTES)]
_Count = Annotated[int, Field(ge=1, le=_MAX_COUNT)]
_Url = Annotated[
    str,
    Field(pattern=r'^http://[0-9A-Za-z.\[\]:-]+(/[!-~]*)?$'),
    AfterValidator(lambda url: url.rstrip('/')),
]
_Urls = Annotated[tuple[_Url, ...], BeforeValidator(_split_list)]
_NamedAddresses = Annotated[
    tuple[tuple[_Name, _Address], ...],
    BeforeValidator(_split_named_addresses),
]
_Secret = Annotated[
    SecretStr,
    Field(min_length=_MIN_SECRET_CHARACTERS),
    PlainSerializer(_reveal_secret),
]


class _Vm(Section):
    name: _Name
    domain: _Name
    address: _Address


class _Store(Section):
    url: _Url
    key: Annotated[str, Field(pattern='^[!-~]{1,200}$')]
    timeout_ms: Annotated[int, Field(ge=1, le=_MAX_TIMEOUT_MS)] | None = None


class _VmList(Section):
    url: _Url


class _Peers(Section):
    key: _Secret
    addresses: _NamedAddresses = ()


class _Ports(Section):
    entry: _Port | None = None
    lookup: _Port | None = None
    peer: _Port | None = None


class _Limits(Section):
    record_keys: _Count | None = None
    record_bytes: _Bytes | None = None
    record_age_seconds: Annotated[int, Field(ge=1, le=_MAX_SECONDS)] | None = (
        None
    )
    body_bytes: _Bytes | None = None
    header_bytes: _Bytes | None = None
    threads: Annotated[int, Field(ge=1, le=_MAX_THREADS)] | None = None


class _Operator(Section):
    token: _Secret | None = None
    urls: _Urls = ()


class _Log(Section):
    format: LogFormat | None = None
    level: LogLevel | None = None


class _Trace(Section):
    sample: Annotated[float, Field(ge=0, le=1)] | None = None
    export: TraceExport | None = None
    url: _Url | None = None


# Model of each section by its title.
SECTION_MODELS = MappingProxyType(
    {
        'vm': _Vm,
        'store': _Store,
        'vmlist': _VmList,
        'peers': _Peers,
        'ports': _Ports,
        'limits': _Limits,
        'operator': _Operator,
        'log': _Log,
        'trace': _Trace,
    }
)
