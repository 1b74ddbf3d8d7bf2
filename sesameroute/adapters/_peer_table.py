"""The streams and open calls of one process."""

import itertools
import threading
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from sesameroute.adapters._peer_frames import Frame, FrameKind
from sesameroute.adapters._peer_stream import PeerStream
from sesameroute.exceptions import PeerError

__all__ = ['CallTable', 'OpenCall', 'StreamTable']

_MAX_CALLS = 4096


class StreamTable:
    """Streams by the peer's sender id, the newest last."""

    def __init__(self) -> None:
        """Start empty."""
        self._streams: dict[str, tuple[PeerStream, ...]] = {}
        self._changed = threading.Condition()

    def add(self, stream: PeerStream) -> None:
        """Add a stream; streams of the peer's earlier starts are closed."""
        sender = stream.peer.sender
        with self._changed:
            known = self._streams.get(sender, ())
            self._streams[sender] = (*known, stream)
            self._changed.notify_all()
        for other in known:
            if other.peer.incarnation != stream.peer.incarnation:
                other.close()

    def remove(self, stream: PeerStream) -> None:
        """Forget a stream."""
        sender = stream.peer.sender
        with self._changed:
            known = self._streams.get(sender, ())
            kept = tuple(other for other in known if other is not stream)
            self._streams[sender] = kept
            if not kept:
                self._streams.pop(sender)
            self._changed.notify_all()

    def find(self, sender: str) -> PeerStream | None:
        """Return the newest stream that was heard."""
        for stream in reversed(self._streams.get(sender, ())):
            if stream.is_heard and not stream.is_closed:
                return stream
        return None

    def wait_missing(self, sender: str, seconds: float) -> None:
        """Wait until no stream to the peer is left, or for some seconds."""
        with self._changed:
            self._changed.wait_for(
                lambda: sender not in self._streams,
                seconds,
            )

    def list_streams(self) -> tuple[PeerStream, ...]:
        """Return all streams."""
        with self._changed:
            groups = tuple(self._streams.values())
        return tuple(itertools.chain.from_iterable(groups))

    def list_senders(self) -> tuple[str, ...]:
        """Return the ids of the peers that are heard."""
        with self._changed:
            senders = tuple(self._streams)
        return tuple(sender for sender in senders if self.find(sender))

    def list_spare(self, own_name: str) -> Iterable[PeerStream]:
        """Yield doubled streams that this end has to close.

        Both ends may dial at once. The end with the smaller name keeps the
        newest stream, so that they never close one each.
        """
        with self._changed:
            groups = dict(self._streams)
        for sender, streams in groups.items():
            heard = [stream for stream in streams if stream.is_heard]
            if own_name < sender:
                yield from heard[:-1]


@dataclass(slots=True)
class OpenCall:
    """A call that waits for its reply."""

    number: int
    stream: PeerStream
    done: threading.Event = field(default_factory=threading.Event)
    reply: Frame | None = None


class CallTable:
    """Calls that wait for replies."""

    def __init__(self) -> None:
        """Start empty."""
        self._calls: dict[int, OpenCall] = {}
        self._numbers = itertools.count(1)

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self._calls)

    @contextmanager
    def open(self, stream: PeerStream) -> Iterator[OpenCall]:
        """Yield a new call and forget it afterwards."""
        if len(self._calls) >= _MAX_CALLS:
            raise PeerError(f'{_MAX_CALLS} calls are waiting already')
        call = OpenCall(next(self._numbers), stream)
        self._calls[call.number] = call
        try:
            yield call
        finally:
            self._calls.pop(call.number, None)

    def settle(self, stream: PeerStream, frame: Frame) -> None:
        """Give a reply to its call; replies of other streams are dropped."""
        call = self._calls.get(frame.number)
        if call and call.stream is stream:
            call.reply = frame
            call.done.set()

    def fail(self, stream: PeerStream) -> None:
        """End the calls of a closed stream at once."""
        for number, call in list(self._calls.items()):
            if call.stream is stream:
                self.settle(stream, Frame(FrameKind.FAILURE, number, 'closed'))
