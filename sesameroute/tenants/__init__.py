"""Tenants: their keys, and their allowances over all nodes."""

from sesameroute.tenants._keys import Denial, TenantIndex
from sesameroute.tenants._model import Tenant

__all__ = [
    'Denial',
    'Tenant',
    'TenantIndex',
]
