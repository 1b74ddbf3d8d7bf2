"""Keeps a stream to one peer open by reconnecting."""

import math
import random
import socket
import threading
from contextlib import suppress
from typing import TYPE_CHECKING

from sesameroute.adapters._peer_handshake import Session, dial_handshake
from sesameroute.exceptions import PeerError
from sesameroute.telemetry import survive

if TYPE_CHECKING:
    from sesameroute.adapters._peers import PeerNetwork

__all__ = ['PeerDialer']

_CONNECT_SECONDS = 1.0
_MIN_BACKOFF_SECONDS = 0.1
_MAX_BACKOFF_SECONDS = 1.0
_STREAM_CHECK_SECONDS = 1.0


class PeerDialer:
    """Connects to a peer, in a thread, whenever no stream to it exists.

    Parameters
    ----------
    network : PeerNetwork
        Takes over each authenticated connection.
    name : str
        The peer's VM name.
    target : tuple of (str, int)
        The peer's IP address and port.

    Attributes
    ----------
    last_refused_ : float
        Monotonic time in seconds at which the last attempt began that the
        peer's machine refused, because no process listened there; minus
        infinity if none was refused.

    """

    def __init__(
        self,
        network: 'PeerNetwork',
        name: str,
        target: tuple[str, int],
    ) -> None:
        """Store the parameters."""
        self.network = network
        self.name = name
        self.target = target
        self.last_refused_ = -math.inf
        self._is_stopping = threading.Event()
        self._random = random.Random()
        self._connection: socket.socket | None = None

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(
            target=self._run,
            name=f'peer-{self.name}',
            daemon=True,
        ).start()

    def stop(self) -> None:
        """Stop connecting, and close the stream opened by this dialer."""
        self._is_stopping.set()
        connection = self._connection
        if connection:
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _run(self) -> None:
        backoff = _MIN_BACKOFF_SECONDS
        while not self._is_stopping.is_set():
            self.network.streams.wait_until_absent(
                self.name, _STREAM_CHECK_SECONDS
            )
            if self.network.streams.find(self.name):
                continue
            with survive('peer connection'):
                if self._dial():
                    backoff = _MIN_BACKOFF_SECONDS
            # Jitter keeps the peers from reconnecting all at once when a
            # failure domain becomes reachable again.
            self._is_stopping.wait(backoff * (0.5 + self._random.random()))
            backoff = min(backoff * 2, _MAX_BACKOFF_SECONDS)

    def _dial(self) -> bool:
        """Run one stream until it closes; return whether one was opened."""
        network = self.network
        started = network.clock.read_monotonic()
        try:
            connection = network.wire.connect(
                network.listen[0],
                self.target,
                _CONNECT_SECONDS,
            )
        except ConnectionRefusedError:
            self.last_refused_ = started
            return False
        except OSError:
            return False
        try:
            session = self._run_handshake(connection)
        except (PeerError, OSError):
            connection.close()
            return False
        self._connection = connection
        if self._is_stopping.is_set():
            connection.close()
            return False
        network.run_stream(connection, session)
        return True

    def _run_handshake(self, connection: socket.socket) -> Session:
        network = self.network
        session = dial_handshake(connection, network.identity, network.key)
        if session.peer.sender != self.name:
            raise PeerError(
                f'expected peer {self.name}, got {session.peer.sender}'
            )
        return session
