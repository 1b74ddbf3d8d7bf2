"""One peer stream: sends without blocking, detects silence and stalls."""

import logging
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
    FrameSigner,
    pack_frame,
)
from sesameroute.adapters._peer_handshake import Session
from sesameroute.exceptions import PeerError
from sesameroute.ports import Clock, PeerIdentity

__all__ = ['PeerStream']

HEARTBEAT_SECONDS = 1.0
# A stream is closed when the peer sends nothing, or reads nothing of what
# waits for it, for this long.
STALL_SECONDS = 2.8
MAX_UNANSWERED_CALLS = 2  # in a row, with nothing received meanwhile

_MAX_PENDING_BYTES = 2 * MAX_FRAME_BYTES
_CHUNK_BYTES = 65_536
_MILLISECONDS = 1000

_logger = logging.getLogger(__name__)


class PeerStream:
    """A connection to a peer after the handshake.

    Any thread may call `send`; one thread reads with `receive`; the
    maintenance thread of the network calls `maintain`. Bytes that the kernel
    does not accept at once wait in a bounded buffer, so that a peer that
    reads slowly blocks no sender and is disconnected.

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
    has_received : bool
        Whether bytes have arrived since the handshake. Only then is it
        certain that the peer holds the key and receives what this end sends.
    is_closed : bool
        Whether the stream was closed by either end.
    last_received : float
        Monotonic time in seconds at which bytes last arrived.

    """

    def __init__(
        self,
        connection: socket.socket,
        session: Session,
        clock: Clock,
    ) -> None:
        """Store the parameters and make the socket non-blocking."""
        self.connection = connection
        self.session = session
        self.clock = clock
        self.has_received = False
        self.is_closed = False
        self.last_received = clock.read_monotonic()
        self._unanswered = 0
        connection.setblocking(False)
        self._signer = FrameSigner(session.sending_key)
        self._pending = bytearray()
        self._last_sent = clock.read_monotonic()
        self._blocked_since = self._last_sent
        self._lock = threading.Lock()

    @property
    def peer(self) -> PeerIdentity:
        """Identity of the peer."""
        return self.session.peer

    def send(self, frame: Frame) -> bool:
        """Send or queue a frame; return whether that succeeded."""
        try:
            packed = pack_frame(frame)
        except PeerError as error:
            _logger.warning(
                'peer frame not sent',
                extra={'peer': self.peer.sender, 'why': error.message},
            )
            return False
        with self._lock:
            self._last_sent = self.clock.read_monotonic()
            if not self._pending:
                self._blocked_since = self._last_sent
            self._pending += self._signer.sign(packed)
            self._flush()
            return not self.is_closed

    def receive(self) -> Iterator[Frame]:
        """Yield frames until the stream closes, fails or stays silent."""
        reader = FrameReader(self.session.receiving_key)
        poller = select.poll()
        poller.register(self.connection, select.POLLIN)
        with suppress(OSError, PeerError):
            while received := self._read(poller):
                self.has_received = True
                self.last_received = self.clock.read_monotonic()
                self._unanswered = 0
                yield from reader.feed(received)
        self.close()

    def maintain(self) -> None:
        """Send buffered bytes and due heartbeats; close a stalled stream."""
        now = self.clock.read_monotonic()
        if self._pending:
            with self._lock:
                self._flush()
                is_slow = now - self._blocked_since > STALL_SECONDS
                if self._pending and is_slow:
                    self._shut_down()
        if now - self._last_sent >= HEARTBEAT_SECONDS:
            self.send(Frame(FrameKind.HEARTBEAT))

    def record_unanswered_call(self, sent_at: float) -> None:
        """Count a call without a reply; close a stream that seems dead.

        Waiting for a missing heartbeat instead would delay every request
        that needs the peer until then.

        Parameters
        ----------
        sent_at : float
            Monotonic time in seconds at which the call was sent.

        """
        if self.last_received >= sent_at:
            return
        self._unanswered += 1
        if self._unanswered >= MAX_UNANSWERED_CALLS:
            self.close()

    @property
    def has_pending(self) -> bool:
        """Whether bytes wait until the kernel accepts them."""
        return bool(self._pending) and not self.is_closed

    def close(self) -> None:
        """Close the connection, which ends `receive`."""
        with self._lock:
            self._shut_down()
        self.connection.close()

    def _read(self, poller: select.poll) -> bytes:
        """Return received bytes; none after a time-out or at the end."""
        if not poller.poll(STALL_SECONDS * _MILLISECONDS):
            return b''
        return self.connection.recv(_CHUNK_BYTES)

    def _flush(self) -> None:
        """Pass the kernel what it accepts now; the caller holds the lock."""
        try:
            while self._pending:
                sent = self.connection.send(self._pending[:_CHUNK_BYTES])
                self._pending = self._pending[sent:]
        except BlockingIOError:
            if len(self._pending) > _MAX_PENDING_BYTES:
                self._shut_down()
        except OSError:
            self._shut_down()

    def _shut_down(self) -> None:
        """Mark as closed and end `receive`; the caller holds the lock."""
        self.is_closed = True
        self._pending = bytearray()
        with suppress(OSError):
            self.connection.shutdown(socket.SHUT_RDWR)
