"""A cap on events in every window of time."""

import math
from collections import deque

__all__ = ['SlidingWindow']


class SlidingWindow:
    """Allows a number of events in any window, however they are placed.

    Parameters
    ----------
    rate : float
        Most events a second. Below one a second the window grows, so that
        one event fits.

    Examples
    --------
    >>> window = SlidingWindow(2)
    >>> [window.take(now) for now in (0, 0.9, 0.95, 1.01)]
    [True, True, False, True]

    """

    def __init__(self, rate: float) -> None:
        """Store the cap; no event happened."""
        self.rate = rate
        self.events_: deque[float] = deque()

    def is_open(self, now: float) -> bool:
        """Return whether an event is allowed now."""
        if self.rate <= 0:
            return False
        length = max(1, 1 / self.rate)
        while self.events_ and self.events_[0] <= now - length:
            self.events_.popleft()
        return len(self.events_) < max(1, math.floor(self.rate))

    def take(self, now: float) -> bool:
        """Count an event if it is allowed; return whether it was."""
        if not self.is_open(now):
            return False
        self.events_.append(now)
        return True
