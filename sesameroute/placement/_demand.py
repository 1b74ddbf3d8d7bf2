"""Slots that arriving work keeps busy on average."""

import math

__all__ = ['Demand']

_WINDOW_SECONDS = 1.5  # time constant of the average


class Demand:
    """An exponentially weighted rate of arriving work.

    Examples
    --------
    >>> demand = Demand()
    >>> for moment in range(1000):
    ...     demand.add(0.05, moment / 100)
    >>> 4.5 < demand.read(10) < 5.5
    True

    """

    def __init__(self) -> None:
        """Start without work."""
        self._sum = 0
        self._read = -math.inf

    def add(self, seconds: float, now: float) -> None:
        """Add one request's expected run time."""
        self._fade(now)
        self._sum += seconds

    def read(self, now: float) -> float:
        """Return the slots that the work needs."""
        self._fade(now)
        return self._sum / _WINDOW_SECONDS

    def _fade(self, now: float) -> None:
        age = max(now - self._read, 0)
        self._sum *= math.exp(-age / _WINDOW_SECONDS)
        self._read = now
