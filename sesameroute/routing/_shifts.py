"""Scheduled shifts of traffic between regions, with rate caps."""

import random
from dataclasses import dataclass

from sesameroute.limits import SlidingWindow
from sesameroute.routing._topology import Topology
from sesameroute.routing._view import Members
from sesameroute.statement import Shift

__all__ = ['Shifts', 'compute_planned_fraction']

_MAX_DIGEST_AGE_SECONDS = 2.0  # older reports of the target are ignored


def compute_planned_fraction(shift: Shift, wall: float) -> float:
    """Return the fraction of the source's requests to move at a time.

    Parameters
    ----------
    shift : Shift
        Fraction, start and duration of the ramp.
    wall : float
        Unix time in seconds.

    Examples
    --------
    >>> shift = Shift('a', 's', 'x', 'y', 0.4, 10, started=100, seconds=20)
    >>> [compute_planned_fraction(shift, wall) for wall in (90, 110, 200)]
    [0.0, 0.2, 0.4]

    """
    elapsed_fraction = (wall - shift.started) / max(shift.seconds, 1)
    return shift.fraction * max(0, min(1, elapsed_fraction))


@dataclass(slots=True)
class _LocalShift:
    """This VM's share of a shift.

    Attributes
    ----------
    window : SlidingWindow
        Limits the requests that this VM moves.
    progress : float
        Fraction of requests that the shift has reached on this VM.

    """

    shift: Shift
    window: SlidingWindow
    progress: float = 0


class Shifts:
    """This VM's share of every shift of the statement.

    Each VM computes the schedule by itself, from the statement and the
    time. A shift's cap is divided evenly among the entry VMs that the
    statement lists in the source region. Without fresh reports from the
    target region the moved fraction does not grow, unless the source region
    has no backend server left.

    Parameters
    ----------
    topology : Topology
        The statement as seen from this VM.
    members : Members
        Membership view of the entry VMs.
    rng : random.Random
        Samples the requests that move.

    """

    def __init__(
        self,
        topology: Topology,
        members: Members,
        rng: random.Random,
    ) -> None:
        """Divide the caps; nothing has moved yet."""
        self.topology = topology
        self.members = members
        self.rng = rng
        self.local_shifts_ = [
            _LocalShift(
                shift, SlidingWindow(shift.cap / self._count_source_vms())
            )
            for shift in topology.statement.shifts.values()
            if shift.source == topology.region
        ]

    def copy_progress(self, earlier: 'Shifts') -> None:
        """Copy progress and rate windows of shifts with the same names."""
        earlier_shifts = {
            local_shift.shift.name: local_shift
            for local_shift in earlier.local_shifts_
        }
        for local_shift in self.local_shifts_:
            previous = earlier_shifts.get(local_shift.shift.name)
            if previous is not None:
                local_shift.progress = previous.progress
                local_shift.window.events_ = previous.window.events_

    def sample_target(
        self, service: str, wall: float, *, source_down: bool
    ) -> str:
        """Return the region to which a request should move; empty if none.

        Parameters
        ----------
        service : str
            Name of the service.
        wall : float
            Unix time in seconds.
        source_down : bool
            Whether the source has no backend server left.

        """
        for local_shift in self._list_local_shifts(service):
            planned = compute_planned_fraction(local_shift.shift, wall)
            if source_down or self._has_fresh_digest(local_shift.shift.target):
                local_shift.progress = planned
            fraction_now = min(planned, local_shift.progress)
            if fraction_now > 0 and self.rng.random() < fraction_now:
                return local_shift.shift.target
        return ''

    def may_move(self, service: str, target: str, now: float) -> bool:
        """Return whether the caps allow a request to move to a region now."""
        return all(
            local_shift.window.allows_event(now)
            for local_shift in self._list_local_shifts(service)
            if local_shift.shift.target == target
        )

    def record_move(self, service: str, target: str, now: float) -> None:
        """Count a request that moves to a region."""
        for local_shift in self._list_local_shifts(service):
            if local_shift.shift.target == target:
                local_shift.window.try_acquire(now)

    def _list_local_shifts(self, service: str) -> list[_LocalShift]:
        return [
            local_shift
            for local_shift in self.local_shifts_
            if local_shift.shift.service == service
        ]

    def _has_fresh_digest(self, region: str) -> bool:
        digests = [
            self.members.find_digest(vm)
            for vm in self.topology.list_region_vms(region)
        ]
        return any(
            digest and digest.age <= _MAX_DIGEST_AGE_SECONDS
            for digest in digests
        )

    def _count_source_vms(self) -> int:
        return len(self.topology.list_region_vms(self.topology.region))
