"""Settings of the programs, read from INI files into data classes."""

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
from sesameroute.settings._parser import parse_settings, read_settings

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
