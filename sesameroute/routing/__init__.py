"""Look-ups, and the choice of region and backend server for requests."""

from sesameroute.routing._blocks import Block, BlockTable
from sesameroute.routing._lookup import Lookup, LookupAnswer, LookupEntry
from sesameroute.routing._rendezvous import rank_names
from sesameroute.routing._steering import SlotSteering
from sesameroute.routing._subset import (
    choose_connectors,
    choose_prober,
    count_connections,
)
from sesameroute.routing._topology import (
    Topology,
    is_drained,
    rank_owners,
    split_slots,
)
from sesameroute.routing._view import Digest, Headroom, Members

__all__ = [
    'Block',
    'BlockTable',
    'Digest',
    'Headroom',
    'Lookup',
    'LookupAnswer',
    'LookupEntry',
    'Members',
    'SlotSteering',
    'Topology',
    'choose_connectors',
    'choose_prober',
    'count_connections',
    'is_drained',
    'rank_names',
    'rank_owners',
    'split_slots',
]
