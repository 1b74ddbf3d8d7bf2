"""Answers of one connection, in the order of its requests.

Load pattern: callers send several reads on one connection before the first is
answered, and some of them take several times as long as the others. Run one
after the other, each pays for all before it; run beside each other, one that
is slow holds back only what stands behind it.
"""

import threading
from collections import deque
from dataclasses import dataclass, field
from enum import Enum, unique

__all__ = ['AnswerRow', 'HeldBytes', 'RowPlace', 'Turn']

# Part of the node's bound that one connection may take.
_CONNECTION_FRACTION = 8


@unique
class Turn(Enum):
    """What to do with the next bytes of an answer."""

    SEND = 'send'
    HELD = 'held'
    WAIT = 'wait'
    ENDED = 'ended'


class HeldBytes:
    """Bound on the bytes of answers that wait behind others on a node.

    Parameters
    ----------
    limit : int
        Largest number of bytes of all connections together.

    Attributes
    ----------
    held_ : int
        Bytes that are held now.
    waiting_ : int
        Threads that wait for room, or for the turn of their answer.

    """

    def __init__(self, limit: int) -> None:
        """Store the limit; nothing is held."""
        self.limit = limit
        self.held_ = 0
        self.waiting_ = 0
        self._lock = threading.Lock()

    def try_hold(self, size: int, of_connection: int) -> bool:
        """Count bytes as held if there is room; return whether there was.

        Parameters
        ----------
        size : int
            The bytes.
        of_connection : int
            Bytes that their connection holds already.

        """
        with self._lock:
            is_full = self.held_ + size > self.limit
            own_limit = self.limit // _CONNECTION_FRACTION
            if is_full or of_connection + size > own_limit:
                return False
            self.held_ += size
            return True

    def compute_excess(self) -> int:
        """Return the bytes that leave no room for another connection."""
        return self.held_ + self.limit // _CONNECTION_FRACTION - self.limit

    def count_waiting(self, change: int) -> None:
        """Change the number of waiting threads."""
        with self._lock:
            self.waiting_ += change

    def hold(self, size: int) -> None:
        """Count bytes as held that can't be sent now."""
        with self._lock:
            self.held_ += size

    def release(self, size: int) -> None:
        """Count bytes as held no more."""
        with self._lock:
            self.held_ -= size


@dataclass(slots=True, eq=False)
class RowPlace:
    """The place of one request and what is held of its answer.

    Attributes
    ----------
    parts : list of bytes
        What is held.
    is_done : bool
        Whether the answer is complete.
    ends_row : bool
        Whether nothing may be sent behind it.
    is_flushing : bool
        Whether another thread than its own sends what is held.

    """

    parts: list[bytes] = field(default_factory=list)
    is_done: bool = False
    ends_row: bool = False
    is_flushing: bool = False


class AnswerRow:
    """Says whose bytes come next on a connection; sends nothing itself.

    The thread of the first request sends its bytes. At the end of the answer
    it sends what is held of the next one, and goes on while that is complete.
    Not locked: its user calls it under the lock of the connection.

    Parameters
    ----------
    held : HeldBytes
        Bounds what is held.

    Attributes
    ----------
    places_ : deque of RowPlace
        The requests that are not answered completely.
    has_ended_ : bool
        Whether an answer has ended the connection.
    held_size_ : int
        Bytes that are held.

    """

    def __init__(self, held: HeldBytes) -> None:
        """Start without requests."""
        self.held = held
        self.places_: deque[RowPlace] = deque()
        self.has_ended_ = False
        self.held_size_ = 0

    def add(self) -> RowPlace:
        """Return the place of one more request."""
        place = RowPlace()
        self.places_.append(place)
        return place

    def is_first(self, place: RowPlace) -> bool:
        """Whether all requests before this one have been answered."""
        return not self.has_ended_ and self.places_[0] is place

    def is_last(self, place: RowPlace) -> bool:
        """Whether no request stands behind this one."""
        return self.places_[-1] is place

    def is_alone(self, place: RowPlace) -> bool:
        """Whether this is the only request that has not been answered."""
        return self.is_first(place) and self.is_last(place)

    def offer(self, place: RowPlace, content: bytes) -> Turn:
        """Say what to do with bytes of an answer; hold them if need be."""
        if self.has_ended_:
            return Turn.ENDED
        if self.is_first(place) and not place.is_flushing:
            return Turn.SEND
        if not self.held.try_hold(len(content), self.held_size_):
            return Turn.WAIT
        self.held_size_ += len(content)
        place.parts.append(content)
        return Turn.HELD

    def finish(self, place: RowPlace, *, ends_row: bool) -> bool:
        """Note the end of an answer; return whether to call `advance`."""
        place.is_done = True
        place.ends_row = ends_row
        if self.has_ended_:
            self.places_.remove(place)
            return False
        return self.is_first(place) and not place.is_flushing

    def advance(self) -> RowPlace | None:
        """Remove the first place; return the next, whose bytes are to send."""
        if self.places_.popleft().ends_row:
            self.end()
        if self.has_ended_ or not self.places_:
            return None
        first = self.places_[0]
        first.is_flushing = True
        return first

    def take_parts(self, place: RowPlace) -> bytes:
        """Return what is held of an answer; from then on it is sent directly.

        Only if nothing is returned does its own thread send the rest.
        """
        content = b''.join(place.parts)
        place.parts = []
        place.is_flushing = bool(content)
        self._release(len(content))
        return content

    def keep_unsent(self, content: bytes) -> None:
        """Hold bytes of the first answer that its caller does not take yet.

        From then on the event loop sends what is held.
        """
        if self.has_ended_:
            return
        first = self.places_[0]
        first.parts.insert(0, content)
        first.is_flushing = True
        self.held_size_ += len(content)
        self.held.hold(len(content))

    def end(self) -> None:
        """Send nothing more; forget what is held."""
        self.has_ended_ = True
        self._release(self.held_size_)
        for place in tuple(self.places_):
            place.parts = []
            if place.is_done:
                self.places_.remove(place)

    def _release(self, size: int) -> None:
        self.held_size_ -= size
        self.held.release(size)
