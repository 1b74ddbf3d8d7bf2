"""Estimate of the slots of a service that a VM will need next."""

import math
from dataclasses import dataclass

__all__ = ['Demand']

_PEAK_WINDOW_SECONDS = 0.2  # window over which peak use is tracked
# Longer for other regions, from which slots take longer to get back.
_REMOTE_PEAK_WINDOW_SECONDS = 1.0
_SPARE_FRACTION = 0.15  # of the peak, kept free in addition


@dataclass(slots=True)
class Demand:
    """Recent peak use of slots of one service in one region.

    Attributes
    ----------
    is_remote : bool
        Whether the slots are in another region; no spare slots are kept
        there while there is no demand.
    peak, previous_peak : int
        Maximum use in the current window and in the one before.
    window_start : float
        Start of the current window, monotonic time in seconds.

    Examples
    --------
    >>> demand = Demand()
    >>> demand.observe(10, now=1)
    >>> demand.count_free_needed(used=4)
    8

    """

    is_remote: bool = False
    peak: int = 0
    previous_peak: int = 0
    window_start: float = 0

    def observe(self, used: int, now: float) -> None:
        """Record the number of slots that are in use or waited for."""
        window = (
            _REMOTE_PEAK_WINDOW_SECONDS
            if self.is_remote
            else _PEAK_WINDOW_SECONDS
        )
        if now - self.window_start >= window:
            self.previous_peak = self.peak
            self.peak = 0
            self.window_start = now
        self.peak = max(self.peak, used)

    def count_free_needed(self, used: int) -> int:
        """Return the number of free slots to keep beyond those in use."""
        peak = max(self.peak, self.previous_peak)
        if self.is_remote and not peak:
            return 0
        spare = max(1, math.ceil(peak * _SPARE_FRACTION))
        return max(0, peak - used) + spare
