"""Wire port: opens TCP connections; tests replace it by a fake network."""

import socket
from typing import Protocol

__all__ = ['TcpWire', 'Wire']


class Wire(Protocol):
    """Opens TCP connections from one of this machine's addresses."""

    def connect(
        self,
        source: str,
        target: tuple[str, int],
        timeout: float,
    ) -> socket.socket:
        """Return a connected socket.

        Parameters
        ----------
        source : str
            Local IP address to bind.
        target : tuple of (str, int)
            IP address and port.
        timeout : float
            Seconds to wait for the connection.

        Raises
        ------
        OSError
            The connection could not be opened: nothing was sent.

        """


class TcpWire:
    """Opens connections over the operating system's TCP stack."""

    def connect(
        self,
        source: str,
        target: tuple[str, int],
        timeout: float,
    ) -> socket.socket:
        """Return a connected socket with Nagle's algorithm switched off."""
        connection = socket.create_connection(
            target,
            timeout,
            source_address=(source, 0),
        )
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection
