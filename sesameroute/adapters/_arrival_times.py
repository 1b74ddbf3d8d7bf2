"""When the bytes that wait on a connection came."""

from collections import deque

__all__ = ['ArrivalTimes']


class ArrivalTimes:
    """Monotonic times in seconds of the bytes that are not consumed yet.

    The time of a request counts from its own bytes, not from the answer to
    the one before it.

    Examples
    --------
    >>> times = ArrivalTimes()
    >>> times.record(10, 1.0)
    >>> times.record(5, 2.0)
    >>> times.find(10), times.find(11)
    (1.0, 2.0)
    >>> times.keep_last(5)
    >>> times.find(1)
    2.0

    """

    def __init__(self) -> None:
        """Start without bytes."""
        self._spans: deque[tuple[int, float]] = deque()  # sizes and times

    def record(self, size: int, now: float) -> None:
        """Note that some bytes have come."""
        self._spans.append((size, now))

    def find(self, size: int) -> float:
        """Return when the first so many bytes had come; 0 without any."""
        missing = size
        spans = iter(self._spans)
        found: float = 0
        while missing > 0:
            span, found = next(spans, (missing, found))
            missing -= span
        return found

    def keep_last(self, size: int) -> None:
        """Forget all but the last so many bytes."""
        excess = sum(span for span, _ in self._spans) - size
        while self._spans and excess > 0:
            span, came_at = self._spans.popleft()
            if span > excess:
                self._spans.appendleft((span - excess, came_at))
            excess -= span
