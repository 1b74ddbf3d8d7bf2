"""The nodes of the fleet as this one sees them."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, replace

from sesameroute.placement import hash_key
from sesameroute.ports import Clock, Peers, register_message

__all__ = ['Fleet', 'NodeState']

_STATE_SECONDS = 3.5  # age at which a node's word about itself is dropped
_FORGET_SECONDS = 15.0  # after which a lost node is dialled no more


@register_message('node-state', quick=True)
@dataclass(frozen=True, slots=True)
class NodeState:
    """What a node says of itself.

    Attributes
    ----------
    address : str
        IP address, which is also its name between peers.
    front : str
        Where callers connect, ``IP:PORT``.
    is_ready : bool
        Whether callers should be sent there.
    is_leaving : bool
        Whether it has been told to stop.
    known : tuple of str
        IP addresses of the nodes that it knows.

    """

    address: str
    zone: str
    region: str
    front: str
    is_ready: bool = False
    is_leaving: bool = False
    known: tuple[str, ...] = ()


@dataclass(slots=True)
class _Seen:
    state: NodeState
    heard: float


class Fleet:
    """Which nodes live, and who leads what.

    Parameters
    ----------
    own : NodeState
        This node.
    peers : Peers
        Streams to the others.
    clock : Clock
        Source of time.

    """

    def __init__(self, own: NodeState, peers: Peers, clock: Clock) -> None:
        """Store the parameters."""
        self.own = own
        self.peers = peers
        self.clock = clock
        self._lock = threading.Lock()
        self._seen: dict[str, _Seen] = {}
        self._addresses: dict[str, float] = {}

    def describe(self, *, is_ready: bool, is_leaving: bool) -> bool:
        """Say how this node is; return whether that is news."""
        now = replace(self.own, is_ready=is_ready, is_leaving=is_leaving)
        is_news = now != self.own
        self.own = now
        return is_news

    def add_address(self, address: str) -> None:
        """Note that there may be a node at an IP address."""
        if address and address != self.own.address:
            self._addresses[address] = self.clock.read_monotonic()

    def take_state(self, state: NodeState) -> None:
        """Take what a node says of itself."""
        now = self.clock.read_monotonic()
        with self._lock:
            self._seen[state.address] = _Seen(state, now)
        self.add_address(state.address)
        for address in state.known:
            if address not in self._addresses:
                self.add_address(address)

    def make_state(self) -> NodeState:
        """Return this node's word about itself, with whom it hears."""
        known = tuple(state.address for state in self.list_live())
        return replace(self.own, known=known)

    def list_live(self) -> list[NodeState]:
        """Return the nodes that are heard, this one included."""
        now = self.clock.read_monotonic()
        connected = set(self.peers.list_connected())
        with self._lock:
            seen = list(self._seen.values())
        live = [
            one.state
            for one in seen
            if one.state.address in connected
            and now - one.heard <= _STATE_SECONDS
        ]
        return [self.own, *live]

    def list_targets(self) -> list[str]:
        """Return the IP addresses to keep streams to."""
        now = self.clock.read_monotonic()
        connected = set(self.peers.list_connected())
        for address, added in tuple(self._addresses.items()):
            if address in connected:
                self._addresses[address] = now
            elif now - added > _FORGET_SECONDS:
                self._addresses.pop(address)
        return list(self._addresses)

    def find_leader(self, matter: str, region: str) -> str:
        """Return the node that leads a matter in a region.

        Without a live node there, this one leads.
        """
        return min(
            self._list_stable(region),
            key=_rate_nodes(matter),
            default=self.own.address,
        )

    def find_rank(self, matter: str) -> int:
        """Return this node's place among those that may lead, from 0."""
        ranked = sorted(
            self._list_stable(self.own.region),
            key=_rate_nodes(matter),
        )
        if self.own.address not in ranked:
            return len(ranked)
        return ranked.index(self.own.address)

    def list_fronts(self, region: str) -> list[str]:
        """Return where callers of a region should connect."""
        ready = [state for state in self.list_live() if state.is_ready]
        near = [state for state in ready if state.region == region]
        return [state.front for state in near or ready]

    def count(self) -> int:
        """Return how many nodes there may be."""
        return max(len(self._addresses) + 1, 1)

    def _list_stable(self, region: str) -> list[str]:
        return [
            state.address
            for state in self.list_live()
            if state.region == region and not state.is_leaving
        ]


def _rate_nodes(matter: str) -> Callable[[str], int]:
    """Return the key of a rendezvous order of addresses, the first least."""
    return lambda address: hash_key(f'{matter}/{address}')
