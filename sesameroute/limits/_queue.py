"""Requests that wait for a slot: bounded, by worth and deadline."""

import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from sesameroute.ports import Choice, Request

__all__ = ['WaitQueue', 'Waiter', 'limit_wait']

_MILLISECONDS = 1000  # in a second
_SPENT = 0.5  # part of a deadline left below which a request goes last


Listener = Callable[['Waiter'], None]


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a slot.

    Attributes
    ----------
    latest : float
        Monotonic time after which a slot would come too late, in seconds.
    choice : Choice or None
        The slot, once there is one.
    refused : bool
        Whether the request was given up.
    retry_after : float
        Seconds after which the caller may come back, when refused.

    """

    request: Request
    exclude: tuple[str, ...]
    since: float
    latest: float
    choice: Choice | None = None
    refused: bool = False
    retry_after: float = 0
    done: threading.Event = field(default_factory=threading.Event)
    listener: Listener | None = None

    @property
    def worth(self) -> float:
        """Weight of the request per second of a slot's work."""
        kind = self.request.kind
        return kind.weight * _MILLISECONDS / max(kind.work_ms, 1)

    @property
    def is_spent(self) -> bool:
        """Whether most of the deadline was over when the request came."""
        if not self.request.deadline:
            return False
        left = self.request.deadline - self.since
        return left * _MILLISECONDS < _SPENT * self.request.kind.deadline_ms

    def rank(self) -> tuple[float, bool, float]:
        """Return the key of the order of service, the first one least.

        After an overload the callers that were refused come back for as
        long as their deadline lasts. If they went first, those that arrive
        meanwhile would be refused in turn, and the backlog would outlast
        the overload by a deadline.
        """
        return -self.worth, self.is_spent, self.since

    def settle(self, choice: Choice) -> None:
        """Hand over a slot."""
        self.choice = choice
        self._finish()

    def refuse(self, retry_after: float) -> None:
        """Give the request up; it gets its answer at once."""
        self.refused = True
        self.retry_after = retry_after
        self._finish()

    def listen(self, listener: Listener) -> None:
        """Call something with this waiter once it is settled or refused."""
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
        Most requests that wait at once.

    """

    def __init__(self, limit: int) -> None:
        """Store the bound; nobody waits."""
        self.limit = limit
        self.waiting_: list[Waiter] = []

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self.waiting_)

    def offer(self, waiter: Waiter) -> Waiter | None:
        """Let a request wait; return the one that has to go, if any.

        When the queue is full the last one in the order of service goes.
        """
        self.waiting_.append(waiter)
        self.waiting_.sort(key=Waiter.rank)
        if len(self.waiting_) > self.limit:
            return self.waiting_.pop()
        return None

    def remove(self, waiter: Waiter) -> None:
        """Forget a request; nothing happens if it does not wait."""
        if waiter in self.waiting_:
            self.waiting_.remove(waiter)

    def pop_late(self, now: float) -> Iterator[Waiter]:
        """Take out the requests for which a slot would come too late."""
        late = [waiter for waiter in self.waiting_ if waiter.latest <= now]
        for waiter in late:
            self.waiting_.remove(waiter)
            yield waiter


def limit_wait(request: Request, now: float, longest: float) -> float:
    """Return how long a request may wait so that its answer is in time.

    Parameters
    ----------
    now, longest : float
        Monotonic time and the policy's longest wait, in seconds.

    """
    if not request.deadline:
        return longest
    work = request.kind.work_ms / _MILLISECONDS
    return max(0, min(longest, request.deadline - now - work))
