"""Typical run times of a flow for cache hits and cache misses."""

from dataclasses import dataclass

__all__ = ['Estimate', 'Estimates']

# Weight of the newest run in the average.
_SMOOTHING = 0.05
# A longer run is counted as this many times the estimate.
_MAX_RUN_RATIO = 2.0
# Initial estimates as fractions of the objective, until there are runs.
_INITIAL_HIT_FRACTION = 0.35
_INITIAL_MISS_FRACTION = 1.0
# Hits and misses can't be told apart below this ratio of their run times.
_MIN_DISTINCT_RATIO = 1.3
# Number of first runs that have a larger weight, to converge faster.
_LEARNING_RUNS = 20


@dataclass(slots=True)
class Estimate:
    """Exponentially weighted average of run times in seconds."""

    seconds: float
    runs: int = 0

    def observe(self, seconds: float) -> None:
        """Add a run time; the influence of an outlier is limited."""
        self.runs += 1
        weight = max(_SMOOTHING, 1 / min(self.runs, _LEARNING_RUNS))
        bounded = min(seconds, _MAX_RUN_RATIO * self.seconds)
        if self.runs <= 2:
            bounded = seconds
        self.seconds += weight * (bounded - self.seconds)


class Estimates:
    """Run times of each flow for cache hits and cache misses."""

    def __init__(self) -> None:
        """Start without observed runs."""
        self._hits: dict[str, Estimate] = {}
        self._misses: dict[str, Estimate] = {}

    def find_hit(self, flow: str, objective: float = 0) -> Estimate:
        """Return the estimate for a backend server with the object cached.

        Until runs are observed it is a fraction of `objective`, in seconds.
        """
        return self._find(self._hits, flow, _INITIAL_HIT_FRACTION * objective)

    def find_miss(self, flow: str, objective: float = 0) -> Estimate:
        """Return the estimate for a backend server without the object.

        Until runs are observed it is a fraction of `objective`, in seconds.
        """
        return self._find(
            self._misses, flow, _INITIAL_MISS_FRACTION * objective
        )

    def is_hit(self, flow: str, seconds: float) -> bool | None:
        """Return whether a run was a cache hit; None if that is unclear."""
        hit = self._hits.get(flow)
        miss = self._misses.get(flow)
        if hit is None or miss is None or not (hit.runs and miss.runs):
            return None
        if miss.seconds < _MIN_DISTINCT_RATIO * hit.seconds:
            return None
        return seconds < (hit.seconds + miss.seconds) / 2

    def _find(
        self,
        table: dict[str, Estimate],
        flow: str,
        initial_seconds: float,
    ) -> Estimate:
        estimate = table.get(flow)
        if estimate is None:
            estimate = Estimate(initial_seconds)
            table[flow] = estimate
        return estimate
