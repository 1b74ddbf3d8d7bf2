"""Registry of the backend servers listed by the platform."""

from sesameroute.registry._announcements import (
    MAX_PAUSE_SECONDS,
    Announcement,
    Announcements,
)
from sesameroute.registry._backend import Backend, BackendState
from sesameroute.registry._registry import (
    Registry,
    RegistryEntry,
    list_leaving,
)

__all__ = [
    'MAX_PAUSE_SECONDS',
    'Announcement',
    'Announcements',
    'Backend',
    'BackendState',
    'RegistryEntry',
    'Registry',
    'list_leaving',
]
