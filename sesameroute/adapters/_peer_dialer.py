"""Keeps one stream to one peer by dialing again."""

import math
import random
import socket
import threading
from contextlib import suppress
from typing import TYPE_CHECKING

from sesameroute.adapters._peer_handshake import Session, dial_handshake
from sesameroute.exceptions import PeerError

if TYPE_CHECKING:
    from sesameroute.adapters._peers import PeerNetwork

__all__ = ['PeerDialer']

_CONNECT_SECONDS = 1.0
_MIN_PAUSE_SECONDS = 0.1
_MAX_PAUSE_SECONDS = 1.0
_CHECK_SECONDS = 1.0


class PeerDialer:
    """A thread that dials a peer whenever no stream to it is left.

    Parameters
    ----------
    network : PeerNetwork
        Runs the streams.
    name : str
        The peer's VM name.
    target : tuple of (str, int)
        Its IP address and port.

    Attributes
    ----------
    refused_ : float
        Monotonic time in seconds at which the last dial began that the
        peer's machine refused: no process listened there.

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
        self.refused_ = -math.inf
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
        """Dial no more and close the stream that was dialed."""
        self._is_stopping.set()
        connection = self._connection
        if connection:
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _run(self) -> None:
        pause = _MIN_PAUSE_SECONDS
        while not self._is_stopping.is_set():
            self.network.streams.wait_missing(self.name, _CHECK_SECONDS)
            if self.network.streams.find(self.name):
                continue
            was_connected = self._dial()
            if was_connected:
                pause = _MIN_PAUSE_SECONDS
            # Jitter keeps a healed domain's dials apart.
            self._is_stopping.wait(pause * (0.5 + self._random.random()))
            pause = min(pause * 2, _MAX_PAUSE_SECONDS)

    def _dial(self) -> bool:
        """Run one stream to its end; return whether there was one."""
        network = self.network
        started = network.clock.read_monotonic()
        try:
            connection = network.wire.connect(
                network.listen[0],
                self.target,
                _CONNECT_SECONDS,
            )
        except ConnectionRefusedError:
            self.refused_ = started
            return False
        except OSError:
            return False
        try:
            session = self._greet(connection)
        except (PeerError, OSError):
            connection.close()
            return False
        self._connection = connection
        if self._is_stopping.is_set():
            connection.close()
            return False
        network.run_stream(connection, session)
        return True

    def _greet(self, connection: socket.socket) -> Session:
        network = self.network
        session = dial_handshake(connection, network.identity, network.key)
        if session.peer.sender != self.name:
            raise PeerError(f'{self.name} is {session.peer.sender}')
        return session
