"""Which fraction of a region's requests spills over to other regions.

A region whose backend servers can't serve all requests of its callers sends
the requests for some objects to regions with spare capacity. The fraction
changes slowly, so that traffic shifts stay within their cap. Requests are
selected by object, so that each object stays cached on the same servers.
"""

import math
import random
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from sesameroute.placement._candidates import hash_key
from sesameroute.placement._demand import Demand, DemandForecast
from sesameroute.placement._homes_abroad import HomesAbroad
from sesameroute.placement._shift_limiter import (
    MAX_SHARE_GROWTH,
    SHIFT_WINDOW_SECONDS,
    ShiftLimiter,
)

__all__ = ['RegionDemand', 'RegionLoad', 'SpilloverPlan']

# A region uses this fraction of its slots before requests spill over.
TARGET_UTILIZATION = 0.72
# A plan that leads keeps room for callers that move to the region at once: a
# third more, until the shares have followed.
_LEADING_UTILIZATION = 0.55
# Total change of the shares per second; it keeps shifts below their cap.
_MAX_SHARE_CHANGE_PER_SECOND = 0.045
# Parts of the cap on shifts that the plan uses, and that the limiter leaves
# to the chance of which requests come.
_USED_CAP_FRACTION = 0.7
_GUARDED_CAP_FRACTION = 0.75
# A region with less than this part of the mean room of the regions can't serve
# its callers when they are spread evenly: the plan leads.
_SMALL_REGION_RATIO = 0.5
# It leads on until each region has this part, so that a server that restarts
# does not move objects to and fro.
_EVEN_REGION_RATIO = 0.6
# Initial shares, as a fraction of those that equal demand in all regions would
# need, until demand is observed.
_INITIAL_SHARE_FRACTION = 0.6
# After initialization, the shares of the pool's previous node are adopted for
# this time.
_ADOPTION_SECONDS = 1.0
# A capacity below this fraction of the previous one is a loss of capacity.
_CAPACITY_LOSS_RATIO = 0.8
# After a loss of capacity, shares may change without limit for this time.
_UNLIMITED_CHANGE_SECONDS = 1.5
# The end of a segment moves by this part of the unit interval for each request
# of the deficit, up to a limit.
_BOUNDARY_SHIFT_PER_REQUEST = 0.04
_MAX_BOUNDARY_SHIFT = 0.3
# A deficit or surplus is limited to this number of requests.
_MAX_DEFICIT_REQUESTS = 12
_HASH_BITS = 64
_HASH_RANGE = float(1 << _HASH_BITS)


@dataclass(frozen=True, slots=True)
class RegionLoad:
    """Demand and capacity of one region, in slots."""

    demand: float
    capacity: float

    def compute_spare(self, target: float) -> float:
        """Return the slots below a target utilization."""
        return max(target * self.capacity - self.demand, 0)

    def compute_excess(self, target: float) -> float:
        """Return the demand in slots above a target utilization."""
        return max(self.demand - target * self.capacity, 0)


