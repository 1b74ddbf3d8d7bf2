"""Registry of the backend servers listed by the platform."""

from sesameroute.registry._backend import Backend, BackendState
from sesameroute.registry._registry import RegistryEntry, Registry

__all__ = ['Backend', 'BackendState', 'RegistryEntry', 'Registry']
