"""A sliding-window rate limiter."""

import math
from collections import deque

__all__ = ['SlidingWindow']


class SlidingWindow:
    """Limits the number of events in every window of time.

    The window slides with each event, so that a burst across the boundary of
    two fixed windows can't exceed the limit either.

    Parameters
    ----------
    rate : float
        Maximum events per second. For a rate below 1, the window of one
        second is extended to `1 / rate` seconds and allows one event.

    Examples
    --------
    >>> window = SlidingWindow(2)
    >>> [window.try_acquire(now) for now in (0, 0.9, 0.95, 1.01)]
    [True, True, False, True]

    """

    def __init__(self, rate: float) -> None:
        """Start without recorded events."""
        self.rate = rate
        self.events_: deque[float] = deque()

    def allows_event(self, now: float) -> bool:
        """Return whether an event is allowed now."""
        if self.rate <= 0:
            return False
        window_seconds = max(1, 1 / self.rate)
        while self.events_ and self.events_[0] <= now - window_seconds:
            self.events_.popleft()
        return len(self.events_) < max(1, math.floor(self.rate))

    def try_acquire(self, now: float) -> bool:
        """Record an event if it is allowed; return whether it was."""
        if not self.allows_event(now):
            return False
        self.events_.append(now)
        return True
