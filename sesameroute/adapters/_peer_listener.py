"""Accepts peer connections and authenticates them."""

import selectors
import socket
from functools import partial
from typing import TYPE_CHECKING

from sesameroute.adapters._peer_handshake import accept_handshake
from sesameroute.adapters._peer_workers import PeerWorkers
from sesameroute.exceptions import PeerError

if TYPE_CHECKING:
    from sesameroute.adapters._peers import PeerNetwork

__all__ = ['PeerListener']

_BACKLOG = 512
_BATCH = 64  # connections accepted before streams are read
_HANDSHAKE_THREADS = 16
_MAX_HANDSHAKES = 128
_MAX_STREAMS = 1024
_RETRY_SECONDS = 0.1


class PeerListener:
    """A listening socket on the loop, and threads for handshakes.

    Parameters
    ----------
    network : PeerNetwork
        Takes over each authenticated connection.

    """

    def __init__(self, network: 'PeerNetwork') -> None:
        """Store the parameters."""
        self.network = network
        self._server: socket.socket | None = None
        self._handshakes = PeerWorkers(
            'peer-accepted', _HANDSHAKE_THREADS, _MAX_HANDSHAKES
        )

    def start(self) -> None:
        """Listen; raise OSError when the address is taken."""
        self._server = socket.create_server(
            self.network.listen,
            backlog=_BACKLOG,
        )
        self._server.setblocking(False)
        self.network.carrier.loop.call_soon(self._watch)

    def stop(self) -> None:
        """Stop listening, after the loop has ended."""
        self._handshakes.stop()
        if self._server:
            self._server.close()

    def _watch(self) -> None:
        self.network.carrier.loop.watch(
            self._server, selectors.EVENT_READ, self._accept
        )

    def _accept(self, _events: int) -> None:
        """Accept what waits; pause while no descriptor is left."""
        for _ in range(_BATCH):
            try:
                connection = self._server.accept()[0]
            except BlockingIOError:
                return
            except OSError:
                loop = self.network.carrier.loop
                loop.watch(self._server, 0, self._accept)
                loop.call_later(_RETRY_SECONDS, self._watch)
                return
            self._start_handshake(connection)

    def _start_handshake(self, connection: socket.socket) -> None:
        """Run the handshake in a thread, or close the connection.

        The connection is closed when too many handshakes are in progress or
        too many streams are open.
        """
        is_full = self.network.streams.count() >= _MAX_STREAMS
        serve = partial(self._serve, connection)
        if is_full or not self._handshakes.submit(serve):
            connection.close()

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
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        network.carrier.open_stream(connection, session)
