"""Spreads what one VM knows to the others."""

from sesameroute.gossip._gossip import Gossip, broadcast

__all__ = ['Gossip', 'broadcast']
