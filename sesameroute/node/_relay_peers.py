"""Nodes that can send requests in place of this one."""

import random

from sesameroute.forward import RelayPeer
from sesameroute.node._address import parse_address
from sesameroute.node._fleet import Fleet, NodeState

__all__ = ['RelayPeers']


class RelayPeers:
    """Finds live nodes that reach the backend servers.

    Implements `forward.RelayPeerFinder`.

    Parameters
    ----------
    fleet : Fleet
        The live nodes.

    """

    def __init__(self, fleet: Fleet) -> None:
        """Store the fleet."""
        self.fleet = fleet

    def has_any(self) -> bool:
        """Whether another node reaches the backend servers."""
        return bool(self._list_reaching())

    def choose(
        self, homes: frozenset[str], excluded: tuple[str, ...]
    ) -> RelayPeer | None:
        """Return a random node, one of the own region if possible."""
        candidates = [
            state
            for state in self._list_reaching()
            if state.relay
            and state.is_ready
            and state.address not in excluded
            and (not homes or state.region in homes)
        ]
        own_region = self.fleet.own_state.region
        near = [state for state in candidates if state.region == own_region]
        if not candidates:
            return None
        chosen = random.choice(near or candidates)
        return RelayPeer(chosen.address, parse_address(chosen.relay))

    def _list_reaching(self) -> list[NodeState]:
        others = self.fleet.list_live()[1:]
        return [state for state in others if state.reaches_servers]
