"""What is normal for the servers of each region, for comparison."""

from collections.abc import Iterable
from dataclasses import replace

from sesameroute.placement._server_shares import (
    ShareBounds,
    build_share_bounds,
    is_uneven,
)
from sesameroute.placement._upstream import UpstreamState

__all__ = ['RegionNorms']

# The baseline is the penalty below which one in so many servers is.
_BASELINE_DIVISOR = 4


class RegionNorms:
    """Baseline penalty and mean share of the servers of each region.

    Attributes
    ----------
    follows_sizes : bool
        Whether the servers' shares of the work follow their sizes where the
        servers of a region differ.

    """

    def __init__(self) -> None:
        """Start without servers."""
        self.follows_sizes = False
        self._baseline_penalties: dict[str, float] = {}
        self._share_bounds: dict[str, ShareBounds] = {}

    def update(self, states: Iterable[UpstreamState], now: float) -> None:
        """Compare the servers of each region.

        If all servers shed or are slow, avoiding some of them does not help.
        Only the penalty in excess of the baseline counts.
        """
        by_region: dict[str, list[UpstreamState]] = {}
        for state in states:
            by_region.setdefault(state.region, []).append(state)
        self._baseline_penalties = {
            region: _find_baseline(members, now)
            for region, members in by_region.items()
            if len(members) >= _BASELINE_DIVISOR
        }
        if self.follows_sizes:
            self._share_bounds = {
                region: build_share_bounds(members, now)
                for region, members in by_region.items()
                if is_uneven(members, now)
            }

    def find_baseline(self, region: str) -> float:
        """Return the penalty that even the better servers have."""
        return self._baseline_penalties.get(region, 0)

    def find_bounds(self, region: str, now: float) -> ShareBounds | None:
        """Return the bounds on shares; None if sizes are not followed."""
        bounds = self._share_bounds.get(region)
        return bounds and replace(bounds, now=now)


def _find_baseline(members: list[UpstreamState], now: float) -> float:
    penalties = sorted(state.compute_penalty(now) for state in members)
    return penalties[len(penalties) // _BASELINE_DIVISOR]
