"""Decides which part of all allowances a node issues.

Answers the loss of nodes, links and zones under load. The parts of all nodes
add up to one at most, without any agreement: each region has a fixed part, and
each node of a region an equal part of that. The part of a lost node is shared
among the others only if these are the larger half of the region, and a node in
the smaller half reduces its own.
"""

from collections.abc import Iterable

__all__ = ['RegionCensus']

# A lost node that ran on has seen long before that it hears no others.
_FORGET_SECONDS = 12.0


class RegionCensus:
    """Counts the nodes of the own region, and keeps count of lost ones.

    Attributes
    ----------
    weight_ : float
        Part of all allowances that this node issues.

    """

    def __init__(self) -> None:
        """Issue nothing before the first count."""
        self.weight_: float = 0
        self._heard_at: dict[str, float] = {}
        self._largest_fleet = 0

    def observe(
        self,
        live: Iterable[str],
        regions: Iterable[str],
        fleet: tuple[int, int],
        minority_fraction: float,
        now: float,
    ) -> float:
        """Return the part of all allowances that this node issues.

        Parameters
        ----------
        live : iterable of str
            Live nodes of the own region, this one among them.
        regions : iterable of str
            All regions of the deployment.
        fleet : tuple of (int, int)
            Number of live nodes in all regions, and of nodes that this one
            knows of.
        minority_fraction : float
            Part of its own part that a node issues that is cut off.
        now : float
            Monotonic time in seconds.

        """
        heard = dict.fromkeys(live, now)
        self._heard_at.update(heard)
        region_count = max(len(set(regions)), 1)
        live_count, known_count = fleet
        self._largest_fleet = max(self._largest_fleet, known_count)
        # One that has started while it was cut off knows none of its region.
        is_alone = live_count * 2 * region_count < self._largest_fleet
        majority = len(heard) * 2 - len(self._heard_at)
        if majority > 0 and not is_alone:
            self._forget(now)
            self._largest_fleet = known_count
        # Of two halves neither takes the part of the other one.
        fraction = minority_fraction if is_alone or majority < 0 else 1
        node_count = max(len(self._heard_at), 1)
        self.weight_ = fraction / region_count / node_count
        return self.weight_

    def _forget(self, now: float) -> None:
        oldest = now - _FORGET_SECONDS
        self._heard_at = {
            address: heard_at
            for address, heard_at in self._heard_at.items()
            if heard_at > oldest
        }
