"""Whether a request runs now, waits or is turned away.

The answer to bursts and waves that pass the room of servers that know the
objects: a queue that grows beyond what can be on time serves nobody.
"""

from dataclasses import dataclass
from enum import Enum, unique

from sesameroute.placement._ask import Reason
from sesameroute.placement._choice import Field
from sesameroute.placement._estimates import Estimates
from sesameroute.placement._queue import Waiter
from sesameroute.placement._upstream import UpstreamState

__all__ = ['Admission', 'Decision', 'Verdict']

_SPILL_USE = 0.75  # share of slots in use above which no cold run is begun
_LATE_USE = 0.95  # share above which no late run is begun
_SHORTEST_RETRY = 0.05  # seconds
_RETRY_PART = 1 / 3  # of the time left: callers wait no longer
_LATE_MARGIN = 0.05  # seconds before the deadline


@unique
class Verdict(Enum):
    """What happens to a request now."""

    GRANT = 'grant'
    WAIT = 'wait'
    REFUSE = 'refuse'


@dataclass(frozen=True, slots=True)
class Decision:
    """A verdict and what goes with it."""

    verdict: Verdict
    state: UpstreamState | None = None
    reason: Reason = Reason.NO_ROOM
    retry_after: float = 0


_WAIT = Decision(Verdict.WAIT)


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

    def decide(self, field: Field, waiter: Waiter, ahead: int) -> Decision:
        """Return what happens to a request.

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
            return _refuse(waiter, field, Reason.NO_BACKEND, 1.0)
        homes = field.list_homes()
        warm = field.pick_warm(homes)
        if warm is not None:
            return Decision(Verdict.GRANT, warm)
        fresh = field.pick_new()
        use = field.rate_use()
        if fresh is not None and (not homes or use < _SPILL_USE):
            return self._start_or_wait(field, waiter, homes, fresh, ahead)
        if self._can_wait(field, waiter, homes, ahead):
            return _WAIT
        last = None if homes else field.pick_any()
        if last is not None:
            return Decision(Verdict.GRANT, last)
        wait = self._expect_wait(waiter, homes or field.states, ahead)
        return _refuse(waiter, field, Reason.NO_ROOM, wait)

    def _start_or_wait(
        self,
        field: Field,
        waiter: Waiter,
        homes: list[UpstreamState],
        fresh: UpstreamState,
        ahead: int,
    ) -> Decision:
        """Prefer a short wait for a home over a run without the object."""
        if homes:
            wait = self._expect_wait(waiter, homes, ahead)
            run = self.estimates.find_warm(waiter.ask.flow).seconds
            if field.now + wait + run <= waiter.on_time_at:
                return _WAIT
        return Decision(Verdict.GRANT, fresh)

    def _can_wait(
        self,
        field: Field,
        waiter: Waiter,
        homes: list[UpstreamState],
        ahead: int,
    ) -> bool:
        run = self.estimates.find_warm(waiter.ask.flow).seconds
        wait = self._expect_wait(waiter, homes or field.states, ahead)
        if field.now + wait + run <= waiter.on_time_at:
            return True
        if not waiter.ask.is_returning:
            return False
        return field.now + wait + run + _LATE_MARGIN <= waiter.ends_at

    def _expect_wait(
        self,
        waiter: Waiter,
        homes: list[UpstreamState],
        ahead: int,
    ) -> float:
        """Return the seconds until a slot is likely free."""
        run = self.estimates.find_warm(waiter.ask.flow).seconds
        slots = sum(home.slots for home in homes)
        return run * (1 + ahead) / max(slots, 1)


def _refuse(
    waiter: Waiter,
    field: Field,
    reason: Reason,
    wait: float,
) -> Decision:
    left = waiter.ends_at - field.now
    pause = min(max(wait, _SHORTEST_RETRY), max(left * _RETRY_PART, 0))
    return Decision(Verdict.REFUSE, None, reason, pause)
