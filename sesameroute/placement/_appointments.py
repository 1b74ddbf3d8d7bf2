"""When callers that were refused should come back, and whether they do.

Load: a third of the callers come back at once and many times over instead of
waiting as told. Returns go before new requests, so these callers would get
the slots of those that keep to what they were told. And one that comes back
within a tenth of its time looks like a new caller with its whole objective,
goes first and is late.
"""

from collections import OrderedDict
from enum import Enum, unique
from typing import NamedTuple

from sesameroute.placement._messages import SlotRequest

__all__ = ['Appointment', 'Appointments', 'Return']

_MAX_APPOINTMENTS = 4096
# Attempts of one caller name the same end of its time, up to this difference
# in seconds, from the travel of its requests. A new caller with the usual time
# names a later end, if it comes by more than that after the refusal.
_SAME_DEADLINE_SECONDS = 0.01
# A caller's timer may run this much early, in seconds.
_EARLY_SLACK_SECONDS = 0.02

# Tenant, route, object and rounded end of the caller's time.
AppointmentKey = tuple[str, str, str, int]


@unique
class Return(Enum):
    """How a request relates to an earlier refusal."""

    UNKNOWN = 'unknown'
    EARLY = 'early'
    KEPT = 'kept'


class Appointment(NamedTuple):
    """What is known of a caller that was refused.

    All times are monotonic, in seconds: `due`, from which it may come back,
    `deadline`, the end of its time, `on_time_until`, when its first attempt
    misses the objective, and `refused_at`. `kept` tells how a request relates
    to it.
    """

    due: float
    deadline: float
    on_time_until: float
    refused_at: float
    kept: Return = Return.UNKNOWN

    def is_of_same_caller(self, deadline: float, now: float) -> bool:
        """Whether a request with that deadline is a later attempt."""
        return (
            abs(self.deadline - deadline) <= _SAME_DEADLINE_SECONDS
            and now - self.refused_at > _SAME_DEADLINE_SECONDS
        )


class Appointments:
    """Times at which the callers of refused requests may come back.

    A caller is known by tenant, route, object and the end of its time, which
    all its attempts share; each comes on a new connection, perhaps by another
    node.

    Examples
    --------
    >>> request = SlotRequest('s', 'f', 'k', 1, 1, 1, 1, caller_time_left=3.0)
    >>> appointments = Appointments()
    >>> appointments.add(request, due=10.5, now=10)
    >>> later = SlotRequest('s', 'f', 'k', 1, 1, 1, 1, caller_time_left=2.9)
    >>> appointments.find(later, now=10.1).kept
    <Return.EARLY: 'early'>
    >>> appointments.find(later, now=10.1).on_time_until
    11

    """

    def __init__(self) -> None:
        """Start without appointments."""
        self._appointments: OrderedDict[AppointmentKey, Appointment] = (
            OrderedDict()
        )

    def add(self, slot_request: SlotRequest, due: float, now: float) -> None:
        """Note when the caller of a refused request may come back."""
        if not slot_request.caller_time_left:
            return
        earlier = self.find(slot_request, now)
        key = _build_key(slot_request, earlier.deadline, 0)
        self._appointments[key] = earlier._replace(due=due, refused_at=now)
        self._appointments.move_to_end(key)
        if len(self._appointments) > _MAX_APPOINTMENTS:
            self._appointments.popitem(last=False)

    def find(self, slot_request: SlotRequest, now: float) -> Appointment:
        """Return a request's appointment, and how it is kept."""
        deadline = now + slot_request.caller_time_left
        unknown = Appointment(now, deadline, now + slot_request.on_time, now)
        if not slot_request.caller_time_left:
            return unknown
        for step in (0, -1, 1):
            found = self._appointments.get(
                _build_key(slot_request, deadline, step)
            )
            if found and found.is_of_same_caller(deadline, now):
                is_early = now < found.due - _EARLY_SLACK_SECONDS
                return found._replace(
                    kept=Return.EARLY if is_early else Return.KEPT
                )
        return unknown


def _build_key(
    slot_request: SlotRequest, deadline: float, step: int
) -> AppointmentKey:
    bucket = int(deadline // _SAME_DEADLINE_SECONDS) + step
    return slot_request.tenant, slot_request.flow, slot_request.key, bucket
