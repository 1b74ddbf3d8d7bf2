"""Peer network over TCP: msgpack frames, one reading thread per stream."""

import math
import socket
import threading
from collections.abc import Mapping
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Any

from sesameroute.adapters._peer_dialer import PeerDialer
from sesameroute.adapters._peer_dispatcher import PeerDispatcher
from sesameroute.adapters._peer_frames import Frame, FrameKind
from sesameroute.adapters._peer_handshake import MIN_KEY_BYTES, Session
from sesameroute.adapters._peer_listener import PeerListener
from sesameroute.adapters._peer_stream import PeerStream
from sesameroute.adapters._peer_table import CallTable, StreamTable
from sesameroute.exceptions import InputError, PeerError
from sesameroute.ports import (
    Clock,
    MessageHandler,
    PeerIdentity,
    Wire,
    decode_message,
    encode_message,
)
from sesameroute.telemetry import survive

__all__ = ['PeerNetwork']

_MAINTENANCE_SECONDS = 0.25
_FLUSH_SECONDS = 0.005
_REPLY_KINDS = frozenset((FrameKind.REPLY, FrameKind.FAILURE))


@dataclass(frozen=True, slots=True)
class _EncodedMessage:
    """The last one-way message sent, with its encoded form."""

    message: Any
    content: list[Any]


