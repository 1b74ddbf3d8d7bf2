"""Updates estimates from completed requests."""

import logging

from sesameroute.placement._active_grants import ActiveGrant
from sesameroute.placement._estimates import Estimates
from sesameroute.placement._messages import Outcome, Release
from sesameroute.placement._object_cache import CacheDepthModel
from sesameroute.placement._server_pace import read_pace
from sesameroute.placement._travel import TravelTimes

__all__ = ['Learner']

# Only runs on backend servers whose slowdown is smaller update the estimates.
_MAX_TYPICAL_SLOWDOWN = 1.4
# Runs on servers that say they take longer tell nothing about the usual time.
_MAX_TYPICAL_PACE = 1.2
_NOT_RUN = frozenset(
    (Outcome.SHED, Outcome.UNREACHED, Outcome.MISDIRECTED),
)
_MIN_RUN_SECONDS = 0.001
_MILLISECONDS = 1000

_logger = logging.getLogger(__name__)


class Learner:
    """Updates run times, cache depths and the state of backend servers.

    Parameters
    ----------
    estimates : Estimates
        Typical run times.
    model : CacheDepthModel
        Cache depths at which objects are probably still cached.
    travel : TravelTimes
        Travel to other regions, which is no run time.

    """

    def __init__(
        self,
        estimates: Estimates,
        model: CacheDepthModel,
        travel: TravelTimes,
    ) -> None:
        """Store the parameters."""
        self.travel = travel
        self.estimates = estimates
        self.model = model

    def observe(self, grant: ActiveGrant, release: Release, now: float) -> None:
        """Update the estimates after a try has ended."""
        state, key = grant.state, grant.slot_request.key
        if state.record_outcome(release.outcome, now):
            _log_suspension(grant, release, now)
        if release.outcome is Outcome.ANSWERED:
            seconds = release.seconds - self.travel.find(state.region)
            seconds = max(seconds, _MIN_RUN_SECONDS)
            state.work.add(seconds, now)
            self._observe_answer(grant, release, seconds, now)
            if key and state.recent.find_depth(key, now) is None:
                # A failed try with the same object removed the key meanwhile.
                state.recent.add(key, now)
        elif release.outcome in _NOT_RUN and not grant.is_warm:
            # The request did not run, so it did not load the object.
            state.recent.discard(key)

    def _observe_answer(
        self, grant: ActiveGrant, release: Release, seconds: float, now: float
    ) -> None:
        if grant.incarnation == grant.state.entry.backend.incarnation:
            grant.state.pace.observe(release.load, now)
        if read_pace(release.load) <= _MAX_TYPICAL_PACE:
            self._observe_run(grant, release, seconds, now)

    def _observe_run(
        self, grant: ActiveGrant, release: Release, seconds: float, now: float
    ) -> None:
        slot_request = grant.slot_request
        state = grant.state
        was_hit = self.estimates.is_hit(slot_request.flow, seconds)
        estimate = self.estimates.find_miss(
            slot_request.flow, slot_request.objective
        )
        if grant.is_warm:
            estimate = self.estimates.find_hit(
                slot_request.flow, slot_request.objective
            )
        is_typical = (
            state.slowdown < _MAX_TYPICAL_SLOWDOWN and not state.is_cold(now)
        )
        if grant.depth is not None and was_hit is not None and is_typical:
            self.model.observe(grant.depth, is_hit=was_hit)
        if estimate.runs:
            state.observe_slowdown(
                seconds / max(estimate.seconds, _MIN_RUN_SECONDS)
            )
        if not is_typical:
            return
        if grant.is_warm and was_hit:
            self.travel.observe_hit(slot_request, state.region, release.seconds)
        estimate.observe(seconds)


def _log_suspension(grant: ActiveGrant, release: Release, now: float) -> None:
    pause = grant.state.suspended_until - now
    _logger.info(
        'backend server suspended',
        extra={
            'backend': grant.state.name,
            'service': release.service,
            'why': release.outcome.value,
            'reporter': grant.node,
            'pause_ms': round(pause * _MILLISECONDS),
            'failures': grant.state.failure_streak,
        },
    )
