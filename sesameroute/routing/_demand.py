"""How many slots of a service a VM will want next."""

import math
from dataclasses import dataclass

__all__ = ['Demand']

_WINDOW = 0.2  # seconds for which a peak of use is remembered
_FAR_WINDOW = 1.0  # the same for slots that take long to get back
_SPARE = 0.15  # part of the peak that is kept free


@dataclass(slots=True)
class Demand:
    """The recent peak of slots in use for one service in one region.

    Attributes
    ----------
    is_far : bool
        Whether the slots are in another region: there none is kept ready
        without need.
    peak, previous : int
        Largest use in this window and the one before.
    since : float
        Start of this window, monotonic time in seconds.

    Examples
    --------
    >>> demand = Demand()
    >>> demand.observe(10, now=1)
    >>> demand.count_needed(used=4)
    8

    """

    is_far: bool = False
    peak: int = 0
    previous: int = 0
    since: float = 0

    def observe(self, used: int, now: float) -> None:
        """Take in the slots in use and wanted now."""
        window = _FAR_WINDOW if self.is_far else _WINDOW
        if now - self.since >= window:
            self.previous = self.peak
            self.peak = 0
            self.since = now
        self.peak = max(self.peak, used)

    def count_needed(self, used: int) -> int:
        """Return the free slots to have ready beyond those in use."""
        peak = max(self.peak, self.previous)
        if self.is_far and not peak:
            return 0
        spare = max(1, math.ceil(peak * _SPARE))
        return max(0, peak - used) + spare
