"""When the lanes of a stand-in network have to be looked at again."""

import heapq
import time
from collections.abc import Iterator
from itertools import count

from sesameroute.fakes._lane import Lane

__all__ = ['Agenda']

_IDLE_SECONDS = 0.05


class Agenda:
    """Lanes ordered by the monotonic time at which they are due."""

    def __init__(self) -> None:
        """Start empty."""
        self._numbers = count()
        self._due: list[tuple[float, int, Lane]] = []

    def put(self, lane: Lane, due: float) -> None:
        """Note when a lane is due."""
        heapq.heappush(self._due, (due, next(self._numbers), lane))

    def find_pause(self) -> float:
        """Return the seconds until a lane is due, or until a new look."""
        if not self._due:
            return _IDLE_SECONDS
        pause = self._due[0][0] - time.monotonic()
        return min(max(pause, 0), _IDLE_SECONDS)

    def pop_due(self) -> Iterator[Lane]:
        """Remove and return the lanes that are due."""
        now = time.monotonic()
        while self._due and self._due[0][0] <= now:
            yield heapq.heappop(self._due)[-1]
