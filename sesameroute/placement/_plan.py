"""How much of a region's load goes to other regions.

The answer to load that moves: a region whose own backend servers can't
carry its callers' requests hands some objects to regions with spare room.
The share changes slowly, so that no shift passes its cap, and by object,
so that each keeps its homes.
"""

import math
import random
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from sesameroute.placement._choice import hash_key
from sesameroute.placement._shift import ShiftGuard

__all__ = ['RegionLoad', 'RegionPlan']

TARGET_UTILIZATION = 0.72  # of a region's slots, before others are used
_SHARE_RATE = 0.045  # change of the shares per second, under the shift cap
_FIRST_PART = 0.6  # of what even demand would need, before demand is seen
_ADOPT_SECONDS = 1.0  # after the start, in which a predecessor's shares count
_ROOM_LOST = 0.8  # of the room before: less is a loss of room
_JUMP_SECONDS = 1.5  # after a loss of room, in which shares may jump
_YIELD = 0.04  # of the line, for each request that is owed
_MOST_YIELD = 0.3  # of the line
_MOST_OWED = 12  # requests
_HASH_BITS = 64
_HASH_RANGE = float(1 << _HASH_BITS)


@dataclass(frozen=True, slots=True)
class RegionLoad:
    """Demand and room of one region, in slots."""

    demand: float
    room: float

    @property
    def spare(self) -> float:
        """Room that other regions may use."""
        return max(TARGET_UTILIZATION * self.room - self.demand, 0)

    @property
    def excess(self) -> float:
        """Demand that the region can't carry itself."""
        return max(self.demand - TARGET_UTILIZATION * self.room, 0)


class RegionPlan:
    """Shares of one region's requests that run elsewhere.

    Parameters
    ----------
    region : str
        The region whose requests are shared out.

    Attributes
    ----------
    shares_ : dict of str to float
        Share of the requests for each other region.

    """

    def __init__(self, region: str) -> None:
        """Start with everything at home."""
        self.region = region
        self.shares_: dict[str, float] = {}
        self._changed = -math.inf
        self._own_room = 0
        self._jump_until = -math.inf
        self._owed: dict[str, float] = {}
        self._random = random.Random()
        self._guard = ShiftGuard()
        self._started = math.inf

    def start(self, rooms: Mapping[str, float], now: float) -> None:
        """Begin with what even demand of all regions would need.

        Later calls, and calls without any room, change nothing.
        """
        if math.isfinite(self._started) or not rooms:
            return
        self._started = now
        self._changed = now
        mean = sum(rooms.values()) / max(len(rooms), 1)
        own = rooms.get(self.region, 0)
        self._own_room = own
        surplus = {
            name: max(room - mean, 0)
            for name, room in rooms.items()
            if name != self.region
        }
        if own >= mean:
            return
        self.shares_ = _share_out(_FIRST_PART * (1 - own / mean), surplus)

    def adopt(self, shares: Mapping[str, float], now: float) -> None:
        """Take over what the region's pool did on another node."""
        if now - self._started <= _ADOPT_SECONDS:
            self.shares_ = dict(shares)

    def update(self, loads: Mapping[str, RegionLoad], now: float) -> None:
        """Move the shares towards what the loads ask for."""
        own = loads[self.region]
        if own.room < _ROOM_LOST * self._own_room:
            self._jump_until = now + _JUMP_SECONDS
        self._own_room = own.room
        step = _SHARE_RATE * min(max(now - self._changed, 0), 1)
        self._changed = now
        wanted = _compute_shares(self.region, loads)
        if now < self._jump_until or not own.room:
            self.shares_ = wanted
            return
        self.shares_ = _step_shares(self.shares_, wanted, step)

    def note(self, region: str, now: float) -> None:
        """Count a request that runs in a region."""
        self._guard.note(region, now)

    def choose_within(
        self,
        key: str,
        regions: Collection[str],
        now: float,
    ) -> str:
        """Return the region for a request, within the cap on shifts."""
        chosen = self.choose(key)
        if chosen not in regions:
            chosen = self.region
        if now < self._jump_until or self._guard.permits(chosen, now):
            return chosen
        return self._guard.find_behind(regions, now)

    def choose(self, key: str) -> str:
        """Return the region for a request on an object.

        Objects lie on a line by their hash; each region has a stretch of
        it. The ends of the stretches yield a little to keep the shares of
        any few requests at what is planned, whatever objects they concern.
        """
        place = _place_key(key) if key else self._random.random()
        end = 0
        chosen = self.region
        is_found = False
        for region, share in sorted(self.shares_.items()):
            end += share
            owed = self._owed.get(region, 0) + end
            if is_found or place < end + _limit_yield(owed):
                owed -= 1
                chosen = chosen if is_found else region
                is_found = True
            self._owed[region] = min(max(owed, -_MOST_OWED), _MOST_OWED)
        return chosen


def _limit_yield(owed: float) -> float:
    """Return how far an end moves for requests that are owed."""
    return min(max(_YIELD * owed, -_MOST_YIELD), _MOST_YIELD)


def _compute_shares(
    region: str,
    loads: Mapping[str, RegionLoad],
) -> dict[str, float]:
    own = loads[region]
    others = {name: load for name, load in loads.items() if name != region}
    if not own.room:
        return _share_out(
            1,
            {name: load.room for name, load in others.items()},
        )
    spares = {name: load.spare for name, load in others.items()}
    excess = sum(load.excess for load in loads.values())
    if not own.excess:
        return dict.fromkeys(others, 0)
    part = min(1, sum(spares.values()) / excess)
    return _share_out(part * own.excess / own.demand, spares)


def _share_out(whole: float, weights: Mapping[str, float]) -> dict[str, float]:
    total = sum(weights.values())
    if not total:
        return dict.fromkeys(weights, 0)
    return {name: whole * weight / total for name, weight in weights.items()}


def _step_shares(
    current: Mapping[str, float],
    wanted: Mapping[str, float],
    step: float,
) -> dict[str, float]:
    """Return shares moved by at most `step` in all."""
    names = current.keys() | wanted.keys()
    changes = {
        name: wanted.get(name, 0) - current.get(name, 0) for name in names
    }
    size = sum(abs(change) for change in changes.values())
    part = min(1, step / size) if size else 0
    return {
        name: current.get(name, 0) + part * change
        for name, change in changes.items()
    }


def _place_key(text: str) -> float:
    return hash_key(text) / _HASH_RANGE
