"""Routes, and the configuration in force that defines them."""

from sesameroute.routes._keeper import ActiveConfiguration
from sesameroute.routes._model import (
    CallerLimits,
    Configuration,
    ConfigurationOrigin,
    RequestKind,
    Route,
    ServiceDefinition,
    UnreadablePart,
    WeightedService,
)
from sesameroute.routes._split import SplitChooser
from sesameroute.routes._table import RouteTable

__all__ = [
    'CallerLimits',
    'Configuration',
    'ConfigurationOrigin',
    'ActiveConfiguration',
    'RequestKind',
    'Route',
    'RouteTable',
    'ServiceDefinition',
    'SplitChooser',
    'UnreadablePart',
    'WeightedService',
]
