"""Peer port: calls between the entry VMs of one institution."""

from collections.abc import Callable
from typing import Any, Protocol

__all__ = ['MessageHandler', 'Peers']

# Takes the sender's VM name and a message; returns the reply or None.
MessageHandler = Callable[[str, Any], Any]


class Peers(Protocol):
    """Streams to the other entry VMs."""

    def call(self, vm: str, message: Any, timeout: float) -> Any:
        """Send a message and return the reply.

        Raises
        ------
        PeerError
            No reply within `timeout` seconds; the peer may have acted.

        """

    def cast(self, vm: str, message: Any) -> bool:
        """Send a message without a reply; return whether it was queued."""

    def list_connected(self) -> tuple[str, ...]:
        """Return the names of the VMs with a live stream."""
