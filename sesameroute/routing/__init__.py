"""Look-up and choice of region and backend server."""

from sesameroute.routing._blocks import Block, BlockTable
from sesameroute.routing._geography import (
    Geography,
    is_drained,
    rank_owners,
    split_slots,
)
from sesameroute.routing._lookup import Lookup, LookupAnswer, LookupEntry
from sesameroute.routing._rendezvous import rank_names
from sesameroute.routing._steering import SlotSteering
from sesameroute.routing._subset import (
    choose_connectors,
    choose_prober,
    count_connections,
)
from sesameroute.routing._view import Digest, Headroom, Members

__all__ = [
    'Block',
    'BlockTable',
    'Digest',
    'Geography',
    'Headroom',
    'Lookup',
    'LookupAnswer',
    'LookupEntry',
    'Members',
    'SlotSteering',
    'choose_connectors',
    'choose_prober',
    'count_connections',
    'is_drained',
    'rank_names',
    'rank_owners',
    'split_slots',
]
