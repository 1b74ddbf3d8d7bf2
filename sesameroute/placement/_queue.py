"""Priority queue of the requests that wait for a slot."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from sesameroute.placement._messages import Grant, Refusal, SlotRequest

__all__ = ['SettleCallback', 'WaitingRequests', 'Waiter']

SortKey = tuple[int, bool, bool, float]
SettleCallback = Callable[[Grant | Refusal], None]


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

    """

    slot_request: SlotRequest
    node: str
    settle: SettleCallback
    region: str
    arrived_at: float
    latest_start: float
    deadline: float
    wait_until: float = 0

    @property
    def sort_key(self) -> SortKey:
        """Sort key: priority, can be on time, is a retry, latest start.

        The request with the lowest key is served first. Requests without
        enough time left for the run come after the others. Otherwise, during
        a surge of retries, requests with slightly too little time would
        occupy every slot and be late, and all new requests be refused.
        """
        slot_request = self.slot_request
        is_late = self.latest_start < self.arrived_at
        return (
            slot_request.priority,
            is_late,
            not slot_request.is_returning,
            self.latest_start,
        )


class WaitingRequests:
    """Waiting requests, sorted by `Waiter.sort_key`."""

    def __init__(self) -> None:
        """Start with an empty queue."""
        self._waiters: list[Waiter] = []

    def add(self, waiter: Waiter) -> None:
        """Add a request."""
        self._waiters.append(waiter)
        self._waiters.sort(key=lambda waiting: waiting.sort_key)

    def remove(self, waiter: Waiter) -> None:
        """Remove a request."""
        self._waiters.remove(waiter)

    def remove_node(self, node: str) -> None:
        """Remove all requests of a node."""
        self._waiters = [
            waiter for waiter in self._waiters if waiter.node != node
        ]

    def count_ahead(self, region: str, sort_key: SortKey) -> int:
        """Return how many requests of a region come before a sort key."""
        return sum(
            waiter.region == region and waiter.sort_key <= sort_key
            for waiter in self._waiters
        )

    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over a copy in the order of service."""
        return iter(tuple(self._waiters))

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiters)
