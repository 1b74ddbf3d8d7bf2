"""Whether a request can still end in the time that it has left.

Load: a burst of twice the room for a service whose route has a shorter
time-out than its callers have time. Requests that waited for a slot were sent
with less time than their run takes: the run was wasted and the caller got a
504.
"""

from sesameroute.placement._candidates import Candidates
from sesameroute.placement._estimates import Estimates
from sesameroute.placement._queue import Waiter
from sesameroute.placement._upstream import UpstreamState

__all__ = ['can_end', 'find_needed_seconds', 'is_fresh']

# A request that has more of its objective left has not waited anywhere.
_FRESH_FRACTION = 0.9


def is_fresh(waiter: Waiter, now: float) -> bool:
    """Whether a request has just arrived with all of its time.

    Such a request is sent whatever the estimates say. Otherwise an estimate
    that is too long would refuse all requests, and never be corrected.
    """
    slot_request = waiter.slot_request
    is_first = slot_request.on_time >= _FRESH_FRACTION * slot_request.objective
    return is_first and now <= waiter.arrived_at


def find_needed_seconds(
    estimates: Estimates, waiter: Waiter, *, is_warm: bool
) -> float:
    """Return the time in seconds that a request needs when it is sent.

    With the travel to another region. At most the objective: a request with
    that much time is worth a try. 0 until runs have been observed.
    """
    slot_request = waiter.slot_request
    find = estimates.find_hit if is_warm else estimates.find_miss
    estimate = find(slot_request.flow, slot_request.objective)
    if not estimate.runs:
        return 0
    return min(estimate.seconds + waiter.travel, slot_request.objective)


def can_end(
    estimates: Estimates,
    candidates: Candidates,
    waiter: Waiter,
    state: UpstreamState,
) -> bool:
    """Whether a run that starts now probably ends before the deadline."""
    now = candidates.now
    if is_fresh(waiter, now):
        return True
    needed = find_needed_seconds(
        estimates, waiter, is_warm=candidates.is_warm(state)
    )
    return now + needed <= waiter.deadline
