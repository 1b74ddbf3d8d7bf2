"""Admission: requests that take a slot, wait for one or are refused."""

import random
from collections.abc import Callable

from sesameroute.limits import Waiter, WaitQueue, limit_wait
from sesameroute.ports import Choice, Request
from sesameroute.routing._book import SlotBook
from sesameroute.routing._headroom import count_used
from sesameroute.statement import Kind

__all__ = ['Admission', 'Place']

_MILLISECONDS = 1000  # in a second
_QUEUE_LIMIT = 256  # requests a service
_MIN_RETRY_AFTER = 0.05  # seconds
_MIN_LEFT = 0.02  # seconds

# Takes a slot for a request, or returns None.
Place = Callable[[Request, tuple[str, ...]], Choice | None]


class Admission:
    """Queues of the requests that wait for a slot, one for each service.

    Parameters
    ----------
    book : SlotBook
        The slots of this VM.
    place : callable
        Takes a slot for a request, or returns None.
    rng : random.Random
        Spreads the times at which refused callers come back.

    """

    def __init__(
        self,
        book: SlotBook,
        place: Place,
        rng: random.Random,
    ) -> None:
        """Store the arguments; nobody waits."""
        self.book = book
        self.place = place
        self.rng = rng
        self.queues_: dict[str, WaitQueue] = {}

    def count_waiting(self, service: str) -> int:
        """Return the requests that wait for a slot of a service."""
        return len(self._find_queue(service))

    def submit(self, request: Request, exclude: tuple[str, ...]) -> Waiter:
        """Take a slot, join the queue or be refused, without blocking."""
        now = self.book.clock.read_monotonic()
        longest = limit_wait(request, now, self.book.read_queue_seconds())
        waiter = Waiter(request, exclude, now, now + longest)
        service = request.kind.service
        loser = self._find_queue(service).offer(waiter)
        if loser:
            self._refuse(loser)
        self.pump(service)
        return waiter

    def measure_left(self, waiter: Waiter) -> float:
        """Return the seconds until a waiting request has to look itself.

        Releases, grants and ticks hand out slots; one that waits looks only
        when its time is over, so that a long queue costs no more.
        """
        left = waiter.latest - self.book.clock.read_monotonic()
        return max(_MIN_LEFT, left)

    def pump(self, service: str) -> None:
        """Hand free slots to those who wait and refuse those too late."""
        queue = self._find_queue(service)
        for late in queue.pop_late(self.book.clock.read_monotonic()):
            self._refuse(late)
        for waiter in tuple(queue.waiting_):
            choice = self.place(waiter.request, waiter.exclude)
            if choice is None:
                break
            queue.remove(waiter)
            waiter.settle(choice)

    def _find_queue(self, service: str) -> WaitQueue:
        return self.queues_.setdefault(service, WaitQueue(_QUEUE_LIMIT))

    def _refuse(self, waiter: Waiter) -> None:
        waiter.refuse(self._estimate_wait(waiter.request.kind))

    def _estimate_wait(self, kind: Kind) -> float:
        used = max(1, count_used(self.book, kind.service))
        waiting = self.count_waiting(kind.service) + 1
        work = kind.work_ms / _MILLISECONDS
        spread = 1 + self.rng.random()
        return max(_MIN_RETRY_AFTER, work * waiting / used) * spread
