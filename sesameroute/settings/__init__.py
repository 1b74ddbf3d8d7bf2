"""Settings of the programs: INI files to data classes."""

from sesameroute.settings._model import (
    Limits,
    LogFormat,
    LogLevel,
    LogSettings,
    OperatorSettings,
    PeerSettings,
    PortSettings,
    Settings,
    StoreSettings,
    TraceExport,
    TraceSettings,
    VmSettings,
)
from sesameroute.settings._text import parse_settings, read_settings

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
    'parse_settings',
    'read_settings',
]
