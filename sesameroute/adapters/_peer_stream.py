"""One peer stream: sends without blocking, detects silence and stalls."""

import logging
import selectors
import socket
from contextlib import suppress
from typing import Protocol

from sesameroute.adapters._peer_frames import Frame, FrameKind, pack_frame
from sesameroute.adapters._peer_handshake import Session
from sesameroute.adapters._peer_loop import PeerLoop
from sesameroute.adapters._peer_mailbox import PeerMailbox
from sesameroute.adapters._peer_receiver import FrameReceiver
from sesameroute.adapters._peer_sender import FrameSender
from sesameroute.exceptions import PeerError
from sesameroute.ports import Clock, PeerIdentity

__all__ = ['PeerStream', 'StreamOwner', 'pack_or_log']

MAX_UNANSWERED_CALLS = 2  # in a row, with nothing received meanwhile

_logger = logging.getLogger(__name__)


class StreamOwner(Protocol):
    """What a stream tells of itself; called on the loop's thread."""

    loop: PeerLoop

    def handle_frame(self, stream: 'PeerStream', frame: Frame) -> None:
        """Handle a received frame."""

    def handle_opened(self) -> None:
        """Note that a stream can be used now."""

    def handle_closed(self, stream: 'PeerStream') -> None:
        """Mark a stream as closed; any thread."""

    def handle_end(self, stream: 'PeerStream') -> None:
        """Forget a stream that has closed."""


class PeerStream:
    """A connection to a peer after the handshake.

    Any thread may call `send` and `close`; all else runs on the loop. Bytes
    that the kernel does not accept at once wait in a bounded buffer, so that
    a peer that reads slowly blocks no sender and is disconnected.

    Parameters
    ----------
    connection : socket.socket
        Connected socket.
    session : Session
        The result of the handshake.
    clock : Clock
        Source of time.
    owner : StreamOwner
        Has the loop, and is told of frames and of the end.

    Attributes
    ----------
    has_received : bool
        Whether bytes have arrived since the handshake. Only then is it
        certain that the peer holds the key and receives what this end sends.
    is_closed : bool
        Whether the stream was closed by either end.
    due : float
        Monotonic time in seconds at which `maintain` has to run next.
    mailbox : PeerMailbox
        Received messages that wait for a handler thread.

    """

    def __init__(
        self,
        connection: socket.socket,
        session: Session,
        clock: Clock,
        owner: StreamOwner,
    ) -> None:
        """Store the parameters and make the socket non-blocking."""
        self.connection = connection
        self.session = session
        self.clock = clock
        self.owner = owner
        self.has_received = False
        self.is_closed = False
        self.due: float = 0
        self.mailbox = PeerMailbox()
        connection.setblocking(False)
        self._sender = FrameSender(connection, session.sending_key)
        self._receiver = FrameReceiver(connection, session.receiving_key, clock)
        self._has_ended = False
        self._events = 0

    @property
    def peer(self) -> PeerIdentity:
        """Identity of the peer."""
        return self.session.peer

    def send(self, frame: Frame) -> bool:
        """Send or queue a frame; return whether that succeeded."""
        packed = pack_or_log(frame)
        return packed is not None and self.send_packed(packed)

    def send_packed(self, packed: bytes) -> bool:
        """Send or queue a packed frame; return whether that succeeded."""
        if self.is_closed:
            return False
        with suppress(OSError):
            if not self._sender.send(packed, self.clock.read_monotonic()):
                self.owner.loop.call_soon(self.watch)
            return not self.is_closed
        self.close()
        return False

    def watch(self) -> None:
        """Wait for what the stream needs now: reading, writing or its end."""
        if self._has_ended:
            return
        if self.is_closed:
            self._end()
            return
        events = 0 if self.mailbox.is_full else selectors.EVENT_READ
        if self._sender.has_pending:
            events |= selectors.EVENT_WRITE
        if events != self._events:
            self._events = events
            self.owner.loop.watch(self.connection, events, self._handle_events)

    def resume(self) -> None:
        """Read again after the mailbox was full; for any thread."""
        self.owner.loop.call_soon(self.watch)

    def maintain(
        self, now: float, heartbeat_interval: float, silence_limit: float
    ) -> None:
        """Send a due heartbeat; close a stream that is silent or stalled.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        heartbeat_interval : float
            Seconds without any frame after which one is sent.
        silence_limit : float
            Seconds for which the peer may send nothing, or read nothing of
            what waits for it.

        """
        if self.mailbox.is_full:
            self._receiver.skip(now)
        if self._receiver.measure_silence(now) > silence_limit:
            # What waits to be read tells that the peer is not silent.
            self._handle_events(selectors.EVENT_READ)
        silence = self._receiver.measure_silence(now)
        if max(silence, self._sender.measure_stall(now)) > silence_limit:
            self.close()
        if now - self._sender.last_sent >= heartbeat_interval:
            self.send(Frame(FrameKind.HEARTBEAT))
        self.due = min(
            self._sender.last_sent + heartbeat_interval,
            now + silence_limit - silence,
        )

    def record_unanswered_call(self, sent_at: float) -> None:
        """Count a call without a reply; close a stream that seems dead.

        Waiting for a missing heartbeat instead would delay every request
        that needs the peer until then.

        Parameters
        ----------
        sent_at : float
            Monotonic time in seconds at which the call was sent.

        """
        if self._receiver.last_received >= sent_at:
            return
        self._receiver.unanswered += 1
        if self._receiver.unanswered >= MAX_UNANSWERED_CALLS:
            self.close()

    def close(self) -> None:
        """Shut the connection down; the loop closes it."""
        if self.is_closed:
            return
        self.owner.handle_closed(self)
        with suppress(OSError):
            self.connection.shutdown(socket.SHUT_RDWR)
        self.owner.loop.call_soon(self.watch)

    def _handle_events(self, events: int) -> None:
        try:
            self._transfer(events)
        except (OSError, PeerError):
            self.close()
        self.watch()

    def _transfer(self, events: int) -> None:
        if events & selectors.EVENT_WRITE:
            self._sender.flush(self.clock.read_monotonic())
        if not events & selectors.EVENT_READ:
            return
        frames = self._receiver.receive()
        if frames is not None and not self.has_received:
            self.has_received = True
            self.owner.handle_opened()
        for frame in frames or ():
            self.owner.handle_frame(self, frame)

    def _end(self) -> None:
        """Handle what had come before the end, then close the connection."""
        self._has_ended = True
        with suppress(OSError, PeerError):
            for frames in iter(self._receiver.receive, None):
                for frame in frames:
                    self.owner.handle_frame(self, frame)
        with suppress(ValueError):
            self.owner.loop.watch(self.connection, 0, self._handle_events)
        self.connection.close()
        self.owner.handle_end(self)


def pack_or_log(frame: Frame) -> bytes | None:
    """Return the body of a frame; log why there is none."""
    try:
        return pack_frame(frame)
    except PeerError as error:
        _logger.warning('peer frame not sent', extra={'why': error.message})
    return None
