"""Chooses a backend server of one region for a request."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from sesameroute.placement._hash_order import hash_key, rank_by_weight
from sesameroute.placement._messages import SlotRequest
from sesameroute.placement._object_cache import CacheDepthModel
from sesameroute.placement._server_shares import ShareBounds
from sesameroute.placement._upstream import UpstreamState

__all__ = ['Candidates', 'hash_key', 'rank_states']

# An idle backend server that has handled fewer objects is preferred, even if
# others are free, so that its cache fills.
_INITIAL_OBJECTS = 2
# No object is loaded on a server that says it takes longer than this ratio.
_MAX_LOADING_PACE = 1.2
# A request goes to the least loaded of so many servers of its object, so that
# those that looked best a moment ago don't get all of them.
_CHOICE_COUNT = 2
# Excess penalty at which a backend server gets one request at a time.
_HIGH_PENALTY = 0.8


@dataclass(slots=True)
class Candidates:
    """The backend servers that may get a request at one point in time.

    Attributes
    ----------
    states : list of UpstreamState
        State of each of these backend servers.
    slot_request : SlotRequest
        The request.
    model : CacheDepthModel
        Tells whether an object is probably still cached.
    now : float
        Monotonic time in seconds.
    cold_rate : float
        Requests per second that this pool may start on each cold backend
        server.
    baseline_penalty : float
        Penalty below which a quarter of the region's backend servers is.
    share_bounds : ShareBounds or None
        Tells which servers have had their part of the work; None if shares
        need not follow the sizes of the servers.
    warm_run, cold_run : float
        Run time in seconds on a server with the object and without it.
    resumes_at : float
        Monotonic time in seconds at which the first server is back if all
        have asked for a pause.

    """

    states: list[UpstreamState]
    slot_request: SlotRequest
    model: CacheDepthModel
    now: float
    cold_rate: float
    baseline_penalty: float = 0
    share_bounds: ShareBounds | None = None
    warm_run: float = 0
    cold_run: float = 0
    resumes_at: float = -math.inf

    def is_warm(self, state: UpstreamState) -> bool:
        """Whether the backend server probably has the object cached."""
        if not self.slot_request.key:
            return True
        depth = state.recent.find_depth(self.slot_request.key, self.now)
        return depth is not None and self.model.is_warm(depth)

    def list_warm(self) -> list[UpstreamState]:
        """Return the healthy ones with the object cached, busy or not."""
        return [
            state
            for state in self.states
            if self.is_warm(state) and not self._is_impaired(state)
        ]

    def pick_warm(
        self, warm_states: Iterable[UpstreamState]
    ) -> UpstreamState | None:
        """Return a warm one that has a free slot.

        If shares follow the sizes, it is the less loaded of the first two in
        the object's order that are within their shares.
        """
        free = [
            server for server in warm_states if server.count_free(self.now) > 0
        ]
        if not free:
            return None
        free = [state for state in free if _can_be_on_time(self, state)] or free
        if self.share_bounds is None or not self.slot_request.key:
            return min(free, key=self._compute_load)
        within = list(filter(self.share_bounds.is_within, free))
        ranked = rank_states(self.slot_request.key, within or free)
        return min(ranked[:_CHOICE_COUNT], key=self._compute_load)

    def pick_by_hash(self) -> UpstreamState | None:
        """Return the first in hash order that accepts the request."""
        accepting = [
            state for state in self.states if self._accepts_request(state)
        ]
        ranked = rank_states(self.slot_request.key or str(self.now), accepting)
        return next(iter(ranked), None)

    def pick_unused(self) -> UpstreamState | None:
        """Return an idle one that should load the object, if there is one.

        It has a nearly empty cache. If shares follow the sizes of the
        servers, an object only moves if all servers that have it cached are
        busy or have had more than their part.
        """
        if _can_stay(self):
            return None
        idle = [
            state
            for state in self.states
            if not state.granted_slots
            and _is_behind(state, self.share_bounds)
            and state.pace.estimate(self.now) <= _MAX_LOADING_PACE
            and self._accepts_request(state)
        ]
        if not idle or self.share_bounds is None:
            return next(iter(idle), None)
        return rank_states(self.slot_request.key or str(self.now), idle)[0]

    def pick_least_loaded(self) -> UpstreamState | None:
        """Return the least loaded one with a free slot, even if impaired."""
        free = [
            state
            for state in self.states
            if state.count_free(self.now) > 0
            and state.permits_start(self.cold_rate, self.now)
        ]
        if not free:
            return None
        return min(free, key=self._compute_load)

    def take_cold_start(self, state: UpstreamState) -> bool:
        """Consume a start of the budget if the backend server is cold.

        Returns
        -------
        bool
            Whether the request may start.

        """
        if not state.is_cold(self.now):
            return True
        return state.cold_start_budget.take(self.cold_rate, self.now)

    def compute_utilization(self) -> float:
        """Return the fraction in use of the slots of unlimited servers."""
        unlimited = [
            state for state in self.states if not state.start_limit.is_set
        ]
        slots = sum(state.slots for state in unlimited)
        busy = sum(
            min(state.count_busy(self.now), state.slots) for state in unlimited
        )
        return busy / slots if slots else 1.0

    def _compute_load(self, state: UpstreamState) -> float:
        load = (state.count_busy(self.now) + 1) / max(state.slots, 1)
        pace = state.pace.estimate(self.now)
        return load * pace + state.compute_penalty(self.now)

    def _is_impaired(self, state: UpstreamState) -> bool:
        return (
            state.is_cold(self.now)
            or state.start_limit.is_reached(self.now)
            or self._has_high_penalty(state)
            or not state.entry.is_listed()
        )

    def _has_high_penalty(self, state: UpstreamState) -> bool:
        excess_penalty = state.compute_penalty(self.now) - self.baseline_penalty
        return excess_penalty >= _HIGH_PENALTY

    def _accepts_request(self, state: UpstreamState) -> bool:
        if state.count_free(self.now) <= 0 or not state.entry.is_listed():
            return False
        if state.granted_slots and self._has_high_penalty(state):
            return False
        return state.permits_start(self.cold_rate, self.now)


def _can_be_on_time(candidates: Candidates, state: UpstreamState) -> bool:
    """Whether a slow server can run the request in time, if any can."""
    run = candidates.warm_run * state.pace.estimate(candidates.now)
    return run <= max(candidates.slot_request.on_time, candidates.warm_run)


def _is_behind(state: UpstreamState, bounds: ShareBounds | None) -> bool:
    if len(state.recent) < _INITIAL_OBJECTS:
        return True
    return bounds is not None and bounds.is_behind(state)


def _can_stay(candidates: Candidates) -> bool:
    """Whether a server with the object has a slot and some share left."""
    bounds = candidates.share_bounds
    warm_states = candidates.list_warm()
    if bounds is None or not warm_states:
        return False
    if not bounds.permits_move(candidates.slot_request, candidates.cold_run):
        return True
    return any(
        state.count_free(candidates.now) > 0 and bounds.is_within(state)
        for state in warm_states
    )


def rank_states(
    key: str,
    states: Iterable[UpstreamState],
) -> list[UpstreamState]:
    """Return backend servers in rendezvous hashing order for a key."""
    by_name = {state.name: state for state in states}
    weights = {name: state.slots for name, state in by_name.items()}
    return [by_name[name] for name in rank_by_weight(key, weights)]
