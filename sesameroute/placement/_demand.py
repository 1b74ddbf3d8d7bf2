"""Estimates how many slots the arriving requests need."""

import math

__all__ = ['Demand']

# Time constant of the exponential average.
_WINDOW_SECONDS = 1.5


class Demand:
    """Exponentially weighted average of the work that arrives.

    Seconds of run time that arrive per second equal the number of slots that
    are busy on average.

    Examples
    --------
    >>> demand = Demand()
    >>> for moment in range(1000):
    ...     demand.add(0.05, moment / 100)
    >>> 4.5 < demand.estimate_slots(10) < 5.5
    True

    """

    def __init__(self) -> None:
        """Start without demand."""
        self._sum = 0
        self._updated_at = -math.inf

    def add(self, seconds: float, now: float) -> None:
        """Add one request's expected run time in seconds."""
        self._decay(now)
        self._sum += seconds

    def estimate_slots(self, now: float) -> float:
        """Return the average number of slots that the requests need."""
        self._decay(now)
        return self._sum / _WINDOW_SECONDS

    def _decay(self, now: float) -> None:
        age = max(now - self._updated_at, 0)
        self._sum *= math.exp(-age / _WINDOW_SECONDS)
        self._updated_at = now
