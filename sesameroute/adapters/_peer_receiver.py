"""Receives frames from a socket that does not block."""

import socket

from sesameroute.adapters._peer_frames import Frame, FrameReader
from sesameroute.exceptions import PeerError
from sesameroute.ports import Clock

__all__ = ['FrameReceiver']

_CHUNK_BYTES = 65_536


class FrameReceiver:
    """Reads the frames of a stream and notes when something came.

    Parameters
    ----------
    connection : socket.socket
        Connected socket that does not block.
    key : bytes
        Key of this direction.
    clock : Clock
        Source of time.

    Attributes
    ----------
    last_received : float
        Monotonic time in seconds at which bytes last arrived.
    unanswered : int
        Calls without a reply since.

    """

    def __init__(
        self, connection: socket.socket, key: bytes, clock: Clock
    ) -> None:
        """Store the parameters."""
        self.clock = clock
        self.last_received = clock.read_monotonic()
        self.unanswered = 0
        self._connection = connection
        self._reader = FrameReader(key)
        self._has_failed = False
        self._listening_since = self.last_received

    def receive(self) -> list[Frame] | None:
        """Return the frames that are now complete; None if nothing came.

        Raises
        ------
        OSError
            The connection has failed or was closed.
        PeerError
            A frame is not valid.

        """
        try:
            received = self._connection.recv(_CHUNK_BYTES)
        except BlockingIOError:
            return None
        if not received:
            raise ConnectionError('closed by the peer')
        if self._has_failed:
            raise PeerError('a frame before was not valid')
        self.last_received = self.clock.read_monotonic()
        self.unanswered = 0
        # What follows a frame that was not valid is not trusted either.
        self._has_failed = True
        frames = self._reader.feed(received)
        self._has_failed = False
        return frames

    def skip(self, now: float) -> None:
        """Note that the socket is not read at present."""
        self._listening_since = now

    def measure_silence(self, now: float) -> float:
        """Return for how long, in seconds, nothing came while it was read."""
        return now - max(self.last_received, self._listening_since)
