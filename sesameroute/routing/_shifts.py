"""Moves of traffic between regions, each under its cap."""

import random
from dataclasses import dataclass

from sesameroute.limits import SlidingWindow
from sesameroute.routing._geography import Geography
from sesameroute.routing._view import Members
from sesameroute.statement import Shift

__all__ = ['Shifts', 'measure_progress']

_NEWS_AGE = 2.0  # seconds after which the target's reports are no news


def measure_progress(shift: Shift, wall: float) -> float:
    """Return the part of the source's requests to move at a time.

    Parameters
    ----------
    shift : Shift
        The schedule.
    wall : float
        Unix time in seconds.

    Examples
    --------
    >>> shift = Shift('a', 's', 'x', 'y', 0.4, 10, started=100, seconds=20)
    >>> [measure_progress(shift, wall) for wall in (90, 110, 200)]
    [0.0, 0.2, 0.4]

    """
    passed = (wall - shift.started) / max(shift.seconds, 1)
    return shift.fraction * max(0, min(1, passed))


@dataclass(slots=True)
class _Move:
    """A shift as this VM carries out its share."""

    shift: Shift
    window: SlidingWindow
    reached: float = 0


class Shifts:
    """This VM's share of every shift of the statement.

    Each VM works out the schedule alone, from the statement and the time.
    Its share of the cap is fixed by the number of entry VMs that the
    statement names in the source region. Without fresh reports from the
    target it goes no further than it has got, unless the source has no
    backend server left.

    Parameters
    ----------
    geography : Geography
        The statement seen from this VM.
    members : Members
        The entry VMs as membership sees them.
    rng : random.Random
        Draws which requests move.

    """

    def __init__(
        self,
        geography: Geography,
        members: Members,
        rng: random.Random,
    ) -> None:
        """Split the caps; nothing has moved."""
        self.geography = geography
        self.members = members
        self.rng = rng
        self.moves_ = [
            _Move(shift, SlidingWindow(shift.cap / self._count_sharers()))
            for shift in geography.statement.shifts.values()
            if shift.source == geography.region
        ]

    def keep_from(self, earlier: 'Shifts') -> None:
        """Take over how far the shifts of an earlier statement have got."""
        known = {move.shift.name: move for move in earlier.moves_}
        for move in self.moves_:
            before = known.get(move.shift.name)
            if before is not None:
                move.reached = before.reached
                move.window.events_ = before.window.events_

    def draw_target(self, service: str, wall: float, *, dead: bool) -> str:
        """Return the region to which a request should move, or nothing.

        Parameters
        ----------
        service : str
            Name of the service.
        wall : float
            Unix time in seconds.
        dead : bool
            Whether the source has no backend server left.

        """
        for move in self._list_moves(service):
            planned = measure_progress(move.shift, wall)
            if dead or self._is_informed(move.shift.target):
                move.reached = planned
            part = min(planned, move.reached)
            if part > 0 and self.rng.random() < part:
                return move.shift.target
        return ''

    def may_move(self, service: str, target: str, now: float) -> bool:
        """Return whether the caps let a request go to a region now."""
        return all(
            move.window.is_open(now)
            for move in self._list_moves(service)
            if move.shift.target == target
        )

    def count_move(self, service: str, target: str, now: float) -> None:
        """Count a request that goes to a region."""
        for move in self._list_moves(service):
            if move.shift.target == target:
                move.window.take(now)

    def _list_moves(self, service: str) -> list[_Move]:
        return [move for move in self.moves_ if move.shift.service == service]

    def _is_informed(self, region: str) -> bool:
        digests = [
            self.members.find_digest(vm)
            for vm in self.geography.list_region_vms(region)
        ]
        return any(one and one.age <= _NEWS_AGE for one in digests)

    def _count_sharers(self) -> int:
        return len(self.geography.list_region_vms(self.geography.region))
