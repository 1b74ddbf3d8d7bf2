"""Which servers have had their part of a region's work.

Answers servers that are added or return while the others are in use: as long
as a server that has an object cached is within its part, the object stays.
Only the work in excess of the parts moves, so that the shares follow the
sizes of the servers and few objects change their server. The first run on a
new server takes longer; requests that have time for it, or are late anyway,
come first.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from sesameroute.placement._messages import SlotRequest
from sesameroute.placement._upstream import UpstreamState

__all__ = [
    'ShareBounds',
    'build_share_bounds',
    'compute_utilization',
    'is_uneven',
]

# A server may have this many times the mean work per slot.
_MAX_SHARE_RATIO = 1.1
# Smaller excess, as a fraction of a server's slots, moves no object.
_TOLERATED_EXCESS = 0.03
# A server with less than this part of the mean is behind the others.
_BEHIND_RATIO = 0.85
# From this mean utilization on, objects move although the first run on their
# new server is late: without it there will be no slot for many others.
_SHORT_UTILIZATION = 0.5
# Time for the answer to reach the caller, as a fraction of the objective.
_TRAVEL_FRACTION = 0.1
# From this part of a region's servers on, those that have joined lately count,
# for so many seconds.
_MIN_JOINED_FRACTION = 0.2
_JOINED_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class ShareBounds:
    """Bounds on the shares of the servers of a region at one time.

    A share is the utilization of a server's slots over the last seconds.

    Parameters
    ----------
    mean : float
        Mean utilization.
    now : float
        Monotonic time in seconds.

    """

    mean: float
    now: float

    def is_within(self, state: UpstreamState) -> bool:
        """Whether a server is within its part."""
        share = compute_utilization(state, self.now)
        return share <= _MAX_SHARE_RATIO * self.mean + _TOLERATED_EXCESS

    def is_behind(self, state: UpstreamState) -> bool:
        """Whether objects should move to a server."""
        return compute_utilization(state, self.now) < _BEHIND_RATIO * self.mean

    def permits_move(self, slot_request: SlotRequest, cold_run: float) -> bool:
        """Whether a request may load its object on another server.

        Parameters
        ----------
        slot_request : SlotRequest
            The request.
        cold_run : float
            Run time in seconds on a server without the object.

        """
        latest_end = slot_request.on_time
        latest_end -= _TRAVEL_FRACTION * slot_request.objective
        is_late = slot_request.on_time <= 0
        return (
            is_late or cold_run <= latest_end or self.mean >= _SHORT_UTILIZATION
        )


def build_share_bounds(
    states: Iterable[UpstreamState], now: float
) -> ShareBounds:
    """Return the bounds for servers that share their work by size."""
    work, slots = 0, 0
    for state in states:
        work += state.work.estimate_slots(now)
        slots += state.slots
    return ShareBounds(work / slots if slots else 0, now)


def is_uneven(states: Collection[UpstreamState], now: float) -> bool:
    """Whether the servers of a region need shares by size.

    Servers of one size that say nothing of their pace don't, unless many have
    just joined: there, an object that moves costs more than it brings.
    """
    if len({state.slots for state in states}) > 1:
        return True
    if any(state.pace.is_reported for state in states):
        return True
    joined = sum(now - state.joined_at <= _JOINED_SECONDS for state in states)
    return joined >= max(_MIN_JOINED_FRACTION * len(states), 1)


def compute_utilization(state: UpstreamState, now: float) -> float:
    """Return the part of a server's slots that was busy lately."""
    return state.work.estimate_slots(now) / max(state.slots, 1)
