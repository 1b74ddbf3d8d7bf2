"""Decides whether a request runs now, waits or is refused.

During a burst, more requests for an object may arrive than the servers that
have it cached can run. Requests that would wait too long to be on time are
not queued, because all requests behind them would be late, too.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique

from sesameroute.placement._candidates import Candidates
from sesameroute.placement._estimates import Estimates
from sesameroute.placement._messages import Reason, SlotRequest
from sesameroute.placement._queue import Waiter
from sesameroute.placement._remaining_time import can_end
from sesameroute.placement._upstream import UpstreamState
from sesameroute.placement._wait_forecasts import WaitForecasts

__all__ = ['Admission', 'Decision', 'Verdict', 'is_full']

# From this utilization on, a request for a cached object starts on no server
# that does not have the object cached.
_MAX_SPILL_UTILIZATION = 0.75
# From this utilization on, no slot is free for requests that are late, or back
# early.
_FULL_UTILIZATION = 0.9
_MIN_RETRY_SECONDS = 0.05
# The longest retry delay as a fraction of the time left; callers don't wait
# longer than that.
_RETRY_FRACTION = 1 / 3
# The shortest retry delay as a fraction of the longest; delays are random, so
# that the retries are spread.
_MIN_RETRY_RATIO = 0.5
# Longest wait of a retry that misses its objective anyway, as a fraction of
# the objective.
_LATE_WAIT_FRACTION = 0.5
# A wait for longer than this part of the objective is long.
_LONG_WAIT_FRACTION = 1 / 8
# Time for the answer to reach the caller, as a fraction of the objective.
_TRAVEL_FRACTION = 0.1


@unique
class Verdict(Enum):
    """What to do with a request."""

    GRANT = 'grant'
    WAIT = 'wait'
    REFUSE = 'refuse'


@dataclass(frozen=True, slots=True)
class Decision:
    """A verdict and its details.

    Attributes
    ----------
    verdict : Verdict
        What to do with the request.
    state : UpstreamState or None
        The backend server that was chosen, for a grant.
    wait_until : float
        Monotonic time in seconds until which the request may wait.
    reason : Reason
        Why the request was refused.
    retry_after : float
        Seconds after which the caller of a refused request should retry.

    """

    verdict: Verdict
    state: UpstreamState | None = None
    wait_until: float = 0
    reason: Reason = Reason.NO_ROOM
    retry_after: float = 0


def is_full(candidates: Candidates) -> bool:
    """Whether requests that can be on time need all slots.

    Servers that have named a limit take no more than that in any case.
    """
    if all(state.start_limit.is_set for state in candidates.states):
        return False
    return candidates.compute_utilization() >= _FULL_UTILIZATION


class Admission:
    """Decides on one request at a time, from the state at that time.

    Parameters
    ----------
    estimates : Estimates
        Typical run times.

    Attributes
    ----------
    wait_forecasts : WaitForecasts
        Corrects forecast waits by how the recent ones ended.

    """

    def __init__(self, estimates: Estimates) -> None:
        """Store the estimates."""
        self.estimates = estimates
        self.wait_forecasts = WaitForecasts()
        self._random = random.Random()

    def estimate_response_time(self, slot_request: SlotRequest) -> float:
        """Return the typical seconds from the start until the answer arrives.

        The object is assumed to be cached.
        """
        run = self.estimates.find_hit(
            slot_request.flow, slot_request.objective
        ).seconds
        return run + _TRAVEL_FRACTION * slot_request.objective

    def decide(
        self,
        candidates: Candidates,
        waiter: Waiter,
        count_ahead: Callable[[Waiter], int],
    ) -> Decision:
        """Return the decision on a request that has just arrived.

        Parameters
        ----------
        candidates : Candidates
            Backend servers that may get the request.
        waiter : Waiter
            The request.
        count_ahead : callable
            Returns the number of waiting requests of the same region that
            are served before a request.

        """
        if not candidates.states:
            return self.refuse(candidates, waiter, Reason.NO_BACKEND)
        warm_states = candidates.list_warm()
        for chosen in (
            candidates.pick_unused(),
            candidates.pick_warm(warm_states),
        ):
            if self.can_end(candidates, waiter, chosen):
                return Decision(Verdict.GRANT, chosen)
        wait = self._find_wait(candidates, waiter, warm_states, count_ahead)
        return wait or self.decide_without_wait(candidates, waiter, warm_states)

    def observe_wait(
        self, waiter: Waiter, now: float, *, was_served: bool
    ) -> None:
        """Count the end of a long wait; short ones do callers no harm."""
        waited = now - waiter.arrived_at
        if waited > _LONG_WAIT_FRACTION * waiter.slot_request.objective:
            self.wait_forecasts.observe(
                waiter.flow_class, now, was_served=was_served
            )

    def decide_early(
        self, candidates: Candidates, waiter: Waiter, due: float
    ) -> Decision:
        """Decide on a caller that comes back before it was told to.

        It gets a slot while there is room for all, or is told the same time
        again: each of its attempts would be one more chance of a slot.
        """
        chosen = None
        if not is_full(candidates):
            chosen = candidates.pick_warm(candidates.list_warm())
        if self.can_end(candidates, waiter, chosen):
            return Decision(Verdict.GRANT, chosen)
        return Decision(Verdict.REFUSE, retry_after=due - candidates.now)

    def decide_without_wait(
        self,
        candidates: Candidates,
        waiter: Waiter,
        warm_states: list[UpstreamState],
    ) -> Decision:
        """Decide on a request that can't wait for a warm backend server."""
        chosen = None
        if (
            not warm_states
            or candidates.compute_utilization() < _MAX_SPILL_UTILIZATION
        ):
            chosen = candidates.pick_by_hash()
        if chosen is None and not warm_states:
            chosen = candidates.pick_least_loaded()
        if self.can_end(candidates, waiter, chosen):
            return Decision(Verdict.GRANT, chosen)
        reason = Reason.NO_ROOM if chosen is None else Reason.TOO_LATE
        return self.refuse(candidates, waiter, reason)

    def can_end(
        self,
        candidates: Candidates,
        waiter: Waiter,
        state: UpstreamState | None,
    ) -> bool:
        """Whether there is a server and its run would end in time."""
        return state is not None and can_end(
            self.estimates, candidates, waiter, state
        )

    def refuse(
        self,
        candidates: Candidates,
        waiter: Waiter,
        reason: Reason,
    ) -> Decision:
        """Refuse a request, with a random retry delay to spread the retries.

        It begins at the end of the pause if all servers have asked for one.
        """
        left = max(waiter.deadline - candidates.now, 0)
        longest = max(left * _RETRY_FRACTION, _MIN_RETRY_SECONDS)
        pause = longest * self._random.uniform(_MIN_RETRY_RATIO, 1)
        if not candidates.states:
            pause += max(candidates.resumes_at - candidates.now, 0)
        return Decision(Verdict.REFUSE, reason=reason, retry_after=pause)

    def _find_wait(
        self,
        candidates: Candidates,
        waiter: Waiter,
        warm_states: list[UpstreamState],
        count_ahead: Callable[[Waiter], int],
    ) -> Decision | None:
        """Let a request wait if it will probably get a slot in time.

        One that would be late among those on time, and make others late,
        waits behind them instead.
        """
        wait_until = self._find_wait_end(waiter, candidates.now)
        for is_late, limit in (
            (waiter.is_late, waiter.latest_start),
            (True, wait_until),
        ):
            waiter.is_late = is_late
            if is_late and is_full(candidates):
                return None
            start = self._estimate_start(
                candidates, waiter, warm_states, count_ahead(waiter)
            )
            if start <= limit:
                return Decision(Verdict.WAIT, wait_until=wait_until)
        return None

    def _find_wait_end(self, waiter: Waiter, now: float) -> float:
        """Return the monotonic time until which the request should wait.

        A retry may wait until it is late, as long as it meets its deadline.
        """
        slot_request = waiter.slot_request
        if not waiter.is_returning:
            return waiter.latest_start
        late_start = now + _LATE_WAIT_FRACTION * slot_request.objective
        response_time = self.estimate_response_time(slot_request)
        deadline_start = waiter.deadline - response_time - waiter.travel
        return max(waiter.latest_start, min(late_start, deadline_start))

    def _estimate_start(
        self,
        candidates: Candidates,
        waiter: Waiter,
        warm_states: list[UpstreamState],
        ahead: int,
    ) -> float:
        """Return when a slot of a warm server will probably be free."""
        if not warm_states:
            return math.inf
        slot_request = waiter.slot_request
        run = self.estimates.find_hit(
            slot_request.flow, slot_request.objective
        ).seconds
        slots = sum(state.slots for state in candidates.states)
        warm_slots = sum(server.slots for server in warm_states)
        first_wait = run / max(warm_slots, 1)
        wait = first_wait + run * ahead / max(slots, 1)
        return candidates.now + self.wait_forecasts.correct(
            waiter.flow_class, wait, candidates.now
        )
