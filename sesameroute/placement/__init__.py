"""Assigns requests to backend servers by free slots, cache and region."""

from sesameroute.placement._candidates import hash_key
from sesameroute.placement._messages import (
    Grant,
    Outcome,
    PoolReport,
    Reason,
    Refusal,
    Release,
    ServerLoad,
    SlotRequest,
)
from sesameroute.placement._pool import Pool, PoolIdentity
from sesameroute.placement._queue import SettleCallback
from sesameroute.placement._rehearsal import (
    PlacementQuery,
    Rehearsal,
    ServerView,
)
from sesameroute.placement._spillover import RegionLoad, SpilloverPlan
from sesameroute.placement._states import LimitShares

__all__ = [
    'SlotRequest',
    'Grant',
    'LimitShares',
    'Outcome',
    'PlacementQuery',
    'Pool',
    'PoolIdentity',
    'Reason',
    'Refusal',
    'RegionLoad',
    'Rehearsal',
    'Release',
    'PoolReport',
    'ServerLoad',
    'ServerView',
    'SettleCallback',
    'SpilloverPlan',
    'hash_key',
]
