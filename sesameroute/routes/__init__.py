"""Routes of a dynamic fleet and the configuration in force."""

from sesameroute.routes._keeper import ConfigurationKeeper
from sesameroute.routes._model import (
    CallerLimits,
    Configuration,
    RequestKind,
    Route,
    ServiceTerms,
    SplitPart,
)
from sesameroute.routes._split import SplitChooser
from sesameroute.routes._table import RouteTable

__all__ = [
    'CallerLimits',
    'Configuration',
    'ConfigurationKeeper',
    'RequestKind',
    'Route',
    'RouteTable',
    'ServiceTerms',
    'SplitChooser',
    'SplitPart',
]
