"""Spreads what one VM knows to the others."""

from sesameroute.gossip._gossip import Gossip

__all__ = ['Gossip']