class SpilloverPlan:
    """Fractions of one region's requests that other regions serve.

    Parameters
    ----------
    region : str
        The region from which requests spill over.

    Attributes
    ----------
    shares_ : dict of str to float
        Fraction of the requests that each other region serves.
    homes_abroad : HomesAbroad
        Home of each object abroad; used while the plan leads.
    is_leading_ : bool
        Whether the shares lead the demand, as far as the cap allows.

    """

    def __init__(self, region: str) -> None:
        """Start without spillover."""
        self.region = region
        self.shares_: dict[str, float] = {}
        self._updated_at = -math.inf
        self._own_capacity = 0
        self._unlimited_until = -math.inf
        self._deficits: dict[str, float] = {}
        self._random = random.Random()
        self._shift_limiter = ShiftLimiter()
        self._change_per_second = _MAX_SHARE_CHANGE_PER_SECOND
        self._max_shift: float | None = None
        self.homes_abroad = HomesAbroad(region)
        self.is_leading_ = False
        self._initialized_at = math.inf

    def use_cap(self, max_shift: float) -> None:
        """Let the shares lead where the room of the regions is uneven.

        They change as fast as a cap on shifts allows then.

        Parameters
        ----------
        max_shift : float
            Fraction of the requests that may change their region from one
            window of two seconds to the next.

        """
        self._max_shift = max_shift
        self._limit_changes()

    def compare_regions(self, capacities: Mapping[str, float]) -> None:
        """Lead only while a region is much smaller than the others.

        Answers deployments with even regions: there, a share that leads sends
        requests away that their own region serves as well, and sooner.

        Parameters
        ----------
        capacities : mapping of str to float
            Slots by region; an empty name for servers of unknown regions.

        """
        known = {name: slots for name, slots in capacities.items() if name}
        self.homes_abroad.use_room(known)
        ratio = _EVEN_REGION_RATIO if self.is_leading_ else _SMALL_REGION_RATIO
        self.is_leading_ = bool(self._max_shift) and _is_uneven(known, ratio)
        self._limit_changes()

    def initialize(self, capacities: Mapping[str, float], now: float) -> None:
        """Set the shares from the capacities, assuming equal demand.

        Only the first call with capacities, in slots by region, has an
        effect.
        """
        if math.isfinite(self._initialized_at) or not capacities:
            return
        self._initialized_at = now
        self._updated_at = now
        mean = sum(capacities.values()) / max(len(capacities), 1)
        own = capacities.get(self.region, 0)
        self._own_capacity = own
        surplus = {
            name: max(capacity - mean, 0)
            for name, capacity in capacities.items()
            if name != self.region
        }
        if own >= mean:
            return
        self.shares_ = _split_by_weight(
            _INITIAL_SHARE_FRACTION * (1 - own / mean), surplus
        )

    def adopt_shares(self, shares: Mapping[str, float], now: float) -> None:
        """Adopt the shares that the region's pool used on another node."""
        if now - self._initialized_at <= _ADOPTION_SECONDS:
            self.shares_ = dict(shares)

    def update(
        self,
        loads: Mapping[str, RegionLoad],
        now: float,
        available_capacity: float,
    ) -> None:
        """Move the shares towards those that the loads require.

        Parameters
        ----------
        loads : mapping of str to RegionLoad
            Load of each region.
        now : float
            Monotonic time in seconds.
        available_capacity : float
            Capacity of this region with the servers that have named a limit.
            Only its loss lifts the cap on shifts.

        """
        own = loads[self.region]
        if available_capacity < _CAPACITY_LOSS_RATIO * self._own_capacity:
            self._unlimited_until = now + _UNLIMITED_CHANGE_SECONDS
        self._own_capacity = available_capacity
        step = self._change_per_second * min(max(now - self._updated_at, 0), 1)
        self._updated_at = now
        wanted = _compute_shares(self.region, loads, self._find_target(loads))
        if now < self._unlimited_until or not own.capacity:
            self.shares_ = wanted
            return
        self.shares_ = _step_shares(self.shares_, wanted, step)

    def record_request(self, region: str, now: float) -> None:
        """Record a request that is sent to a region."""
        self._shift_limiter.record_request(region, now)

    def choose_region_within_cap(
        self,
        key: str,
        regions: Collection[str],
        now: float,
    ) -> str:
        """Return the region for a request, within the cap on shifts.

        The cap does not apply shortly after a loss of capacity.
        """
        chosen = self.choose_region(key)
        if chosen not in regions:
            chosen = self.region
        if now < self._unlimited_until or self._shift_limiter.permits(
            chosen, now
        ):
            return chosen
        return self._shift_limiter.find_most_reduced(regions, now)

    def choose_region(self, key: str) -> str:
        """Return the region for a request for an object.

        The hash of an object maps it to the unit interval, in which each
        region has a segment of the size of its share. For each segment's end,
        the deficit counts the requests by which the regions up to it are
        behind their shares. The end moves in proportion, so that the shares
        are met over any few requests, whichever objects they are for.
        """
        if self.is_leading_:
            return self.homes_abroad.choose(key, self.shares_)
        position = _map_to_unit_interval(key) if key else self._random.random()
        end = 0
        chosen = self.region
        is_found = False
        for region, share in sorted(self.shares_.items()):
            end += share
            deficit = self._deficits.get(region, 0) + end
            if is_found or position < end + _compute_boundary_shift(deficit):
                deficit -= 1
                chosen = chosen if is_found else region
                is_found = True
            self._deficits[region] = min(
                max(deficit, -_MAX_DEFICIT_REQUESTS), _MAX_DEFICIT_REQUESTS
            )
        return chosen

    def _limit_changes(self) -> None:
        """Keep the shares within the cap on shifts, if there is one."""
        if self._max_shift is None:
            return
        change = _USED_CAP_FRACTION * self._max_shift / SHIFT_WINDOW_SECONDS
        growth = _GUARDED_CAP_FRACTION * self._max_shift
        if not self.is_leading_:
            change = min(change, _MAX_SHARE_CHANGE_PER_SECOND)
            growth = min(growth, MAX_SHARE_GROWTH)
        self._change_per_second = change
        self._shift_limiter.max_growth = growth

    def _find_target(self, loads: Mapping[str, RegionLoad]) -> float:
        """Return the utilization above which requests spill over.

        If all regions together have more demand than that, they share the
        lack evenly.
        """
        if not self.is_leading_:
            return TARGET_UTILIZATION
        demand = sum(load.demand for load in loads.values())
        capacity = sum(load.capacity for load in loads.values())
        return max(_LEADING_UTILIZATION, demand / max(capacity, 1))


