"""Data classes of the programs' settings."""

from dataclasses import dataclass, field
from enum import StrEnum, unique

from sesameroute.telemetry._log_format import LogFormat

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

_BYTES_PER_MEBIBYTE = 1_048_576
_DEFAULT_RECORD_BYTES = 67_108_864


@unique
class LogLevel(StrEnum):
    """Least severe level that is logged."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


@unique
class TraceExport(StrEnum):
    """Export format of sampled trace spans."""

    NONE = 'none'
    LINES = 'lines'
    OTLP = 'otlp'


@dataclass(frozen=True, slots=True)
class VmSettings:
    """The VM that the program runs on.

    Attributes
    ----------
    name : str
        Name of the VM in the statement.
    domain : str
        Failure domain of the VM.
    address : str
        IP address of the VM.

    """

    name: str
    domain: str
    address: str


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Access to the platform's key-value store.

    Attributes
    ----------
    url : str
        Base URL; empty if there is no store.
    key : str
        Key under which the institution's configuration is stored.
    timeout_ms : int
        Time-out of one call, in milliseconds.

    """

    url: str
    key: str
    timeout_ms: int = 2000


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Connections between the entry VMs.

    Attributes
    ----------
    key : str
        Pre-shared key of the HMAC handshake.
    addresses : tuple of (str, str)
        VM name and IP address of the peers that are contacted until a
        statement has been loaded.

    """

    key: str = field(repr=False)
    addresses: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class PortSettings:
    """TCP ports to listen on.

    Ports that the statement sets take effect after a restart.
    """

    entry: int = 8400
    lookup: int = 8401
    peer: int = 8402


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on a program's memory and threads.

    The request record holds the idempotency keys of requests and the answers
    that were given to them, to recognise repeated requests.

    Attributes
    ----------
    record_keys : int
        Maximum number of request keys in the request record.
    record_bytes : int
        Maximum size of the answers kept in the request record, in bytes.
    record_age_seconds : int
        Time for which a key and its answer are kept, in seconds.
    body_bytes : int
        Maximum size of a request body, in bytes.
    header_bytes : int
        Maximum size of a request's header block, in bytes.
    threads : int
        Number of threads that serve callers.

    """

    record_keys: int = 50_000
    record_bytes: int = _DEFAULT_RECORD_BYTES
    record_age_seconds: int = 600
    body_bytes: int = _BYTES_PER_MEBIBYTE
    header_bytes: int = 16_384
    threads: int = 64


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Access to the operators' HTTP pages.

    Attributes
    ----------
    token : str
        Bearer token that the pages require; if empty, they refuse everybody.
    urls : tuple of str
        Base URLs of the entry VMs that `sesamectl` asks when the store can't
        be read.

    """

    token: str = field(default='', repr=False)
    urls: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Format of the log lines, and the least severe level that is logged."""

    format: LogFormat = LogFormat.KEYVALUE
    level: LogLevel = LogLevel.INFO


@dataclass(frozen=True, slots=True)
class TraceSettings:
    """Sampling and export of request traces.

    Attributes
    ----------
    sample : float
        Fraction of the requests that is traced, from 0 to 1.
    export : TraceExport
        Export format of the spans.
    url : str
        URL of the OTLP collector; empty for the exporter's default.

    """

    sample: float = 0.01
    export: TraceExport = TraceExport.NONE
    url: str = ''


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a program.

    Attributes
    ----------
    vm, store, peers : VmSettings, StoreSettings, PeerSettings or None
        None if the file lacks the section.
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
