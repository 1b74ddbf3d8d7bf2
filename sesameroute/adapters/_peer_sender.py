"""Sends frames on a socket that does not block."""

import socket
import threading

from sesameroute.adapters._peer_frames import MAX_FRAME_BYTES, FrameSigner

__all__ = ['FrameSender']

_MAX_PENDING_BYTES = 2 * MAX_FRAME_BYTES
_CHUNK_BYTES = 65_536


class FrameSender:
    """Signs frames and passes them to the kernel as it accepts them.

    Any thread may use it. What the kernel does not accept at once waits in a
    bounded buffer.

    Parameters
    ----------
    connection : socket.socket
        Connected socket that does not block.
    key : bytes
        Key of this direction.

    Attributes
    ----------
    last_sent : float
        Monotonic time in seconds at which a frame was last sent.

    """

    def __init__(self, connection: socket.socket, key: bytes) -> None:
        """Store the parameters."""
        self.last_sent: float = 0
        self._connection = connection
        self._signer = FrameSigner(key)
        self._pending = bytearray()
        self._progressed_at: float = 0
        self._lock = threading.Lock()

    @property
    def has_pending(self) -> bool:
        """Whether bytes wait until the kernel accepts them."""
        return bool(self._pending)

    def send(self, packed: bytes, now: float) -> bool:
        """Send a packed frame; return whether nothing waits then.

        Raises
        ------
        OSError
            The connection has failed, or too many bytes wait.

        """
        with self._lock:
            self.last_sent = now
            if not self._pending:
                self._progressed_at = now
            self._pending += self._signer.sign(packed)
            self._flush(now)
            return not self._pending

    def flush(self, now: float) -> None:
        """Pass the kernel what it accepts now."""
        with self._lock:
            self._flush(now)

    def measure_stall(self, now: float) -> float:
        """Return for how long, in seconds, nothing of what waits was sent."""
        return now - self._progressed_at if self._pending else 0

    def _flush(self, now: float) -> None:
        try:
            while self._pending:
                sent = self._connection.send(self._pending[:_CHUNK_BYTES])
                del self._pending[:sent]  # noqa: WPS420
                self._progressed_at = now
        except BlockingIOError as error:
            if len(self._pending) > _MAX_PENDING_BYTES:
                raise ConnectionError('too many bytes wait') from error