class PeerNetwork:
    """Authenticated streams to peers; implements `ports.Peers`.

    Peers are the entry VMs of one institution, and the look-up and operator
    processes that connect to them.

    Parameters
    ----------
    identity : PeerIdentity
        Identity of this process.
    key : bytes
        Secret key shared by all peers of the institution, at least 16
        bytes.
    wire : Wire
        Opens the TCP connections.
    clock : Clock
        Source of time.
    listen : tuple of (str, int)
        IP address and TCP port; with port 0 the process only opens
        connections and accepts none.

    """

    def __init__(
        self,
        identity: PeerIdentity,
        key: bytes,
        wire: Wire,
        clock: Clock,
        listen: tuple[str, int],
    ) -> None:
        """Store the parameters."""
        self.identity = identity
        self.key = key
        self.wire = wire
        self.clock = clock
        self.listen = listen
        self.streams = StreamTable()
        self._calls = CallTable()
        self._last_encoded: _EncodedMessage | None = None
        self._dialers: dict[str, PeerDialer] = {}
        self._dialers_lock = threading.Lock()
        self._dispatcher: PeerDispatcher | None = None
        self._listener: PeerListener | None = None
        self._is_stopping = threading.Event()

    def start(self, handler: MessageHandler) -> None:
        """Listen and pass received messages to `handler`.

        Raises
        ------
        InputError
            The key is too short.
        OSError
            The address is in use or does not belong to this machine.

        """
        if len(self.key) < MIN_KEY_BYTES:
            raise InputError(
                f'peer key has {len(self.key)} bytes,'
                f' at least {MIN_KEY_BYTES} are required',
            )
        self._dispatcher = PeerDispatcher(handler)
        if self.listen[1]:
            self._listener = PeerListener(self)
            self._listener.start()
        threading.Thread(
            target=self._maintain_streams,
            name='peer-tick',
            daemon=True,
        ).start()

    def stop(self) -> None:
        """Close all streams and stop listening."""
        self._is_stopping.set()
        self.set_targets({})
        if self._listener:
            self._listener.stop()
        for stream in self.streams.list_streams():
            stream.close()
        if self._dispatcher:
            self._dispatcher.stop()

    def set_targets(self, targets: Mapping[str, tuple[str, int]]) -> None:
        """Set the VMs to keep streams to: name to IP address and port.

        A network that is stopped keeps none.
        """
        with self._dialers_lock:
            if self._is_stopping.is_set():
                targets = {}
            for name, dialer in list(self._dialers.items()):
                if targets.get(name) != dialer.target:
                    self._dialers.pop(name).stop()
            for missing in targets.keys() - self._dialers.keys():
                added = PeerDialer(self, missing, targets[missing])
                self._dialers[missing] = added
                added.start()

    def list_connected(self) -> tuple[str, ...]:
        """Return the names of the entry VMs that are connected."""
        senders = self.streams.list_senders()
        return tuple(sender for sender in senders if '/' not in sender)

    def list_observers(self) -> tuple[str, ...]:
        """Return the ids of connected look-up and operator processes."""
        senders = self.streams.list_senders()
        return tuple(sender for sender in senders if '/' in sender)

    def list_refused_dials(self) -> Mapping[str, float]:
        """Return the VMs that refused a connection and when.

        The values are monotonic times in seconds at which the last refused
        attempt began. VMs that never refused one are left out.
        """
        return {
            name: dialer.last_refused_
            for name, dialer in tuple(self._dialers.items())
            if math.isfinite(dialer.last_refused_)
        }

    def send_one_way(self, vm: str, message: Any) -> bool:
        """Send a one-way message; return whether it was queued."""
        stream = self.streams.find(vm)
        if stream is None:
            return False
        # A membership digest is sent to each peer in turn: encode it once.
        encoded = self._last_encoded
        if encoded is None or encoded.message is not message:
            encoded = _EncodedMessage(message, encode_message(message))
            self._last_encoded = encoded
        return stream.send(Frame(FrameKind.ONE_WAY, 0, encoded.content))

    def call(self, vm: str, message: Any, timeout: float) -> Any:
        """Send a message and return the reply.

        Raises
        ------
        PeerError
            Code ``peer-unreachable``: nothing was sent; ``peer-silent``: no
            reply within `timeout` seconds, the peer may have acted on the
            message; ``peer-failed``: the peer refused the call, its handler
            failed, or the stream closed.

        """
        stream = self.streams.find(vm)
        if stream is None:
            raise PeerError(f'no stream to {vm}')
        with self._calls.open(stream) as call:
            packed = encode_message(message)
            sent_at = self.clock.read_monotonic()
            if not stream.send(Frame(FrameKind.CALL, call.number, packed)):
                raise PeerError(
                    f'stream to {vm} accepts no frames', 'peer-silent'
                )
            if not call.done.wait(timeout):
                stream.record_unanswered_call(sent_at)
            return _read_reply(vm, call.reply)

    def run_stream(self, connection: socket.socket, session: Session) -> None:
        """Read from a connection in the calling thread until it closes."""
        stream = PeerStream(connection, session, self.clock)
        with ExitStack() as cleanup:
            cleanup.callback(self._calls.fail, stream)
            cleanup.callback(self.streams.remove, stream)
            cleanup.callback(stream.close)
            self.streams.add(stream)
            if self._is_stopping.is_set():
                return
            stream.send(Frame(FrameKind.HEARTBEAT))
            for frame in stream.receive():
                with survive('peer frame'):
                    self._handle_frame(stream, frame)

    def _handle_frame(self, stream: PeerStream, frame: Frame) -> None:
        if frame.kind in _REPLY_KINDS:
            self._calls.complete(stream, frame)
        elif frame.kind is not FrameKind.HEARTBEAT:
            self._dispatcher.dispatch(stream, frame)

    def _maintain_streams(self) -> None:
        """Send heartbeats and buffered bytes; close duplicate streams."""
        while not self._is_stopping.is_set():
            has_pending = False
            with survive('peer streams'):
                has_pending = self.streams.maintain(self.identity.sender)
            pause = _FLUSH_SECONDS if has_pending else _MAINTENANCE_SECONDS
            self._is_stopping.wait(pause)


def _read_reply(vm: str, frame: Frame | None) -> Any:
    if frame is None:
        raise PeerError(f'{vm} sent no reply in time', 'peer-silent')
    if frame.kind is FrameKind.FAILURE:
        raise PeerError(f'{vm} failed: {frame.content}', 'peer-failed')
    if frame.content is None:
        return None
    try:
        return decode_message(frame.content)
    except InputError as error:
        raise PeerError(error.message, 'peer-failed') from error
