"""Queue of requests that wait for a thread, bounded in time.

Load pattern: requests come faster than they can be served, for longer than
their callers wait. In a queue without a bound each request is then served
after its caller has left, and none in time.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

__all__ = ['AdmissionQueue', 'QueueBounds']

Entry = TypeVar('Entry')


@dataclass(frozen=True, slots=True)
class QueueBounds:
    """How long requests may wait, in seconds.

    Attributes
    ----------
    burst_seconds : float
        Longest wait while the queue is empty now and then.
    standing_seconds : float
        Longest wait while it has not been empty for `interval_seconds`.
    interval_seconds : float
        How long a queue may stand before it counts as overload.

    """

    burst_seconds: float = 0.25
    standing_seconds: float = 0.1
    interval_seconds: float = 0.25


class AdmissionQueue(Generic[Entry]):
    """A queue with CoDel's bound on waiting; the newest first under overload.

    Waiting is bounded loosely while the queue gets empty now and then, as in
    a burst, and tightly once it stands. Then the newest go first: their
    callers are the likeliest to be there still. See "Fail at Scale" (ACM
    Queue 13-8) and Nichols and Jacobson, "Controlling Queue Delay" (ACM Queue
    10-5).

    Parameters
    ----------
    bounds : QueueBounds, optional
        How long requests may wait.

    Examples
    --------
    >>> queue = AdmissionQueue(QueueBounds(burst_seconds=0.25))
    >>> queue.push('early', 10.0)
    >>> queue.push('late', 10.2)
    >>> list(queue.pop_expired(10.26))
    ['early']
    >>> queue.pop(10.26)
    'late'

    """

    def __init__(self, bounds: QueueBounds | None = None) -> None:
        """Start with an empty queue."""
        self.bounds = bounds or QueueBounds()
        self._entries: deque[tuple[float, Entry]] = deque()
        self._empty_at: float = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._entries)

    def push(self, entry: Entry, now: float) -> None:
        """Add a request at a monotonic time in seconds."""
        if not self._entries:
            self._empty_at = now
        self._entries.append((now, entry))

    def pop(self, now: float) -> Entry:
        """Remove and return the next request; raise IndexError if none waits.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        """
        if self.is_standing(now):
            return self._entries.pop()[1]
        return self._entries.popleft()[1]

    def pop_expired(self, now: float) -> Iterator[Entry]:
        """Remove and yield the requests that have waited for too long."""
        longest = (
            self.bounds.standing_seconds
            if self.is_standing(now)
            else self.bounds.burst_seconds
        )
        while self._entries and now - self._entries[0][0] > longest:
            yield self._entries.popleft()[1]

    def is_standing(self, now: float) -> bool:
        """Whether the queue has not been empty for an interval."""
        is_old = now - self._empty_at > self.bounds.interval_seconds
        return bool(self._entries) and is_old

    def read_oldest_seconds(self, now: float) -> float:
        """Return how long the first request has waited."""
        return now - self._entries[0][0] if self._entries else 0
