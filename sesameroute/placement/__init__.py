"""Places requests on backend servers: slots, objects, queues, regions."""

from sesameroute.placement._ask import (
    Ask,
    Grant,
    Outcome,
    Reason,
    Refusal,
    Release,
    Report,
)
from sesameroute.placement._choice import hash_key
from sesameroute.placement._plan import RegionLoad, RegionPlan
from sesameroute.placement._pool import Pool, PoolTerms
from sesameroute.placement._queue import Settle

__all__ = [
    'Ask',
    'Grant',
    'Outcome',
    'Pool',
    'PoolTerms',
    'Reason',
    'Refusal',
    'RegionLoad',
    'RegionPlan',
    'Release',
    'Report',
    'Settle',
    'hash_key',
]
