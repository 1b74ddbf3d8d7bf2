"""Whether a request runs now, waits or is turned away.

The answer to bursts and waves that pass the room of servers that know the
objects: a queue that grows beyond what can be on time serves nobody.
"""

import random
from dataclasses import dataclass
from enum import Enum, unique

from sesameroute.placement._ask import Ask, Reason
from sesameroute.placement._choice import Field
from sesameroute.placement._estimates import Estimates
from sesameroute.placement._queue import Waiter
from sesameroute.placement._upstream import UpstreamState

__all__ = ['Admission', 'Decision', 'Verdict']

_SPILL_USE = 0.75  # share of slots in use above which no cold run is begun
_SHORTEST_RETRY = 0.05  # seconds
_RETRY_PART = 1 / 3  # of the time left: callers wait no longer
_RETRY_SPREAD = 0.5  # least part of the longest pause under overload
_LATE_PART = 0.5  # of the objective: longest wait of what is late anyway
_TRAVEL_PART = 0.1  # of the objective: the answer's way to the caller


@unique
class Verdict(Enum):
    """What happens to a request now."""

    GRANT = 'grant'
    WAIT = 'wait'
    REFUSE = 'refuse'


@dataclass(frozen=True, slots=True)
class Decision:
    """A verdict and what goes with it.

    Attributes
    ----------
    until : float
        Monotonic time in seconds until which a request may wait.
    retry_after : float
        Seconds after which a refused caller should come back.

    """

    verdict: Verdict
    state: UpstreamState | None = None
    until: float = 0
    reason: Reason = Reason.NO_ROOM
    retry_after: float = 0


class Admission:
    """Decides for one request at one moment.

    Parameters
    ----------
    estimates : Estimates
        Usual run times.

    """

    def __init__(self, estimates: Estimates) -> None:
        """Store the estimates."""
        self.estimates = estimates
        self._random = random.Random()

    def measure_way(self, ask: Ask) -> float:
        """Return the usual seconds from a start to the caller's answer."""
        run = self.estimates.find_warm(ask.flow, ask.objective).seconds
        return run + _TRAVEL_PART * ask.objective

    def decide(self, field: Field, waiter: Waiter, ahead: int) -> Decision:
        """Return what happens to a request that has just come.

        Parameters
        ----------
        field : Field
            Backend servers that it may go to.
        waiter : Waiter
            The request.
        ahead : int
            Requests that wait for the same region and come first.

        """
        if not field.states:
            return self._refuse(field, waiter, Reason.NO_BACKEND)
        newcomer = field.pick_newcomer()
        if newcomer is not None:
            return Decision(Verdict.GRANT, newcomer)
        homes = field.list_homes()
        warm = field.pick_warm(homes)
        if warm is not None:
            return Decision(Verdict.GRANT, warm)
        until = self._find_limit(waiter, field.now)
        if homes and self._expect_start(field, waiter, homes, ahead) <= until:
            return Decision(Verdict.WAIT, until=until)
        return self.decide_late(field, waiter, homes)

    def decide_late(
        self,
        field: Field,
        waiter: Waiter,
        homes: list[UpstreamState],
    ) -> Decision:
        """Return what happens to a request that can't wait for its homes."""
        if not homes or field.rate_use() < _SPILL_USE:
            fresh = field.pick_new()
            if fresh is not None:
                return Decision(Verdict.GRANT, fresh)
        last = None if homes else field.pick_any()
        if last is not None:
            return Decision(Verdict.GRANT, last)
        return self._refuse(field, waiter, Reason.NO_ROOM)

    def _find_limit(self, waiter: Waiter, now: float) -> float:
        """Return until when a wait makes sense."""
        ask = waiter.ask
        if not ask.is_returning:
            return waiter.starts_by
        late = now + _LATE_PART * ask.objective
        ends_by = waiter.ends_at - self.measure_way(ask)
        return max(waiter.starts_by, min(late, ends_by))

    def _expect_start(
        self,
        field: Field,
        waiter: Waiter,
        homes: list[UpstreamState],
        ahead: int,
    ) -> float:
        """Return when a slot of a home is likely free."""
        ask = waiter.ask
        run = self.estimates.find_warm(ask.flow, ask.objective).seconds
        slots = sum(state.slots for state in field.states)
        near = sum(home.slots for home in homes)
        own_turn = run / max(near, 1)
        return field.now + own_turn + run * ahead / max(slots, 1)

    def _refuse(
        self,
        field: Field,
        waiter: Waiter,
        reason: Reason,
    ) -> Decision:
        """Spread the return over the time that callers are ready to wait."""
        left = max(waiter.ends_at - field.now, 0)
        longest = max(left * _RETRY_PART, _SHORTEST_RETRY)
        pause = longest * self._random.uniform(_RETRY_SPREAD, 1)
        return Decision(Verdict.REFUSE, reason=reason, retry_after=pause)
