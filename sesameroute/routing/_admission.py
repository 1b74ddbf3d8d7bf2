"""Admission control: take a slot, wait in a queue or refuse."""

import random
from collections.abc import Callable

from sesameroute.limits import WaitingRequest, WaitQueue, compute_max_wait
from sesameroute.ports import Choice, Request
from sesameroute.routing._headroom import count_used
from sesameroute.routing._slot_table import SlotTable
from sesameroute.statement import Kind

__all__ = ['Admission', 'TakeSlot']

_MILLISECONDS = 1000  # in a second
_MAX_WAITING_REQUESTS = 256  # per service
_MIN_RETRY_AFTER_SECONDS = 0.05
_MIN_WAIT_SECONDS = 0.02

# Takes a slot for a request, or returns None when none is free. The tuple
# holds the names of backend servers not to use.
TakeSlot = Callable[[Request, tuple[str, ...]], Choice | None]


class Admission:
    """Queues requests that wait for a slot, one queue per service.

    Parameters
    ----------
    table : SlotTable
        Slot counts of this VM.
    take_slot : callable
        Takes a slot for a request, or returns None when none is free.
    rng : random.Random
        Adds jitter to the retry times given to refused callers.

    """

    def __init__(
        self,
        table: SlotTable,
        take_slot: TakeSlot,
        rng: random.Random,
    ) -> None:
        """Start with empty queues."""
        self.table = table
        self.take_slot = take_slot
        self.rng = rng
        self.queues_: dict[str, WaitQueue] = {}

    def count_waiting(self, service: str) -> int:
        """Return the number of requests queued for a service."""
        return len(self._find_queue(service))

    def submit(
        self, request: Request, exclude: tuple[str, ...]
    ) -> WaitingRequest:
        """Take a slot, queue the request or refuse it, without blocking."""
        now = self.table.clock.read_monotonic()
        max_wait = compute_max_wait(
            request, now, self.table.read_queue_seconds()
        )
        waiter = WaitingRequest(request, exclude, now, now + max_wait)
        service = request.kind.service
        dropped = self._find_queue(service).push(waiter)
        if dropped:
            self._refuse(dropped)
        self.serve_queue(service)
        return waiter

    def measure_time_left(self, waiter: WaitingRequest) -> float:
        """Return how long a waiting thread may sleep, in seconds.

        Released slots, granted leases and ticks serve the queue. A waiting
        thread serves it itself only when its own wait has expired, so that
        a long queue does not cause extra scans.
        """
        time_left = waiter.latest_start - self.table.clock.read_monotonic()
        return max(_MIN_WAIT_SECONDS, time_left)

    def serve_queue(self, service: str) -> None:
        """Refuse requests that waited too long; give free slots to others."""
        queue = self._find_queue(service)
        for expired in queue.pop_expired(self.table.clock.read_monotonic()):
            self._refuse(expired)
        for waiter in tuple(queue.waiting_):
            choice = self.take_slot(waiter.request, waiter.exclude)
            if choice is None:
                break
            queue.remove(waiter)
            waiter.assign(choice)

    def _find_queue(self, service: str) -> WaitQueue:
        return self.queues_.setdefault(
            service, WaitQueue(_MAX_WAITING_REQUESTS)
        )

    def _refuse(self, waiter: WaitingRequest) -> None:
        waiter.refuse(self._estimate_wait(waiter.request.kind))

    def _estimate_wait(self, kind: Kind) -> float:
        slots_used = max(1, count_used(self.table, kind.service))
        waiting = self.count_waiting(kind.service) + 1
        work_seconds = kind.work_ms / _MILLISECONDS
        jitter = 1 + self.rng.random()
        return (
            max(_MIN_RETRY_AFTER_SECONDS, work_seconds * waiting / slots_used)
            * jitter
        )
