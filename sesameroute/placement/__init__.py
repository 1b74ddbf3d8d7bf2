"""Assigns requests to backend servers by free slots, cache and region."""

from sesameroute.placement._hash_order import hash_key, rank_by_weight
from sesameroute.placement._messages import (
    NO_ANSWER,
    Grant,
    ObservedAnswer,
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
from sesameroute.placement._server_shares import compute_utilization
from sesameroute.placement._spillover import RegionLoad, SpilloverPlan
from sesameroute.placement._states import LimitShares
from sesameroute.placement._terms import PlacementTerms

__all__ = [
    'SlotRequest',
    'NO_ANSWER',
    'Grant',
    'ObservedAnswer',
    'LimitShares',
    'Outcome',
    'PlacementQuery',
    'PlacementTerms',
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
    'compute_utilization',
    'hash_key',
    'rank_by_weight',
]
