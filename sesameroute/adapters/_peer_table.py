"""Tables of the peer streams and pending calls of one process."""

import itertools
import threading
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from sesameroute.adapters._peer_frames import Frame
from sesameroute.adapters._peer_stream import PeerStream
from sesameroute.exceptions import PeerError
from sesameroute.gossip import (
    choose_heartbeat_interval,
    choose_silence_limit,
)
from sesameroute.telemetry import survive

__all__ = ['CallTable', 'PendingCall', 'StreamTable']

_MAX_PENDING_CALLS = 4096
# A stream sends heartbeats of its own only if its users send nothing; they
# send something at the same interval.
_HEARTBEAT_MARGIN = 1.1


class StreamTable:
    """Streams by the sender id of the peer, the newest last."""

    def __init__(self) -> None:
        """Start empty."""
        self._streams: dict[str, tuple[PeerStream, ...]] = {}
        self._lock = threading.Lock()
        self._senders: tuple[str, ...] | None = None
        self._changes = 0

    def add(self, stream: PeerStream) -> None:
        """Add a stream and close those of earlier incarnations of the peer.

        An incarnation is one start of the peer's process.
        """
        sender = stream.peer.sender
        with self._lock:
            known = self._streams.get(sender, ())
            self._streams[sender] = (*known, stream)
        for other in known:
            if other.peer.incarnation != stream.peer.incarnation:
                other.close()

    def remove(self, stream: PeerStream) -> None:
        """Remove a stream."""
        sender = stream.peer.sender
        with self._lock:
            known = self._streams.get(sender, ())
            remaining = tuple(other for other in known if other is not stream)
            self._streams[sender] = remaining
            if not remaining:
                self._streams.pop(sender)
        self.forget_senders()

    def find(self, sender: str) -> PeerStream | None:
        """Return the newest open stream that has received bytes, or None."""
        for stream in reversed(self._streams.get(sender, ())):
            if stream.has_received and not stream.is_closed:
                return stream
        return None

    def maintain(self, own: str, now: float) -> None:
        """Send what is due on all streams; close silent ones and duplicates.

        Parameters
        ----------
        own : str
            This process's sender id.
        now : float
            Monotonic time in seconds.

        """
        peers = self.count()
        interval = _HEARTBEAT_MARGIN * choose_heartbeat_interval(peers)
        silence = choose_silence_limit(peers)
        due = (each for each in self.list_streams() if each.due <= now)
        for stream in due:
            with survive('peer stream'):
                stream.maintain(now, interval, silence)
        for duplicate in self.list_duplicates(own):
            duplicate.close()

    def list_streams(self) -> tuple[PeerStream, ...]:
        """Return all streams."""
        with self._lock:
            groups = tuple(self._streams.values())
        return tuple(itertools.chain.from_iterable(groups))

    def has(self, sender: str) -> bool:
        """Whether there is a stream, also one that has received nothing."""
        return sender in self._streams

    def count(self) -> int:
        """Return the number of peers with a stream."""
        return len(self._streams)

    def list_senders(self) -> tuple[str, ...]:
        """Return the ids of the peers that `find` has a stream for.

        It is the same object until they change, since every request asks.
        """
        known = self._senders
        if known is not None:
            return known
        with self._lock:
            changes = self._changes
            names = tuple(self._streams)
        senders = tuple(filter(self.find, names))
        with self._lock:
            if changes == self._changes:
                self._senders = senders
        return senders

    def forget_senders(self) -> None:
        """Look at the streams again, because one can or can't be used now."""
        with self._lock:
            self._changes += 1
            self._senders = None

    def mark_closed(self, stream: PeerStream) -> None:
        """Mark a stream as closed; no list names it from then on."""
        with self._lock:
            self._changes += 1
            # A thread that sees the stream closed must not get the old list.
            self._senders = None
            stream.is_closed = True

    def list_duplicates(self, own_name: str) -> Iterable[PeerStream]:
        """Yield the duplicate streams that this end has to close.

        Both ends may dial at the same time. Only the end with the smaller
        name closes streams, all but the newest: if both ends did, each could
        close a different one and none would be left.
        """
        with self._lock:
            groups = [
                (sender, streams)
                for sender, streams in self._streams.items()
                if len(streams) > 1
            ]
        for sender, streams in groups:
            confirmed = [stream for stream in streams if stream.has_received]
            if own_name < sender:
                yield from confirmed[:-1]


@dataclass(slots=True)
class PendingCall:
    """A call that is waiting for its reply.

    It is done without a reply if its stream has closed.
    """

    number: int
    stream: PeerStream
    done: threading.Event = field(default_factory=threading.Event)
    reply: Frame | None = None


class CallTable:
    """Calls that are waiting for their replies, by number."""

    def __init__(self) -> None:
        """Start empty."""
        self._calls: dict[int, PendingCall] = {}
        self._numbers = itertools.count(1)

    def __len__(self) -> int:
        """Return the number of pending calls."""
        return len(self._calls)

    @contextmanager
    def open(self, stream: PeerStream) -> Iterator[PendingCall]:
        """Yield a new call and remove it when the block ends.

        Raises
        ------
        PeerError
            Too many calls are pending.

        """
        if len(self._calls) >= _MAX_PENDING_CALLS:
            raise PeerError(
                f'{_MAX_PENDING_CALLS} calls are already waiting for replies'
            )
        call = PendingCall(next(self._numbers), stream)
        self._calls[call.number] = call
        try:
            yield call
        finally:
            self._calls.pop(call.number, None)

    def complete(self, stream: PeerStream, frame: Frame) -> None:
        """Give a reply to its call.

        A reply on another stream than the call's, or to a call that is no
        longer pending, is ignored.
        """
        call = self._calls.get(frame.number)
        if call and call.stream is stream:
            call.reply = frame
            call.done.set()

    def fail(self, stream: PeerStream) -> None:
        """Fail all pending calls of a closed stream."""
        for call in list(self._calls.values()):
            if call.stream is stream:
                call.done.set()
