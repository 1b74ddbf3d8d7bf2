"""Registry of the backend servers listed by the platform."""

from sesameroute.registry._backend import Backend, BackendState
from sesameroute.registry._registry import Registry, RegistryEntry

__all__ = ['Backend', 'BackendState', 'RegistryEntry', 'Registry']
