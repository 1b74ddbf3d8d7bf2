"""Settings of the programs, as data classes."""

from dataclasses import dataclass, field
from enum import StrEnum, unique

from sesameroute.telemetry._form import LogFormat

__all__ = [
    'Limits',
    'LogFormat',
    'LogLevel',
    'LogSettings',
    'OperatorSettings',
    'PeerSettings',
    'PortSettings',
    'Settings',
    'StoreSettings',
    'TraceExport',
    'TraceSettings',
    'VmSettings',
]

_MEBIBYTE = 1_048_576
_RECORD_BYTES = 67_108_864


@unique
class LogLevel(StrEnum):
    """Lowest level that is logged."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


@unique
class TraceExport(StrEnum):
    """Where sampled spans go."""

    NONE = 'none'
    LINES = 'lines'
    OTLP = 'otlp'


@dataclass(frozen=True, slots=True)
class VmSettings:
    """The VM that the program runs on: name, failure domain, IP address."""

    name: str
    domain: str
    address: str


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The platform's key-value service.

    Attributes
    ----------
    url : str
        Base URL; empty if there is none.
    key : str
        Key of the institution's configuration.
    timeout_ms : int
        Longest wait for one call, in milliseconds.

    """

    url: str
    key: str
    timeout_ms: int = 2000


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Streams between the entry VMs.

    Attributes
    ----------
    key : str
        Shared key of the HMAC handshake.
    addresses : tuple of (str, str)
        VM name and IP address of peers to try before a statement is known.

    """

    key: str = field(repr=False)
    addresses: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class PortSettings:
    """TCP ports to listen on; a statement's ports come after a restart."""

    entry: int = 8400
    lookup: int = 8401
    peer: int = 8402


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of a program's memory and threads.

    Attributes
    ----------
    record_keys : int
        Most request keys in the request record.
    record_bytes : int
        Most bytes of kept answers in the request record.
    record_age_seconds : int
        Time for which a key and its answer are kept, in seconds.
    body_bytes : int
        Largest body of a request.
    header_bytes : int
        Largest header block of a request.
    threads : int
        Threads that serve callers.

    """

    record_keys: int = 50_000
    record_bytes: int = _RECORD_BYTES
    record_age_seconds: int = 600
    body_bytes: int = _MEBIBYTE
    header_bytes: int = 16_384
    threads: int = 64


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Access to the operators' pages; no token closes them.

    Attributes
    ----------
    token : str
        Bearer token that the pages ask for.
    urls : tuple of str
        Entry VMs that `sesamectl` asks when the store can't be read.

    """

    token: str = field(default='', repr=False)
    urls: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Form and level of the log lines."""

    format: LogFormat = LogFormat.KEYVALUE
    level: LogLevel = LogLevel.INFO


@dataclass(frozen=True, slots=True)
class TraceSettings:
    """Sampled part of the requests, and where their spans go."""

    sample: float = 0.01
    export: TraceExport = TraceExport.NONE
    url: str = ''


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a program; sections that it doesn't need are None.

    Attributes
    ----------
    vmlist_url : str
        URL of the platform's VM list; empty if there is none.

    """

    vm: VmSettings | None = None
    store: StoreSettings | None = None
    peers: PeerSettings | None = None
    vmlist_url: str = ''
    ports: PortSettings = PortSettings()
    limits: Limits = Limits()
    operator: OperatorSettings = OperatorSettings()
    log: LogSettings = LogSettings()
    trace: TraceSettings = TraceSettings()
