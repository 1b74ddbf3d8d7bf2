"""One home abroad for each object that a region can't keep.

Answers a small region whose shares abroad change with every wave: when each
region took a segment of the objects, one share moved the segments of all that
came after it, and objects went where no server had them cached.
"""

import random
from collections.abc import Mapping

from sesameroute.placement._hash_order import hash_key, rank_by_weight

__all__ = ['HomesAbroad']

# The share counts as larger by this much for each request of the deficit, up
# to a limit; a larger step would move objects by the chance of arrivals.
_SHIFT_PER_REQUEST = 0.01
_MAX_SHIFT = 0.1
_MAX_DEFICIT_REQUESTS = 12
_HASH_BITS = 64
_HASH_RANGE = float(1 << _HASH_BITS)


class HomesAbroad:
    """Chooses which objects of a region go abroad, and where to.

    The home of an object depends on the room of the other regions only, by
    rendezvous hashing. With the share of a region, more or fewer of the
    objects that have their home there go; none goes from one region abroad to
    another, unless a share is above the part of the objects that have their
    home there.

    Parameters
    ----------
    region : str
        The own region.

    """

    def __init__(self, region: str) -> None:
        """Start without other regions."""
        self.region = region
        self._parts: dict[str, float] = {}
        self._deficits: dict[str, float] = {}
        self._random = random.Random()

    def use_room(self, capacities: Mapping[str, float]) -> None:
        """Use the room of the regions, in slots."""
        others = {
            name: slots
            for name, slots in capacities.items()
            if name != self.region and slots
        }
        total = sum(others.values())
        self._parts = {name: slots / total for name, slots in others.items()}
        self._deficits = {
            name: self._deficits.get(name, 0) for name in self._parts
        }

    def find(self, key: str) -> str:
        """Return the home of an object; the own region without others."""
        return next(iter(rank_by_weight(key, self._parts)), self.region)

    def choose(self, key: str, shares: Mapping[str, float]) -> str:
        """Return the region for a request, for the shares of the others."""
        key = key or str(self._random.random())
        home = self.find(key)
        self._deficits = {
            name: deficit + shares.get(name, 0)
            for name, deficit in self._deficits.items()
        }
        taking = (
            region
            for region in sorted(self._parts, key=home.__ne__)
            if self._takes(
                region, hash_key(key), shares, is_home=region == home
            )
        )
        chosen = next(taking, self.region)
        self._settle(chosen)
        return chosen

    def _takes(
        self,
        region: str,
        hashed: int,
        shares: Mapping[str, float],
        *,
        is_home: bool,
    ) -> bool:
        """Whether a region takes an object, to have its share in the end."""
        part, share = self._parts[region], shares.get(region, 0)
        shift = _SHIFT_PER_REQUEST * self._deficits[region]
        shift = min(max(shift, -_MAX_SHIFT), _MAX_SHIFT)
        position = hashed / _HASH_RANGE
        if is_home:
            return position < share / part + shift
        # What the region's own objects don't fill.
        if share <= part:
            return False
        return 1 - position < (share - part) / (1 - part) + shift

    def _settle(self, chosen: str) -> None:
        for region, deficit in self._deficits.items():
            left = deficit - (region == chosen)
            self._deficits[region] = min(
                max(left, -_MAX_DEFICIT_REQUESTS), _MAX_DEFICIT_REQUESTS
            )
