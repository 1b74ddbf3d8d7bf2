"""Counts where a region's requests run, so that no shift passes its cap."""

from collections import Counter, deque
from collections.abc import Iterable

__all__ = ['ShiftGuard']

_BUCKET_SECONDS = 0.25
_WINDOW_BUCKETS = 8  # two seconds, as the cap on shifts is stated
_MOST_GROWTH = 0.11  # of the requests, from one window to the next
_FEWEST = 12  # requests of a window that say something


class ShiftGuard:
    """Compares the last window with the one before it.

    Examples
    --------
    >>> guard = ShiftGuard()
    >>> for moment in range(40):
    ...     guard.note('home', moment / 10)
    >>> guard.permits('away', 4.0)
    True
    >>> for _ in range(4):
    ...     guard.note('away', 4.0)
    >>> guard.permits('away', 4.0)
    False

    """

    def __init__(self) -> None:
        """Start without requests."""
        self._buckets: deque[Counter[str]] = deque(
            maxlen=2 * _WINDOW_BUCKETS,
        )
        self._newest = 0

    def note(self, region: str, now: float) -> None:
        """Count a request that runs in a region."""
        self._advance(now)
        self._buckets[-1][region] += 1

    def permits(self, region: str, now: float) -> bool:
        """Return whether one more request in a region is within the cap."""
        before, latest = self._count_windows(now)
        if before.total() < _FEWEST:
            return True
        latest[region] += 1
        growth = {
            name: latest[name] / latest.total() - before[name] / before.total()
            for name in latest
        }
        if growth[region] <= 0:
            return True
        # What some regions gain is what changes its region.
        return sum(max(part, 0) for part in growth.values()) <= _MOST_GROWTH

    def find_behind(self, regions: Iterable[str], now: float) -> str:
        """Return the region whose share has fallen most."""
        before, latest = self._count_windows(now)
        asked = max(before.total(), 1)
        ran = max(latest.total(), 1)
        return max(
            regions,
            key=lambda region: before[region] / asked - latest[region] / ran,
        )

    def _count_windows(self, now: float) -> tuple[Counter[str], Counter[str]]:
        self._advance(now)
        buckets = list(self._buckets)
        before = sum(buckets[:-_WINDOW_BUCKETS], Counter())
        return before, sum(buckets[-_WINDOW_BUCKETS:], Counter())

    def _advance(self, now: float) -> None:
        number = int(now / _BUCKET_SECONDS)
        missing = number - self._newest
        self._newest = number
        for _ in range(min(max(missing, 0), 2 * _WINDOW_BUCKETS)):
            self._buckets.append(Counter())
        if not self._buckets:
            self._buckets.append(Counter())
