"""Grants whose slots are in use."""

import itertools
from collections import Counter
from dataclasses import dataclass

from sesameroute.placement._ask import Ask
from sesameroute.placement._upstream import UpstreamState

__all__ = ['Held', 'HeldSlots']


@dataclass(frozen=True, slots=True)
class Held:
    """One slot in use.

    Attributes
    ----------
    depth : int or None
        Depth of the object on the backend server as the run began.
    expires : float
        Monotonic time in seconds after which the grant counts as lost.

    """

    state: UpstreamState
    node: str
    ask: Ask
    is_warm: bool
    depth: int | None
    expires: float


class HeldSlots:
    """Slots in use by the number of their grant."""

    def __init__(self) -> None:
        """Start empty."""
        self._held: dict[int, Held] = {}
        self._numbers = itertools.count(1)

    def add(self, held: Held) -> int:
        """Take a slot; return the grant's number."""
        number = next(self._numbers)
        self._held[number] = held
        held.state.held += 1
        return number

    def pop(self, number: int) -> Held | None:
        """Give a slot back; None if that has happened already."""
        held = self._held.pop(number, None)
        if held is not None:
            held.state.held -= 1
        return held

    def pop_node(self, node: str) -> list[Held]:
        """Give back all slots of a node."""
        lost = [
            number for number, held in self._held.items() if held.node == node
        ]
        return [self.pop(number) for number in lost]

    def expire(self, now: float) -> list[Held]:
        """Give back the slots of grants that count as lost."""
        lost = [
            number for number, held in self._held.items() if held.expires < now
        ]
        return [self.pop(number) for number in lost]

    def count(self) -> dict[str, int]:
        """Return the slots in use by backend server."""
        return dict(Counter(held.state.name for held in self._held.values()))
