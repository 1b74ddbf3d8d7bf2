"""Validated models of the sections of a settings file."""

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

__all__ = ['SECTIONS']

_LAST_PORT = 65_535
_MOST_COUNT = 10_000_000
_MOST_BYTES = 17_179_869_184
_MOST_SECONDS = 86_400
_MOST_MS = 60_000
_MOST_THREADS = 4096
_KEY_CHARACTERS = 16  # at least


def _split(text: Any) -> Any:
    """Split a comma-separated list; leave other types to pydantic."""
    if not isinstance(text, str):
        return text
    words = map(str.strip, text.split(','))
    return tuple(word for word in words if word)


def _split_pairs(text: Any) -> Any:
    """Split ``name=address`` pairs; leave other types to pydantic."""
    words = _split(text)
    if not isinstance(text, str):
        return words
    return tuple(tuple(word.split('=', maxsplit=1)) for word in words)


def _show_secret(secret: SecretStr) -> str:
    return secret.get_secret_value()


_Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
_Address = Annotated[IPvAnyAddress, PlainSerializer(str)]
_Port = Annotated[int, Field(ge=1, le=_LAST_PORT)]
_Bytes = Annotated[int, Field(ge=1, le=_MOST_BYTES)]
_Count = Annotated[int, Field(ge=1, le=_MOST_COUNT)]
_Url = Annotated[
    str,
    Field(pattern=r'^http://[0-9A-Za-z.\[\]:-]+(/[!-~]*)?$'),
    AfterValidator(lambda url: url.rstrip('/')),
]
_Urls = Annotated[tuple[_Url, ...], BeforeValidator(_split)]
_Pairs = Annotated[
    tuple[tuple[_Name, _Address], ...],
    BeforeValidator(_split_pairs),
]
_Token = Annotated[
    SecretStr,
    Field(min_length=_KEY_CHARACTERS),
    PlainSerializer(_show_secret),
]


class _Vm(Section):
    name: _Name
    domain: _Name
    address: _Address


class _Store(Section):
    url: _Url
    key: Annotated[str, Field(pattern='^[!-~]{1,200}$')]
    timeout_ms: Annotated[int, Field(ge=1, le=_MOST_MS)] | None = None


class _VmList(Section):
    url: _Url


class _Peers(Section):
    key: _Token
    addresses: _Pairs = ()


class _Ports(Section):
    entry: _Port | None = None
    lookup: _Port | None = None
    peer: _Port | None = None


class _Limits(Section):
    record_keys: _Count | None = None
    record_bytes: _Bytes | None = None
    record_age_seconds: Annotated[int, Field(ge=1, le=_MOST_SECONDS)] | None = (
        None
    )
    body_bytes: _Bytes | None = None
    header_bytes: _Bytes | None = None
    threads: Annotated[int, Field(ge=1, le=_MOST_THREADS)] | None = None


class _Operator(Section):
    token: _Token | None = None
    urls: _Urls = ()


class _Log(Section):
    format: LogFormat | None = None
    level: LogLevel | None = None


class _Trace(Section):
    sample: Annotated[float, Field(ge=0, le=1)] | None = None
    export: TraceExport | None = None
    url: _Url | None = None


SECTIONS = MappingProxyType(
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
