"""One peer stream: sends without waiting, finds silence and slow readers."""

import select
import socket
import threading
from collections.abc import Iterator
from contextlib import suppress

from sesameroute.adapters._peer_frames import (
    MAX_FRAME_BYTES,
    Frame,
    FrameKind,
    FrameReader,
    FrameSealer,
    pack_frame,
)
from sesameroute.adapters._peer_handshake import Session
from sesameroute.exceptions import PeerError
from sesameroute.ports import Clock, PeerIdentity

__all__ = ['PeerStream']

BEAT_SECONDS = 1.0
SILENCE_SECONDS = 2.8
MAX_UNANSWERED = 2  # calls in a row, with nothing heard meanwhile

_MAX_PENDING_BYTES = 2 * MAX_FRAME_BYTES
_CHUNK_BYTES = 65_536
_MILLISECONDS = 1000  # in a second


class PeerStream:
    """A connection after the handshake.

    Any thread may `send`; one thread reads with `receive`; the network's
    ticking thread calls `tick`. What the kernel does not take at once waits
    in a bounded buffer, so that a slow reader blocks nobody and is dropped.

    Parameters
    ----------
    connection : socket.socket
        Connected socket.
    session : Session
        The result of the handshake.
    clock : Clock
        Source of time.

    Attributes
    ----------
    is_heard : bool
        Whether a frame has come: only then does the peer hold the key for
        certain and hear this end.
    heard : float
        Monotonic time in seconds of the last bytes.

    """

    def __init__(
        self,
        connection: socket.socket,
        session: Session,
        clock: Clock,
    ) -> None:
        """Store the parameters; the socket no longer blocks."""
        self.connection = connection
        self.session = session
        self.clock = clock
        self.is_heard = False
        self.is_closed = False
        self.heard = clock.read_monotonic()
        self._unanswered = 0
        connection.setblocking(False)
        self._sealer = FrameSealer(session.sending_key)
        self._pending = bytearray()
        self._sent = clock.read_monotonic()
        self._blocked = self._sent
        self._lock = threading.Lock()

    @property
    def peer(self) -> PeerIdentity:
        """Who is at the other end."""
        return self.session.peer

    def send(self, frame: Frame) -> bool:
        """Send or queue a frame; return whether it was."""
        try:
            packed = pack_frame(frame)
        except PeerError:
            return False
        with self._lock:
            self._sent = self.clock.read_monotonic()
            if not self._pending:
                self._blocked = self._sent
            self._pending += self._sealer.seal(packed)
            self._flush()
            return not self.is_closed

    def receive(self) -> Iterator[Frame]:
        """Yield frames until the stream is closed, broken or silent."""
        reader = FrameReader(self.session.receiving_key)
        poller = select.poll()
        poller.register(self.connection, select.POLLIN)
        with suppress(OSError, PeerError):
            while received := self._read(poller):
                self.is_heard = True
                self.heard = self.clock.read_monotonic()
                self._unanswered = 0
                yield from reader.feed(received)
        self.close()

    def tick(self) -> None:
        """Send what waits and a beat when due; drop a slow reader."""
        now = self.clock.read_monotonic()
        with self._lock:
            self._flush()
            is_slow = now - self._blocked > SILENCE_SECONDS
            if self._pending and is_slow:
                self._shut()
        if now - self._sent >= BEAT_SECONDS:
            self.send(Frame(FrameKind.BEAT))

    def blame(self, asked: float) -> None:
        """Note a call without a reply; close a stream that seems silent.

        Waiting for the missing beat would cost every request its time.

        Parameters
        ----------
        asked : float
            Monotonic time in seconds at which the call was sent.

        """
        if self.heard >= asked:
            return
        self._unanswered += 1
        if self._unanswered >= MAX_UNANSWERED:
            self.close()

    @property
    def has_pending(self) -> bool:
        """Whether something waits for the kernel."""
        return bool(self._pending) and not self.is_closed

    def close(self) -> None:
        """Close the connection; the reader ends."""
        with self._lock:
            self._shut()
        self.connection.close()

    def _read(self, poller: select.poll) -> bytes:
        """Return some bytes; none when silent for too long or at the end."""
        if not poller.poll(SILENCE_SECONDS * _MILLISECONDS):
            return b''
        return self.connection.recv(_CHUNK_BYTES)

    def _flush(self) -> None:
        """Give the kernel what it takes now; the lock is held."""
        try:
            while self._pending:
                sent = self.connection.send(self._pending[:_CHUNK_BYTES])
                self._pending = self._pending[sent:]
        except BlockingIOError:
            if len(self._pending) > _MAX_PENDING_BYTES:
                self._shut()
        except OSError:
            self._shut()

    def _shut(self) -> None:
        """Wake the reader; the lock is held."""
        self.is_closed = True
        self._pending = bytearray()
        with suppress(OSError):
            self.connection.shutdown(socket.SHUT_RDWR)
