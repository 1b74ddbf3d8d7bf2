"""Accepts peer connections and authenticates them."""

import socket
import threading
from contextlib import suppress
from typing import TYPE_CHECKING

from sesameroute.adapters._peer_handshake import accept_handshake
from sesameroute.exceptions import PeerError

if TYPE_CHECKING:
    from sesameroute.adapters._peers import PeerNetwork

__all__ = ['PeerListener']

_BACKLOG = 128
_MAX_HANDSHAKES = 32
_MAX_STREAMS = 512
_ACCEPT_RETRY_SECONDS = 0.01


class PeerListener:
    """A listening socket with an accept thread and a thread per connection.

    Parameters
    ----------
    network : PeerNetwork
        Takes over each authenticated connection.

    """

    def __init__(self, network: 'PeerNetwork') -> None:
        """Store the parameters."""
        self.network = network
        self._is_stopping = threading.Event()
        self._server: socket.socket | None = None
        self._handshakes = threading.BoundedSemaphore(_MAX_HANDSHAKES)

    def start(self) -> None:
        """Listen; raise OSError when the address is taken."""
        self._server = socket.create_server(
            self.network.listen,
            backlog=_BACKLOG,
        )
        threading.Thread(
            target=self._accept,
            name='peer-accept',
            daemon=True,
        ).start()

    def stop(self) -> None:
        """Stop listening."""
        self._is_stopping.set()
        with suppress(OSError):
            self._server.shutdown(socket.SHUT_RDWR)
        self._server.close()

    def _accept(self) -> None:
        while not self._is_stopping.is_set():
            try:
                connection = self._server.accept()[0]
            except OSError:
                self._is_stopping.wait(_ACCEPT_RETRY_SECONDS)
                continue
            self._start_handshake(connection)

    def _start_handshake(self, connection: socket.socket) -> None:
        """Run the handshake in a thread, or close the connection.

        The connection is closed when too many handshakes are in progress or
        too many streams are open.
        """
        is_full = len(self.network.streams.list_streams()) >= _MAX_STREAMS
        if is_full or not self._handshakes.acquire(blocking=False):
            connection.close()
            return
        threading.Thread(
            target=self._serve,
            args=(connection,),
            name='peer-accepted',
            daemon=True,
        ).start()

    def _serve(self, connection: socket.socket) -> None:
        network = self.network
        try:
            session = accept_handshake(
                connection,
                network.identity,
                network.key,
            )
        except (PeerError, OSError):
            connection.close()
            return
        finally:
            self._handshakes.release()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        network.run_stream(connection, session)
