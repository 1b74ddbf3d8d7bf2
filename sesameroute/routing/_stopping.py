"""Work that nobody waits for any more, until it has stopped."""

from collections import deque
from collections.abc import Iterator

from sesameroute.ports import STOP_SECONDS, Clock

__all__ = ['StoppingWork']


class StoppingWork:
    """Tickets of slots in which a backend server still ends its work.

    Parameters
    ----------
    clock : Clock
        Source of time.

    """

    def __init__(self, clock: Clock) -> None:
        """Store the argument; no work is stopping."""
        self.clock = clock
        self.due_: deque[tuple[float, int]] = deque()

    def add(self, ticket: int) -> None:
        """Give the work of a ticket the time to stop."""
        self.due_.append((self.clock.read_monotonic() + STOP_SECONDS, ticket))

    def pop_due(self) -> Iterator[int]:
        """Yield the tickets whose time is over, each once."""
        now = self.clock.read_monotonic()
        while self.due_ and self.due_[0][0] <= now:
            yield self.due_.popleft()[1]
