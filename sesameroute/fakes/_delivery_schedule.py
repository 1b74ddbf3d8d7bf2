"""Times at which the connections of a fake network need service."""

import heapq
import time
from collections.abc import Iterator
from itertools import count

from sesameroute.fakes._delayed_stream import DelayedStream

__all__ = ['DeliverySchedule']

# Bounds the time until the transfer loop notices that it was stopped.
_MAX_TIMEOUT_SECONDS = 0.05


class DeliverySchedule:
    """Lanes ordered by the monotonic time at which they are due."""

    def __init__(self) -> None:
        """Create an empty schedule."""
        self._tie_breakers = count()
        self._due: list[tuple[float, int, DelayedStream]] = []

    def put(self, stream: DelayedStream, due: float) -> None:
        """Schedule a stream for a monotonic time."""
        heapq.heappush(self._due, (due, next(self._tie_breakers), stream))

    def find_timeout(self) -> float:
        """Return the seconds until a stream is due, limited to 50 ms."""
        if not self._due:
            return _MAX_TIMEOUT_SECONDS
        timeout = self._due[0][0] - time.monotonic()
        return min(max(timeout, 0), _MAX_TIMEOUT_SECONDS)

    def pop_due(self) -> Iterator[DelayedStream]:
        """Remove and yield the lanes that are due, earliest first."""
        now = time.monotonic()
        while self._due and self._due[0][0] <= now:
            yield heapq.heappop(self._due)[-1]
