"""Limits how fast a region's requests shift between regions."""

from collections import Counter, deque
from collections.abc import Iterable

__all__ = ['MAX_SHARE_GROWTH', 'SHIFT_WINDOW_SECONDS', 'ShiftLimiter']

# The window for which the cap on shifts is defined.
SHIFT_WINDOW_SECONDS = 2.0

_BUCKET_SECONDS = 0.25
_WINDOW_BUCKETS = int(SHIFT_WINDOW_SECONDS / _BUCKET_SECONDS)
# Fraction of the requests that may move from one window to the next.
MAX_SHARE_GROWTH = 0.11
# A window with fewer requests is too small a sample to be limited.
_MIN_REQUESTS = 12


class ShiftLimiter:
    """Compares the regions of the requests in two consecutive windows.

    Parameters
    ----------
    max_growth : float
        Fraction of the requests that may move from one window to the next.

    Examples
    --------
    >>> limiter = ShiftLimiter()
    >>> for moment in range(40):
    ...     limiter.record_request('local', moment / 10)
    >>> limiter.permits('remote', 4.0)
    True
    >>> for _ in range(4):
    ...     limiter.record_request('remote', 4.0)
    >>> limiter.permits('remote', 4.0)
    False

    """

    def __init__(self, max_growth: float = MAX_SHARE_GROWTH) -> None:
        """Start without recorded requests."""
        self.max_growth = max_growth
        self._buckets: deque[Counter[str]] = deque(
            maxlen=2 * _WINDOW_BUCKETS,
        )
        self._newest_bucket = 0

    def record_request(self, region: str, now: float) -> None:
        """Record a request that is sent to a region."""
        self._advance(now)
        self._buckets[-1][region] += 1

    def permits(self, region: str, now: float) -> bool:
        """Return whether another request to a region is within the cap."""
        before, latest = self._count_windows(now)
        if before.total() < _MIN_REQUESTS:
            return True
        latest[region] += 1
        growth = {
            name: latest[name] / latest.total() - before[name] / before.total()
            for name in latest
        }
        if growth[region] <= 0:
            return True
        # The sum of the gains is the fraction of requests that moved.
        return sum(max(gain, 0) for gain in growth.values()) <= self.max_growth

    def find_most_reduced(self, regions: Iterable[str], now: float) -> str:
        """Return the region whose share has decreased most."""
        before, latest = self._count_windows(now)
        before_total = max(before.total(), 1)
        latest_total = max(latest.total(), 1)
        return max(
            regions,
            key=lambda region: (
                before[region] / before_total - latest[region] / latest_total
            ),
        )

    def _count_windows(self, now: float) -> tuple[Counter[str], Counter[str]]:
        self._advance(now)
        buckets = list(self._buckets)
        before = sum(buckets[:-_WINDOW_BUCKETS], Counter())
        return before, sum(buckets[-_WINDOW_BUCKETS:], Counter())

    def _advance(self, now: float) -> None:
        bucket = int(now / _BUCKET_SECONDS)
        elapsed_buckets = bucket - self._newest_bucket
        self._newest_bucket = bucket
        for _ in range(min(max(elapsed_buckets, 0), 2 * _WINDOW_BUCKETS)):
            self._buckets.append(Counter())
        if not self._buckets:
            self._buckets.append(Counter())
