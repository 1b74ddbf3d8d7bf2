"""Grants whose slots are in use."""

import itertools
from collections import Counter
from dataclasses import dataclass, field

from sesameroute.placement._messages import SlotRequest
from sesameroute.placement._upstream import UpstreamState

__all__ = ['ActiveGrant', 'ActiveGrants']


@dataclass(frozen=True, slots=True)
class ActiveGrant:
    """A grant whose slot is in use.

    Attributes
    ----------
    state : UpstreamState
        State of the backend server.
    node : str
        Address of the node that asked for the slot.
    slot_request : SlotRequest
        The request.
    is_warm : bool
        Whether the backend server probably had the object cached.
    depth : int or None
        Depth of the object in the server's cache when the request started,
        see `CacheDepthModel`.
    expires : float
        Monotonic time in seconds after which the grant is considered lost.
    incarnation : int
        Incarnation of the backend server.

    """

    state: UpstreamState
    node: str
    slot_request: SlotRequest
    is_warm: bool
    depth: int | None
    expires: float
    incarnation: int = field(init=False)

    def __post_init__(self) -> None:
        """Note the incarnation, since the state outlives it."""
        object.__setattr__(
            self, 'incarnation', self.state.entry.backend.incarnation
        )


class ActiveGrants:
    """Active grants by number."""

    def __init__(self) -> None:
        """Start without grants."""
        self._grants: dict[int, ActiveGrant] = {}
        self._numbers = itertools.count(1)

    def add(self, grant: ActiveGrant) -> int:
        """Add a grant and occupy its slot; return its number."""
        number = next(self._numbers)
        self._grants[number] = grant
        grant.state.granted_slots += 1
        grant.state.total_grants += 1
        grant.state.cold_grants += not grant.is_warm
        return number

    def pop(self, number: int) -> ActiveGrant | None:
        """Remove a grant and free its slot; None if it was removed before."""
        grant = self._grants.pop(number, None)
        if grant is not None:
            grant.state.granted_slots -= 1
        return grant

    def pop_node(self, node: str) -> list[ActiveGrant]:
        """Remove all grants of a node."""
        lost = [
            number
            for number, grant in self._grants.items()
            if grant.node == node
        ]
        return [self.pop(number) for number in lost]

    def pop_ticket(self, ticket: str) -> ActiveGrant | None:
        """Remove the grant of a slot request that is withdrawn."""
        for number, grant in self._grants.items():
            if grant.slot_request.ticket == ticket:
                return self.pop(number)
        return None

    def expire(self, now: float) -> list[ActiveGrant]:
        """Remove the grants that are considered lost."""
        lost = [
            number
            for number, grant in self._grants.items()
            if grant.expires < now
        ]
        return [self.pop(number) for number in lost]

    def count(self) -> dict[str, int]:
        """Return the number of slots in use by backend server."""
        return dict(
            Counter(grant.state.name for grant in self._grants.values())
        )
