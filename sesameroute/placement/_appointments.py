"""When callers that were refused should come back, and whether they do.

Load: a third of the callers come back at once and many times over instead of
waiting as told. Returns go before new requests, so these callers would get
the slots of those that keep to what they were told. And one that comes back
within a tenth of its time looks like a new caller with its whole objective,
goes first and is late. Most of those that came back as told while there was
too little room were refused again: they were told a random time.
"""

import math
from collections import OrderedDict, defaultdict
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import NamedTuple

from sesameroute.placement._demand import Demand
from sesameroute.placement._messages import SlotRequest
from sesameroute.placement._wait_forecasts import WaitForecasts

__all__ = ['Appointment', 'Appointments', 'ExpectedRoom', 'Return', 'Terms']

_MAX_APPOINTMENTS = 4096
# Attempts of one caller name the same end of its time, up to this difference
# in seconds, from the travel of its requests. A new caller with the usual time
# names a later end, if it comes by more than that after the refusal.
_SAME_DEADLINE_SECONDS = 0.01
# A caller's timer may run this much early, in seconds.
_EARLY_SLACK_SECONDS = 0.02

# Time constant of the average of new work, in seconds.
_DEMAND_SECONDS = 1.0
# Part of the slots that new work leaves to others at best.
_USABLE_FRACTION = 0.9
# Part of the slots that is promised to returns that are on time, whatever the
# new work.
_PROMISED_FRACTION = 0.1

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
    misses the objective, `refused_at`, and `told`, the time that the caller was
    told, which may be later than callers wait. `is_promised` tells whether a
    slot was expected at `due`, `kept` how a request relates to it.
    """

    due: float
    deadline: float
    on_time_until: float
    refused_at: float
    told: float
    is_promised: bool = False
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

    def add(
        self,
        slot_request: SlotRequest,
        due: float,
        now: float,
        *,
        told: float | None = None,
        is_promised: bool = False,
    ) -> None:
        """Note when the caller of a refused request may come back."""
        if not slot_request.caller_time_left:
            return
        earlier = self.find(slot_request, now)
        key = _build_key(slot_request, earlier.deadline, 0)
        self._appointments[key] = earlier._replace(
            due=due,
            refused_at=now,
            told=due if told is None else told,
            is_promised=is_promised,
        )
        self._appointments.move_to_end(key)
        if len(self._appointments) > _MAX_APPOINTMENTS:
            self._appointments.popitem(last=False)

    def find(self, slot_request: SlotRequest, now: float) -> Appointment:
        """Return a request's appointment, and how it is kept."""
        deadline = now + slot_request.caller_time_left
        unknown = Appointment(
            now, deadline, now + slot_request.on_time, now, now
        )
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


class Terms(NamedTuple):
    """What decides when a refused request may come back.

    `run` is its run time, `slots` the number of its region's slots, `waiting`
    that of the requests that wait for them. Monotonic times: `latest_start`,
    from which it is late, and `latest`, until which its caller would wait.
    """

    region: str
    flow: str
    run: float
    slots: float
    waiting: int
    latest_start: float
    latest: float


@dataclass(slots=True)
class _Ledger:
    """New work of a region, and the time of the last promised slot."""

    demand: Demand = field(default_factory=lambda: Demand(_DEMAND_SECONDS))
    promised_until: float = -math.inf


class ExpectedRoom:
    """Promises the slots that new work will leave, one after the other.

    If promises are not kept, later ones are further apart.

    Examples
    --------
    >>> room = ExpectedRoom()
    >>> room.add_work('north', 2.0, now=10)
    >>> terms = Terms('north', 'orders', 0.5, 5, 0, 10, 10.5)
    >>> [round(room.promise(terms, now=10) or 0, 2) for _ in range(3)]
    [10.2, 10.4, 0]

    """

    def __init__(self) -> None:
        """Start without new work and promises."""
        self._ledgers: defaultdict[str, _Ledger] = defaultdict(_Ledger)
        self._kept = WaitForecasts()

    def add_work(self, region: str, run: float, now: float) -> None:
        """Count the run time of a new request."""
        self._ledgers[region].demand.add(run, now)

    def observe_return(
        self, flow: str, now: float, *, was_served: bool
    ) -> None:
        """Count how a return ended for which a slot was expected."""
        self._kept.observe((flow, False), now, was_served=was_served)

    def promise(self, terms: Terms, now: float) -> float | None:
        """Return when a slot is expected, or None if not in time."""
        ledger = self._ledgers[terms.region]
        spare = _USABLE_FRACTION * terms.slots
        spare -= ledger.demand.estimate_slots(now)
        latest, waiting = terms.latest, terms.waiting
        if spare < _PROMISED_FRACTION * terms.slots:
            # These go before new work, but only while they are on time.
            spare = _PROMISED_FRACTION * terms.slots
            latest = min(terms.latest_start - terms.run, latest)
            waiting = 0
        pace = self._kept.correct(
            (terms.flow, False), terms.run / max(spare, 1), now
        )
        due = max(ledger.promised_until, now + pace * waiting) + pace
        if due > latest:
            return None
        ledger.promised_until = due
        return due


def _build_key(
    slot_request: SlotRequest, deadline: float, step: int
) -> AppointmentKey:
    bucket = int(deadline // _SAME_DEADLINE_SECONDS) + step
    return slot_request.tenant, slot_request.flow, slot_request.key, bucket
