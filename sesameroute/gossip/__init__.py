"""Spreads what one VM knows to the others."""

from sesameroute.gossip._gossip import Gossip, broadcast
from sesameroute.gossip._intervals import (
    choose_heartbeat_interval,
    choose_list_interval,
    choose_silence_limit,
)

__all__ = [
    'Gossip',
    'broadcast',
    'choose_heartbeat_interval',
    'choose_list_interval',
    'choose_silence_limit',
]
