"""Learns from the end of each run."""

from sesameroute.placement._ask import Outcome, Release
from sesameroute.placement._estimates import Estimates
from sesameroute.placement._held import Held
from sesameroute.placement._warmth import DepthModel

__all__ = ['Learner']

_USUAL_PACE = 1.4  # times the usual run time up to which a run is typical
_NOT_RUN = frozenset(
    (Outcome.SHED, Outcome.UNREACHED, Outcome.MISDIRECTED),
)
_SHORTEST_RUN = 0.001  # seconds


class Learner:
    """Updates run times, depths, pace and health.

    Parameters
    ----------
    estimates : Estimates
        Usual run times.
    model : DepthModel
        Up to which depth objects are known.

    """

    def __init__(self, estimates: Estimates, model: DepthModel) -> None:
        """Store the parameters."""
        self.estimates = estimates
        self.model = model

    def observe(self, held: Held, release: Release, now: float) -> None:
        """Learn from one run."""
        state, key = held.state, held.ask.key
        state.judge(release.outcome, now)
        if release.outcome is Outcome.ANSWERED:
            self._observe_answer(held, release.seconds, now)
            if key and state.recent.find_depth(key, now) is None:
                # Another run of the object was shed meanwhile.
                state.recent.add(key, now)
        elif release.outcome in _NOT_RUN and not held.is_warm:
            # What never ran has not made the object known.
            state.recent.forget(key)

    def _observe_answer(self, held: Held, seconds: float, now: float) -> None:
        ask = held.ask
        state = held.state
        hit = self.estimates.is_hit(ask.flow, seconds)
        usual = self.estimates.find_cold(ask.flow, ask.objective)
        if held.is_warm:
            usual = self.estimates.find_warm(ask.flow, ask.objective)
        is_typical = state.pace < _USUAL_PACE and not state.is_cold(now)
        if held.depth is not None and hit is not None and is_typical:
            self.model.observe(held.depth, is_hit=hit)
        if usual.runs:
            state.observe_pace(seconds / max(usual.seconds, _SHORTEST_RUN))
        if is_typical:
            usual.observe(seconds)
