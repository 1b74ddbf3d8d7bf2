"""Reports connections to backend servers that are opened, or fail."""

import socket

from sesameroute.ports import Wire
from sesameroute.reachability._reachability import Reachability

__all__ = ['ObservedWire']


class ObservedWire:
    """Opens connections and notes whether that worked.

    Parameters
    ----------
    wire : Wire
        Opens the connections.
    reachability : Reachability
        Notes the results.

    """

    def __init__(self, wire: Wire, reachability: Reachability) -> None:
        """Store the parameters."""
        self.wire = wire
        self.reachability = reachability

    def connect(
        self,
        source: str,
        target: tuple[str, int],
        timeout: float,
    ) -> socket.socket:
        """Return a connected socket, as `ports.Wire.connect`."""
        try:
            connection = self.wire.connect(source, target, timeout)
        except OSError:
            self.reachability.observe_failed(target)
            raise
        self.reachability.observe_opened()
        return connection