def _is_uneven(capacities: Mapping[str, float], ratio: float) -> bool:
    mean = sum(capacities.values()) / max(len(capacities), 1)
    smallest = min(capacities.values(), default=0)
    return smallest < ratio * mean


class RegionDemand:
    """Demand of a region's callers: a forecast while its plan leads.

    Parameters
    ----------
    plan : SpilloverPlan
        The plan of the region.
    ahead : float
        Seconds from now to the time of the forecast.

    """

    def __init__(self, plan: SpilloverPlan, ahead: float) -> None:
        """Start without demand."""
        self.plan = plan
        self._demand = Demand()
        self._forecast = DemandForecast(ahead)

    def add(self, seconds: float, now: float) -> None:
        """Add one request's expected run time in seconds."""
        self._demand.add(seconds, now)
        self._forecast.add(seconds, now)

    def estimate_slots(self, now: float) -> float:
        """Return the number of slots that the requests need."""
        if self.plan.is_leading_:
            return self._forecast.estimate_slots(now)
        return self._demand.estimate_slots(now)


def _compute_boundary_shift(deficit: float) -> float:
    """Return by how much the end of a segment moves for a deficit."""
    return min(
        max(_BOUNDARY_SHIFT_PER_REQUEST * deficit, -_MAX_BOUNDARY_SHIFT),
        _MAX_BOUNDARY_SHIFT,
    )


def _compute_shares(
    region: str,
    loads: Mapping[str, RegionLoad],
    target: float,
) -> dict[str, float]:
    own = loads[region]
    others = {name: load for name, load in loads.items() if name != region}
    if not own.capacity:
        return _split_by_weight(
            1,
            {name: load.capacity for name, load in others.items()},
        )
    spares = {name: load.compute_spare(target) for name, load in others.items()}
    own_excess = own.compute_excess(target)
    if not own_excess:
        return dict.fromkeys(others, 0)
    excess = sum(load.compute_excess(target) for load in loads.values())
    fraction = min(1, sum(spares.values()) / excess)
    return _split_by_weight(fraction * own_excess / own.demand, spares)


def _split_by_weight(
    amount: float, weights: Mapping[str, float]
) -> dict[str, float]:
    total = sum(weights.values())
    if not total:
        return dict.fromkeys(weights, 0)
    return {name: amount * weight / total for name, weight in weights.items()}


def _step_shares(
    current: Mapping[str, float],
    wanted: Mapping[str, float],
    step: float,
) -> dict[str, float]:
    """Return the shares after a total change of at most `step`."""
    names = current.keys() | wanted.keys()
    changes = {
        name: wanted.get(name, 0) - current.get(name, 0) for name in names
    }
    size = sum(abs(change) for change in changes.values())
    fraction = min(1, step / size) if size else 0
    return {
        name: current.get(name, 0) + fraction * change
        for name, change in changes.items()
    }


def _map_to_unit_interval(text: str) -> float:
    return hash_key(text) / _HASH_RANGE
