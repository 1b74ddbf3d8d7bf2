"""Repeats a VM's knowledge to its peers, one at a time."""

from typing import Any

from sesameroute.ports import Peers

__all__ = ['Gossip', 'broadcast']


def broadcast(peers: Peers, vm: str, message: Any) -> None:
    """Send a message to all peers of a VM."""
    for peer in _list_others(peers, vm):
        peers.send_one_way(peer, message)


class Gossip:
    """Repeats knowledge that a peer may have missed when it was news.

    News goes to the peers that are connected at the time. One that starts
    later, or was cut off, learns of it here. Subclasses build the message.

    Parameters
    ----------
    vm : str
        Name of this VM.
    peers : Peers
        Connections to the other VMs.

    """

    def __init__(self, vm: str, peers: Peers) -> None:
        """Store the parameters."""
        self.vm = vm
        self.peers = peers
        self._turn = 0

    def build_message(self) -> Any:
        """Return the message that tells what this VM knows, None if nothing."""
        raise NotImplementedError

    def share_with(self, vm: str) -> None:
        """Send the message to a peer."""
        message = self.build_message()
        if message is not None:
            self.peers.send_one_way(vm, message)

    def share_with_all(self) -> None:
        """Send the message to all peers."""
        message = self.build_message()
        if message is not None:
            broadcast(self.peers, self.vm, message)

    def share_with_next(self) -> None:
        """Send the message to one of the peers, a different one each time."""
        others = _list_others(self.peers, self.vm)
        if others:
            self._turn += 1
            self.share_with(others[self._turn % len(others)])


def _list_others(peers: Peers, vm: str) -> list[str]:
    return sorted(set(peers.list_connected()) - {vm})
