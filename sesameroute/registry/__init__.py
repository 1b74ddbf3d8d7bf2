"""Registry of backend servers that come and go."""

from sesameroute.registry._backend import Backend, BackendState
from sesameroute.registry._registry import Entry, Registry

__all__ = ['Backend', 'BackendState', 'Entry', 'Registry']
