"""How much of a region's load goes to other regions.

The answer to load that moves: a region whose own backend servers can't
carry its callers' requests hands some objects to regions with spare room.
The share changes slowly, so that no shift passes its cap, and by object,
so that each keeps its homes.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

import xxhash

__all__ = ['RegionLoad', 'RegionPlan']

TARGET_UTILIZATION = 0.72  # of a region's slots, before others are used
_SHARE_RATE = 0.05  # change of the shares per second, under the shift cap
_JUMP_SECONDS = 1.5  # after a loss of room, in which shares may jump
_BLEND = 0.2  # width of the band in which an object is split
_HASH_RANGE = 2.0**64


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
        self._own_room = 0.0
        self._jump_until = -math.inf
        self._credits: dict[tuple[str, str], float] = {}

    def update(self, loads: Mapping[str, RegionLoad], now: float) -> None:
        """Move the shares towards what the loads ask for."""
        own = loads[self.region]
        if own.room < 0.8 * self._own_room:
            self._jump_until = now + _JUMP_SECONDS
        self._own_room = own.room
        step = _SHARE_RATE * min(max(now - self._changed, 0), 1)
        self._changed = now
        wanted = _compute_shares(self.region, loads)
        if now < self._jump_until or not own.room:
            self.shares_ = wanted
            return
        self.shares_ = _step_shares(self.shares_, wanted, step)

    def choose(self, key: str) -> str:
        """Return the region for a request on an object."""
        left = 1.0
        for region, share in sorted(self.shares_.items()):
            part = min(share / left, 1) if left > 0 else 0
            if part > 0 and self._take(region, key, part):
                return region
            left -= share
        return self.region

    def _take(self, region: str, key: str, share: float) -> bool:
        place = _place_key(f'{region}/{key}') if key else 0.5
        likelihood = (share * (1 + _BLEND) - place) / _BLEND
        if not key:
            likelihood = share
        if likelihood <= 0 or likelihood >= 1:
            return likelihood >= 1
        credit_key = (region, key)
        credit = self._credits.get(credit_key, _place_key(key)) + likelihood
        is_taken = credit >= 1
        self._credits[credit_key] = credit - is_taken
        return is_taken


def _compute_shares(
    region: str,
    loads: Mapping[str, RegionLoad],
) -> dict[str, float]:
    own = loads[region]
    others = {
        name: load.spare for name, load in loads.items() if name != region
    }
    spare = sum(others.values())
    excess = own.excess
    if not own.room:
        rooms = {name: loads[name].room for name in others}
        total = sum(rooms.values())
        return {name: room / total for name, room in rooms.items() if total}
    if excess <= 0 or spare <= 0 or own.demand <= 0:
        return dict.fromkeys(others, 0.0)
    asked = sum(load.excess for load in loads.values())
    moved = excess * min(1, spare / asked)
    return {
        name: moved * part / spare / own.demand for name, part in others.items()
    }


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
    return xxhash.xxh64_intdigest(text.encode()) / _HASH_RANGE
