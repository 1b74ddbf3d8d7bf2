"""Nodes that can send requests in place of this one."""

from sesameroute.node._fleet import Fleet, NodeState

__all__ = ['RelayPeers']


class RelayPeers:
    """Finds live nodes that reach the backend servers.

    Parameters
    ----------
    fleet : Fleet
        The live nodes.

    """

    def __init__(self, fleet: Fleet) -> None:
        """Store the fleet."""
        self.fleet = fleet

    def has_any(self) -> bool:
        """Whether there is any such node."""
        return bool(self._list_reaching())

    def _list_reaching(self) -> list[NodeState]:
        others = self.fleet.list_live()[1:]
        return [state for state in others if state.reaches_servers]
