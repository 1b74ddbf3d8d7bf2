"""Carries all peer streams of a process on one event loop."""

import socket
import threading
from collections.abc import Callable

from sesameroute.adapters._peer_dispatcher import PeerDispatcher
from sesameroute.adapters._peer_frames import Frame, FrameKind
from sesameroute.adapters._peer_handshake import Session
from sesameroute.adapters._peer_loop import PeerLoop, call_safely
from sesameroute.adapters._peer_stream import PeerStream
from sesameroute.adapters._peer_table import CallTable, StreamTable
from sesameroute.ports import Clock
from sesameroute.telemetry import survive

__all__ = ['PeerCarrier']

_MAINTENANCE_SECONDS = 0.1


class PeerCarrier:
    """Opens, maintains and ends streams; implements `StreamOwner`.

    Parameters
    ----------
    sender : str
        This process's sender id.
    clock : Clock
        Source of time.

    Attributes
    ----------
    loop : PeerLoop
        Reads and writes the streams.
    streams : StreamTable
        The streams.
    calls : CallTable
        The calls that wait for replies.
    dispatcher : PeerDispatcher or None
        Handles messages; None before the start.
    on_end : callable
        Called with the sender id of a peer when a stream to it has ended.

    """

    def __init__(self, sender: str, clock: Clock) -> None:
        """Store the parameters."""
        self.sender = sender
        self.clock = clock
        self.loop = PeerLoop()
        self.streams = StreamTable()
        self.calls = CallTable()
        self.dispatcher: PeerDispatcher | None = None
        self.on_end: Callable[[str], object] = str
        self._is_stopping = threading.Event()

    def start(self, dispatcher: PeerDispatcher) -> None:
        """Start the loop."""
        self.dispatcher = dispatcher
        self._maintain_streams()
        self.loop.start()

    def stop(self) -> None:
        """Close all streams and end the loop."""
        self._is_stopping.set()
        for stream in self.streams.list_streams():
            stream.close()
        self.loop.stop()

    def open_stream(
        self, connection: socket.socket, session: Session
    ) -> PeerStream:
        """Let the loop read and write an authenticated connection."""
        stream = PeerStream(connection, session, self.clock, self)
        self.streams.add(stream)
        if self._is_stopping.is_set():
            stream.close()
            connection.close()
        else:
            stream.send(Frame(FrameKind.HEARTBEAT))
            self.loop.call_soon(stream.watch)
        return stream

    def handle_frame(self, stream: PeerStream, frame: Frame) -> None:
        """Dispatch a message or a reply; see `StreamOwner`."""
        if frame.kind is not FrameKind.HEARTBEAT:
            call_safely(self.dispatcher.dispatch, stream, frame)

    def handle_opened(self) -> None:
        """Look anew at which peers are connected; see `StreamOwner`."""
        self.streams.forget_senders()

    def handle_closed(self, stream: PeerStream) -> None:
        """List the stream no longer; see `StreamOwner`."""
        self.streams.mark_closed(stream)

    def handle_end(self, stream: PeerStream) -> None:
        """Fail the calls of a stream, and dial again; see `StreamOwner`."""
        self.streams.remove(stream)
        self.calls.fail(stream)
        self.on_end(stream.peer.sender)

    def _maintain_streams(self) -> None:
        """Send heartbeats; close silent streams and duplicates."""
        self.loop.call_later(_MAINTENANCE_SECONDS, self._maintain_streams)
        with survive('peer streams'):
            now = self.clock.read_monotonic()
            self.streams.maintain(self.sender, now)
