"""Keeps a stream to one peer open by reconnecting."""

import math
import random
import socket
from typing import TYPE_CHECKING

from sesameroute.adapters._peer_handshake import Session, dial_handshake
from sesameroute.adapters._peer_stream import PeerStream
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
    """Connects to a peer whenever no stream to it exists.

    It waits by timers of the loop; a thread of the network's pool opens the
    connection and runs the handshake.

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
        self._is_stopping = False
        self._is_dialing = False
        self._has_waited = False
        self._backoff = _MIN_BACKOFF_SECONDS
        self._timer = 0
        self._stream: PeerStream | None = None

    def start(self) -> None:
        """Connect in the next turn of the loop."""
        self._schedule(0)

    def stop(self) -> None:
        """Stop connecting, and close the stream opened by this dialer."""
        self._is_stopping = True
        stream = self._stream
        if stream:
            stream.close()

    def replace_stream(self) -> None:
        """Connect again soon, because a stream to the peer has closed."""
        if not self._is_dialing:
            self._schedule(self._choose_pause(_MIN_BACKOFF_SECONDS))

    def _schedule(self, seconds: float) -> None:
        """Check for a stream after a while, and not when planned before."""
        self._timer += 1
        timer = self._timer

        def check() -> None:
            if timer == self._timer and not self._is_stopping:
                self._check()

        self.network.carrier.loop.call_later(seconds, check)

    def _check(self) -> None:
        if self._may_wait():
            self._schedule(_STREAM_CHECK_SECONDS)
            return
        self._is_dialing = self.network.dial_workers.submit(self._run)
        if not self._is_dialing:
            self._schedule(self._choose_pause(_MAX_BACKOFF_SECONDS))

    def _may_wait(self) -> bool:
        """Whether there is a stream, or one that may still be confirmed."""
        streams = self.network.streams
        is_first = not self._has_waited
        self._has_waited = streams.has(self.name)
        return bool(streams.find(self.name)) or (self._has_waited and is_first)

    def _run(self) -> None:
        """Make an attempt, in a thread of the pool."""
        is_open = False
        if not self._is_stopping:
            with survive('peer connection'):
                is_open = self._dial()
        self.network.carrier.loop.call_soon(
            lambda: self._finish(is_open=is_open)
        )

    def _finish(self, *, is_open: bool) -> None:
        self._is_dialing = False
        if is_open and not self._stream.is_closed:
            self._backoff = _MIN_BACKOFF_SECONDS
            self._schedule(_STREAM_CHECK_SECONDS)
            return
        self._schedule(self._choose_pause(self._backoff))
        self._backoff = min(self._backoff * 2, _MAX_BACKOFF_SECONDS)

    def _choose_pause(self, seconds: float) -> float:
        # Jitter keeps the peers from reconnecting all at once when a failure
        # domain becomes reachable again.
        return seconds * (0.5 + random.random())

    def _dial(self) -> bool:
        """Open a stream; return whether that succeeded."""
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
        self._stream = network.carrier.open_stream(connection, session)
        if self._is_stopping:
            self.stop()
        return True

    def _run_handshake(self, connection: socket.socket) -> Session:
        network = self.network
        session = dial_handshake(connection, network.identity, network.key)
        if session.peer.sender != self.name:
            raise PeerError(
                f'expected peer {self.name}, got {session.peer.sender}'
            )
        return session
