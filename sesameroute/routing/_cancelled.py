"""Slots of cancelled requests, until the backend server has stopped."""

from collections import deque
from collections.abc import Iterator

from sesameroute.ports import BACKEND_STOP_SECONDS, Clock

__all__ = ['CancelledWork']


class CancelledWork:
    """Holds slot tickets while backend servers stop cancelled work.

    Parameters
    ----------
    clock : Clock
        Source of time.

    """

    def __init__(self, clock: Clock) -> None:
        """Start without tickets."""
        self.clock = clock
        self.deadlines_: deque[tuple[float, int]] = deque()

    def add(self, slot_id: int) -> None:
        """Hold a slot_id for BACKEND_STOP_SECONDS."""
        self.deadlines_.append(
            (self.clock.read_monotonic() + BACKEND_STOP_SECONDS, slot_id)
        )

    def pop_due(self) -> Iterator[int]:
        """Yield and remove the tickets whose hold time has expired."""
        now = self.clock.read_monotonic()
        while self.deadlines_ and self.deadlines_[0][0] <= now:
            yield self.deadlines_.popleft()[1]
