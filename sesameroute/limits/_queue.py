"""A bounded priority queue of requests that wait for a slot."""

import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from sesameroute.ports import Choice, Request

__all__ = ['WaitQueue', 'WaitingRequest', 'compute_max_wait']

_MILLISECONDS = 1000  # in a second
# Requests with a smaller fraction of their deadline left are served last.
_LOW_DEADLINE_FRACTION = 0.5

WaiterCallback = Callable[['WaitingRequest'], None]


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that waits for a slot.

    Attributes
    ----------
    exclude : tuple of str
        Names of the backend servers that must not be chosen.
    arrived_at : float
        Monotonic time of arrival in seconds.
    latest_start : float
        Monotonic time in seconds after which a slot would come too late.
    choice : Choice or None
        The assigned slot, None until there is one.
    refused : bool
        Whether the request was refused.
    retry_after : float
        Seconds after which the caller of a refused request may retry.
    done : threading.Event
        Set when a slot is assigned or the request is refused.
    listener : callable or None
        Called with the waiter when `done` is set.

    """

    request: Request
    exclude: tuple[str, ...]
    arrived_at: float
    latest_start: float
    choice: Choice | None = None
    refused: bool = False
    retry_after: float = 0
    done: threading.Event = field(default_factory=threading.Event)
    listener: WaiterCallback | None = None

    @property
    def weight_per_second(self) -> float:
        """Weight of the request per second for which it occupies a slot."""
        kind = self.request.kind
        return kind.weight * _MILLISECONDS / max(kind.work_ms, 1)

    @property
    def is_deadline_low(self) -> bool:
        """Whether most of the deadline had passed when the request arrived."""
        if not self.request.deadline:
            return False
        left = self.request.deadline - self.arrived_at
        return (
            left * _MILLISECONDS
            < _LOW_DEADLINE_FRACTION * self.request.kind.deadline_ms
        )

    def rank(self) -> tuple[float, bool, float]:
        """Return the sort key; the request with the lowest is served first.

        After an overload, refused callers retry until their deadline ends.
        If retries were served first, requests that arrive meanwhile would
        be refused and retry in turn, and the backlog would last one deadline
        longer than the overload.
        """
        return -self.weight_per_second, self.is_deadline_low, self.arrived_at

    def assign(self, choice: Choice) -> None:
        """Assign a slot and wake up whoever waits for `done`."""
        self.choice = choice
        self._finish()

    def refuse(self, retry_after: float) -> None:
        """Refuse the request and wake up whoever waits for `done`."""
        self.refused = True
        self.retry_after = retry_after
        self._finish()

    def add_done_callback(self, listener: WaiterCallback) -> None:
        """Set a callback for when a slot is assigned or the request refused.

        If that has happened already, the callback is called at once.
        """
        self.listener = listener
        if self.done.is_set():
            listener(self)

    def _finish(self) -> None:
        self.done.set()
        if self.listener:
            self.listener(self)


class WaitQueue:
    """The waiting requests of one service.

    Parameters
    ----------
    limit : int
        Maximum number of waiting requests.

    """

    def __init__(self, limit: int) -> None:
        """Start with an empty queue."""
        self.limit = limit
        self.waiting_: list[WaitingRequest] = []

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self.waiting_)

    def push(self, waiter: WaitingRequest) -> WaitingRequest | None:
        """Add a request; return the request that is evicted, if any.

        When the queue is full, the request that would be served last is
        evicted, which may be the new one.
        """
        self.waiting_.append(waiter)
        self.waiting_.sort(key=WaitingRequest.rank)
        if len(self.waiting_) > self.limit:
            return self.waiting_.pop()
        return None

    def remove(self, waiter: WaitingRequest) -> None:
        """Remove a request; do nothing if it is not in the queue."""
        if waiter in self.waiting_:
            self.waiting_.remove(waiter)

    def pop_expired(self, now: float) -> Iterator[WaitingRequest]:
        """Remove and yield requests for which a slot would come too late."""
        expired = [
            waiter for waiter in self.waiting_ if waiter.latest_start <= now
        ]
        for waiter in expired:
            self.waiting_.remove(waiter)
            yield waiter


def compute_max_wait(request: Request, now: float, longest: float) -> float:
    """Return how long a request may wait and still meet its deadline.

    Parameters
    ----------
    now, longest : float
        Monotonic time and the policy's longest wait, in seconds.

    Returns
    -------
    float
        Seconds; `longest` for a request without a deadline.

    """
    if not request.deadline:
        return longest
    work = request.kind.work_ms / _MILLISECONDS
    return max(0, min(longest, request.deadline - now - work))
