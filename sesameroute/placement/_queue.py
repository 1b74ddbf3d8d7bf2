"""Priority queue of the requests that wait for a slot.

Load: two to five times the room for some seconds. Requests that had come
back went first, also when they were late by then, and new ones that could be
on time were refused for them.
"""

import bisect
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from operator import attrgetter

from sesameroute.placement._messages import Grant, Refusal, SlotRequest

__all__ = ['SettleCallback', 'WaitingRequests', 'Waiter']

# Urgency; reasons to come after others of the same urgency; latest start.
SortKey = tuple[tuple[int, int], tuple[bool, bool, int], float]
SettleCallback = Callable[[Grant | Refusal], None]

_BY_SORT_KEY = attrgetter('sort_key')


@dataclass(slots=True)
class Waiter:
    """A request in a pool's queue.

    Attributes
    ----------
    slot_request : SlotRequest
        The request.
    node : str
        Address of the node that asked for the slot.
    settle : callable
        Called with the grant or refusal.
    region : str
        Region in which the request should run.
    arrived_at : float
        Monotonic time of arrival in seconds.
    latest_start : float
        Monotonic time in seconds. A request that starts later probably
        misses its objective.
    deadline : float
        Monotonic time of the deadline in seconds.
    wait_until : float
        Monotonic time in seconds at which the wait ends.
    is_returning : bool
        Whether it has come back as it was told.
    tenant_level : int
        How far its tenant is above its fair share; 0 if it is not.
    is_late : bool
        Whether it was found too late for its objective.
    travel : float
        Seconds to servers of its region and back, which are no run time.

    """

    slot_request: SlotRequest
    node: str
    settle: SettleCallback
    region: str
    arrived_at: float
    latest_start: float
    deadline: float
    wait_until: float = 0
    is_returning: bool = False
    tenant_level: int = 0
    is_late: bool = False
    travel: float = 0

    def __post_init__(self) -> None:
        """Compute whether it is late from the start."""
        self.is_late = self.latest_start < self.arrived_at

    def advance_latest_start(self, latest_start: float) -> None:
        """Use an earlier latest start; a later one has no effect."""
        self.latest_start = min(self.latest_start, latest_start)
        self.is_late = self.latest_start < self.arrived_at

    @property
    def flow_class(self) -> tuple[str, bool]:
        """Route, and whether it was too late on its arrival."""
        return self.slot_request.flow, self.latest_start < self.arrived_at

    @property
    def sort_key(self) -> SortKey:
        """Sort key; the request with the lowest key is served first.

        Urgency of the tenant and of the route, can be on time, has come back,
        fair share of the tenant, latest start. Requests without enough time
        left for the run come after the others. Otherwise, during a surge of
        retries, requests with slightly too little time would occupy every
        slot and be late, and all new requests be refused.
        """
        slot_request = self.slot_request
        return (
            (slot_request.tenant_priority, slot_request.priority),
            (self.is_late, not self.is_returning, self.tenant_level),
            self.latest_start,
        )


class WaitingRequests:
    """Waiting requests, sorted by `Waiter.sort_key`."""

    def __init__(self) -> None:
        """Start with an empty queue."""
        self._waiters: list[Waiter] = []

    def add(self, waiter: Waiter) -> None:
        """Add a request."""
        bisect.insort(self._waiters, waiter, key=_BY_SORT_KEY)

    def remove(self, waiter: Waiter) -> None:
        """Remove a request."""
        self._waiters = [each for each in self._waiters if each is not waiter]

    def remove_node(self, node: str) -> None:
        """Remove all requests of a node."""
        self._waiters = [
            waiter for waiter in self._waiters if waiter.node != node
        ]

    def find(self, ticket: str) -> Waiter | None:
        """Return the request with a ticket, if it waits."""
        for waiter in self._waiters:
            if waiter.slot_request.ticket == ticket:
                return waiter
        return None

    def move_late(self, now: float) -> None:
        """Move the requests that can't be on time any more to their place."""
        late = [
            waiter
            for waiter in self._waiters
            if waiter.latest_start < now and not waiter.is_late
        ]
        for waiter in late:
            waiter.is_late = True
        if late:
            self._waiters.sort(key=_BY_SORT_KEY)

    def count_ahead(self, waiter: Waiter) -> int:
        """Return how many requests of its region come before another."""
        end = bisect.bisect_right(
            self._waiters, waiter.sort_key, key=_BY_SORT_KEY
        )
        return sum(each.region == waiter.region for each in self._waiters[:end])

    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over a copy in the order of service."""
        return iter(tuple(self._waiters))

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiters)
