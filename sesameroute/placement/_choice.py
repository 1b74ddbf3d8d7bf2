"""Picks a backend server for one request out of a region's."""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from sesameroute.placement._ask import Ask
from sesameroute.placement._upstream import UpstreamState
from sesameroute.placement._warmth import DepthModel

__all__ = ['Field', 'hash_key', 'rank_states']

_FIRST_OBJECTS = 2  # that a newcomer learns even while others are free
_TROUBLED = 0.8  # penalty at which a backend server gets one try at a time


@dataclass(slots=True)
class Field:
    """The backend servers that one request may go to, at one moment.

    Attributes
    ----------
    cold_rate : float
        Requests per second that this pool may start on a cold one.
    usual_trouble : float
        Penalty that a quarter of the region's backend servers stays under.

    """

    states: list[UpstreamState]
    ask: Ask
    model: DepthModel
    now: float
    cold_rate: float
    usual_trouble: float = 0

    def is_warm(self, state: UpstreamState) -> bool:
        """Whether the backend server is believed to know the object."""
        if not self.ask.key:
            return True
        depth = state.recent.find_depth(self.ask.key, self.now)
        return depth is not None and self.model.is_warm(depth)

    def list_homes(self) -> list[UpstreamState]:
        """Return those that know the object and are well, busy or not."""
        return [
            state
            for state in self.states
            if not self._is_impaired(state) and self.is_warm(state)
        ]

    def pick_warm(self, homes: Iterable[UpstreamState]) -> UpstreamState | None:
        """Return the least busy home with a free slot."""
        free = [home for home in homes if home.count_free(self.now) > 0]
        if not free:
            return None
        return min(free, key=self._rate_load)

    def pick_new(self) -> UpstreamState | None:
        """Return the preferred backend server with a free slot."""
        well = [state for state in self.states if self._is_open(state)]
        ranked = rank_states(self.ask.key or str(self.now), well)
        return next(iter(ranked), None)

    def pick_newcomer(self) -> UpstreamState | None:
        """Return one that has hardly been used, to learn some objects."""
        for state in self.states:
            is_unused = not state.held and len(state.recent) < _FIRST_OBJECTS
            if is_unused and self._is_open(state):
                return state
        return None

    def pick_any(self) -> UpstreamState | None:
        """Return the least bad one with a free slot."""
        free = [
            state
            for state in self.states
            if state.count_free(self.now) > 0
            and state.permits_start(self.cold_rate, self.now)
        ]
        if not free:
            return None
        return min(free, key=self._rate_load)

    def use(self, state: UpstreamState) -> bool:
        """Take a start from a cold backend server's budget."""
        if not state.is_cold(self.now):
            return True
        return state.cold.take(self.cold_rate, self.now)

    def rate_use(self) -> float:
        """Return the share of the slots that is in use."""
        slots = sum(state.slots for state in self.states)
        busy = sum(
            min(state.count_busy(self.now), state.slots)
            for state in self.states
        )
        return busy / slots if slots else 1.0

    def _rate_load(self, state: UpstreamState) -> float:
        load = (state.count_busy(self.now) + 1) / max(state.slots, 1)
        return load + state.rate_trouble(self.now)

    def _is_impaired(self, state: UpstreamState) -> bool:
        return state.is_cold(self.now) or (
            self._is_troubled(state) or not state.entry.is_listed()
        )

    def _is_troubled(self, state: UpstreamState) -> bool:
        trouble = state.rate_trouble(self.now) - self.usual_trouble
        return trouble >= _TROUBLED

    def _is_open(self, state: UpstreamState) -> bool:
        if state.count_free(self.now) <= 0 or not state.entry.is_listed():
            return False
        if state.held and self._is_troubled(state):
            return False
        return state.permits_start(self.cold_rate, self.now)


def rank_states(
    key: str,
    states: Iterable[UpstreamState],
) -> list[UpstreamState]:
    """Return backend servers in the order of their hash with a key."""
    return sorted(
        states,
        key=lambda state: hash_key(f'{key}/{state.name}'),
    )


def hash_key(text: str) -> int:
    """Return a hash of 64 bits that all nodes agree on."""
    return xxhash.xxh64_intdigest(text.encode())
