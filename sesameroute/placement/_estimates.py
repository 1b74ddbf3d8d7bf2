"""Usual run times of a flow on backend servers that know the object or not."""

from dataclasses import dataclass

__all__ = ['Estimate', 'Estimates']

_SMOOTHING = 0.05  # weight of the newest run
_CLIP = 2.0  # a run counts for at most this times the estimate
_FIRST_WARM = 0.35  # of the objective, until runs have been seen
_FIRST_COLD = 1.0  # of the objective, until runs have been seen
_CLEAR_RATIO = 1.3  # of cold to warm, below which they can't be told apart
_LEARNING_RUNS = 20  # runs over which the smoothing is stronger


@dataclass(slots=True)
class Estimate:
    """A smoothed time in seconds."""

    seconds: float
    runs: int = 0

    def observe(self, seconds: float) -> None:
        """Learn from one run; single slow runs count little."""
        self.runs += 1
        weight = max(_SMOOTHING, 1 / min(self.runs, _LEARNING_RUNS))
        bounded = min(seconds, _CLIP * self.seconds)
        if self.runs <= 2:
            bounded = seconds
        self.seconds += weight * (bounded - self.seconds)


class Estimates:
    """Warm and cold run times of each flow."""

    def __init__(self) -> None:
        """Start without any runs."""
        self._warm: dict[str, Estimate] = {}
        self._cold: dict[str, Estimate] = {}

    def find_warm(self, flow: str, objective: float = 0) -> Estimate:
        """Return the estimate for a backend server that knows the object."""
        return self._find(self._warm, flow, _FIRST_WARM * objective)

    def find_cold(self, flow: str, objective: float = 0) -> Estimate:
        """Return the estimate for one that does not."""
        return self._find(self._cold, flow, _FIRST_COLD * objective)

    def is_hit(self, flow: str, seconds: float) -> bool | None:
        """Return whether a run was on a known object; None if unclear."""
        warm = self._warm.get(flow)
        cold = self._cold.get(flow)
        if warm is None or cold is None or not (warm.runs and cold.runs):
            return None
        if cold.seconds < _CLEAR_RATIO * warm.seconds:
            return None
        return seconds < (warm.seconds + cold.seconds) / 2

    def _find(
        self,
        table: dict[str, Estimate],
        flow: str,
        first: float,
    ) -> Estimate:
        estimate = table.get(flow)
        if estimate is None:
            estimate = Estimate(first)
            table[flow] = estimate
        return estimate
