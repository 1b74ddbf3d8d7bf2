"""Tenants: their keys, and their allowances over all nodes."""

from sesameroute.tenants._bounds import Allowance, QuotaBounds
from sesameroute.tenants._census import RegionCensus
from sesameroute.tenants._keys import Denial, TenantIndex, hash_keys
from sesameroute.tenants._ledger import AllowanceLedger
from sesameroute.tenants._messages import (
    AllowanceAsk,
    AllowanceGrant,
    AllowanceNeed,
    AllowanceQuery,
    AllowanceTransfer,
    AllowanceView,
)
from sesameroute.tenants._model import Tenant
from sesameroute.tenants._revocation import RevocationBounds

__all__ = [
    'Allowance',
    'AllowanceAsk',
    'AllowanceGrant',
    'AllowanceLedger',
    'AllowanceNeed',
    'AllowanceQuery',
    'AllowanceTransfer',
    'AllowanceView',
    'Denial',
    'QuotaBounds',
    'RegionCensus',
    'RevocationBounds',
    'Tenant',
    'TenantIndex',
    'hash_keys',
]
