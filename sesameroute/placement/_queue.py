"""Requests that wait for a slot."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from sesameroute.placement._ask import Ask, Grant, Refusal

__all__ = ['Settle', 'WaitingRequests', 'Waiter']

Rank = tuple[int, bool, bool, float]
Settle = Callable[[Grant | Refusal], None]


@dataclass(slots=True)
class Waiter:
    """A request in a pool's queue.

    Attributes
    ----------
    node : str
        Who asked.
    region : str
        Region whose backend servers it waits for.
    arrived, starts_by, ends_at, until : float
        Monotonic times in seconds of its arrival, the latest start with
        which it meets its objective, its deadline, and the end of its wait.

    """

    ask: Ask
    node: str
    settle: Settle
    region: str
    arrived: float
    starts_by: float
    ends_at: float
    until: float = 0

    @property
    def rank(self) -> Rank:
        """Who comes first: the urgent, who can be on time, who returns.

        Whether the time that is left suffices for the run decides: under
        a wave of callers that return, those a little short of it would fill
        every slot and be late, and all that come meanwhile be refused.
        """
        ask = self.ask
        is_late = self.starts_by < self.arrived
        return ask.priority, is_late, not ask.is_returning, self.starts_by


class WaitingRequests:
    """Waiters in the order of their rank."""

    def __init__(self) -> None:
        """Start empty."""
        self._waiters: list[Waiter] = []

    def add(self, waiter: Waiter) -> None:
        """Add a waiter."""
        self._waiters.append(waiter)
        self._waiters.sort(key=lambda waiting: waiting.rank)

    def remove(self, waiter: Waiter) -> None:
        """Take a waiter out."""
        self._waiters.remove(waiter)

    def remove_node(self, node: str) -> None:
        """Take all waiters of a node out."""
        self._waiters = [
            waiter for waiter in self._waiters if waiter.node != node
        ]

    def count_ahead(self, region: str, rank: Rank) -> int:
        """Return how many waiters of a region come before a rank."""
        return sum(
            waiter.region == region and waiter.rank <= rank
            for waiter in self._waiters
        )

    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over a copy in the order of rank."""
        return iter(tuple(self._waiters))

    def __len__(self) -> int:
        """Return the number of waiters."""
        return len(self._waiters)
