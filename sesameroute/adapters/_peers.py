"""Peer network over TCP: msgpack frames, one event loop for all streams."""

import itertools
import math
import threading
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from sesameroute.adapters._peer_carrier import PeerCarrier
from sesameroute.adapters._peer_dialer import PeerDialer
from sesameroute.adapters._peer_dispatcher import PeerDispatcher
from sesameroute.adapters._peer_frames import Frame, FrameKind
from sesameroute.adapters._peer_handshake import MIN_KEY_BYTES
from sesameroute.adapters._peer_listener import PeerListener
from sesameroute.adapters._peer_loop import TURN_SECONDS
from sesameroute.adapters._peer_stream import pack_or_log
from sesameroute.adapters._peer_workers import PeerWorkers
from sesameroute.exceptions import InputError, PeerError
from sesameroute.ports import (
    Clock,
    MessageHandler,
    PeerIdentity,
    Wire,
    decode_message,
    encode_message,
)

__all__ = ['PeerNetwork']

_DIAL_THREADS = 32
_MAX_DIALS = 4096  # one for each target


@dataclass(frozen=True, slots=True)
class _EncodedMessage:
    """The last one-way message sent, with the body of its frame.

    The body is None if the message can't be encoded.
    """

    message: Any
    packed: bytes | None


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

    Attributes
    ----------
    carrier : PeerCarrier
        Reads and writes all streams.
    streams : StreamTable
        The streams.
    dial_workers : PeerWorkers
        Threads that open connections.

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
        self.carrier = PeerCarrier(identity.sender, clock)
        self.streams = self.carrier.streams
        self.dial_workers = PeerWorkers('peer-dial', _DIAL_THREADS, _MAX_DIALS)
        self._last_encoded: _EncodedMessage | None = None
        self._connected: tuple[tuple[str, ...], tuple[str, ...]] = ((), ())
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
        self._dispatcher = PeerDispatcher(handler, self.carrier.calls.complete)
        if self.listen[1]:
            self._listener = PeerListener(self)
            self._listener.start()
        self.carrier.on_end = self._replace_stream
        self.carrier.start(self._dispatcher)

    def stop(self) -> None:
        """Close all streams and stop listening."""
        self._is_stopping.set()
        self.set_targets({})
        self.carrier.stop()
        self.dial_workers.stop()
        if self._listener:
            self._listener.stop()
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
        listed = self._connected
        if listed[0] is not senders:
            listed = (senders, tuple(filter(_is_vm, senders)))
            self._connected = listed
        return listed[1]

    def list_observers(self) -> tuple[str, ...]:
        """Return the ids of connected look-up and operator processes."""
        senders = self.streams.list_senders()
        return tuple(itertools.filterfalse(_is_vm, senders))

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
        # A node's state is sent to each peer in turn: encode it once.
        encoded = self._last_encoded
        if encoded is None or encoded.message is not message:
            frame = Frame(FrameKind.ONE_WAY, 0, encode_message(message))
            encoded = _EncodedMessage(message, pack_or_log(frame))
            self._last_encoded = encoded
        packed = encoded.packed
        return packed is not None and stream.send_packed(packed)

    def call(self, vm: str, message: Any, timeout: float) -> Any:
        """Send a message and return the reply.

        Raises
        ------
        PeerError
            Code ``peer-unreachable``: nothing was sent; ``peer-silent``: no
            reply within `timeout` seconds, the peer may have acted on the
            message, also if the stream closed; ``peer-failed``: the peer
            refused the call, or its handler failed.

        """
        stream = self.streams.find(vm)
        if stream is None:
            raise PeerError(f'no stream to {vm}')
        with self.carrier.calls.open(stream) as call:
            packed = encode_message(message)
            sent_at = self.clock.read_monotonic()
            if not stream.send(Frame(FrameKind.CALL, call.number, packed)):
                raise PeerError(
                    f'stream to {vm} accepts no frames', 'peer-silent'
                )
            if not call.done.wait(timeout):
                stream.record_unanswered_call(sent_at)
            return _read_reply(vm, call.reply)

    def read_turn(self) -> float:
        """Return until when the loop's last turn and pause may last."""
        return self.carrier.loop.turned_at_ + TURN_SECONDS

    def _replace_stream(self, sender: str) -> None:
        dialer = self._dialers.get(sender)
        if dialer:
            dialer.replace_stream()


def _is_vm(sender: str) -> bool:
    return '/' not in sender


def _read_reply(vm: str, frame: Frame | None) -> Any:
    if frame is None:
        raise PeerError(f'{vm} sent no reply', 'peer-silent')
    if frame.kind is FrameKind.FAILURE:
        raise PeerError(f'{vm} failed: {frame.content}', 'peer-failed')
    if frame.content is None:
        return None
    try:
        return decode_message(frame.content)
    except InputError as error:
        raise PeerError(error.message, 'peer-failed') from error
