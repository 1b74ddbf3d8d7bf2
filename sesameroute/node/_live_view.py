"""What follows from the states of the live nodes, kept until they change.

Load answered: at 140 nodes every request asks for the leader of its service.
Listing and ranking all nodes anew each time costs more than placing it.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sesameroute.placement import hash_key
from sesameroute.ports import Clock, Peers

if TYPE_CHECKING:
    from sesameroute.node._fleet import NodeState

__all__ = ['LiveStates', 'LiveView']

# A node counts as live until its last state message is this old, if the message
# doesn't name a time itself.
_STATE_MAX_AGE_SECONDS = 3.5
_LONGEST_TTL_SECONDS = 60


@dataclass(slots=True)
class _ReceivedState:
    """The last state heard of a node, and when; replaced in place."""

    state: 'NodeState'
    received_at: float

    @property
    def valid_until(self) -> float:
        """Monotonic time in seconds until which the state counts."""
        ttl = min(self.state.ttl, _LONGEST_TTL_SECONDS)
        return self.received_at + max(ttl, _STATE_MAX_AGE_SECONDS)


@dataclass(slots=True)
class LiveView:
    """The live nodes at one time, and the leaders among them.

    Attributes
    ----------
    own_state : NodeState
        State of this node.
    connected : tuple of str
        The peers with an open stream.
    entries : dict of str to _ReceivedState
        The other live nodes by address.
    valid_until : float
        Monotonic time in seconds at which the first of them would be too old
        if nothing more came from it.

    """

    own_state: 'NodeState'
    connected: tuple[str, ...]
    entries: dict[str, _ReceivedState]
    valid_until: float
    _leaders: dict[tuple[str, str], str] = field(default_factory=dict)
    _ranks: dict[str, list[str]] = field(default_factory=dict)

    def is_valid(
        self, own_state: 'NodeState', connected: tuple[str, ...], now: float
    ) -> bool:
        """Whether nothing has changed but the time."""
        return (
            now <= self.valid_until
            and own_state is self.own_state
            and connected == self.connected
        )

    def list_states(self) -> list['NodeState']:
        """Return the newest states, this node's first."""
        received = [entry.state for entry in self.entries.values()]
        return [self.own_state, *received]

    def find_leader(self, topic: str, region: str) -> str:
        """Return the ready node that leads, or this one if there is none."""
        found = self._leaders.get((topic, region))
        if found is None:
            ready = (
                state.address
                for state in self.list_states()
                if state.region == region and state.is_ready
            )
            found = min(
                ready,
                key=_build_rank_key(topic),
                default=self.own_state.address,
            )
            self._leaders[topic, region] = found
        return found

    def rank(self, topic: str) -> list[str]:
        """Return the possible leaders of this node's region in their order."""
        ranked = self._ranks.get(topic)
        if ranked is None:
            possible = (
                state.address
                for state in self.list_states()
                if state.region == self.own_state.region
                and not state.is_leaving
            )
            ranked = sorted(possible, key=_build_rank_key(topic))
            self._ranks[topic] = ranked
        return ranked


class LiveStates:
    """Stores the states of other nodes, and tells which of them are live.

    Parameters
    ----------
    peers : Peers
        Connections to the other nodes.
    clock : Clock
        Source of time.

    """

    def __init__(self, peers: Peers, clock: Clock) -> None:
        """Store the parameters."""
        self.peers = peers
        self.clock = clock
        self._lock = threading.Lock()
        self._received: dict[str, _ReceivedState] = {}
        self._view: LiveView | None = None

    def store(self, state: 'NodeState') -> None:
        """Store a received state; forget the view if it changes by it."""
        now = self.clock.read_monotonic()
        with self._lock:
            known = self._received.setdefault(
                state.address, _ReceivedState(state, now)
            )
            if not self._keeps_view(known.state, state):
                self._view = None
            known.state = state
            known.received_at = now

    def find_view(self, own_state: 'NodeState') -> LiveView:
        """Return the live nodes; a new view only if they have changed."""
        now = self.clock.read_monotonic()
        connected = tuple(self.peers.list_connected())
        with self._lock:
            view = self._view
            if view is None or not view.is_valid(own_state, connected, now):
                view = self._build_view(own_state, connected, now)
                self._view = view
        return view

    def find(self, address: str) -> 'NodeState | None':
        """Return the last state heard of a node, also if it is too old."""
        entry = self._received.get(address)
        return entry.state if entry else None

    def _keeps_view(self, known: 'NodeState', state: 'NodeState') -> bool:
        view = self._view
        if view is None or state.address not in view.entries:
            return False
        return _get_candidacy(known) == _get_candidacy(state)

    def _build_view(
        self, own_state: 'NodeState', connected: tuple[str, ...], now: float
    ) -> LiveView:
        known = (
            (address, self._received.get(address)) for address in connected
        )
        live = {
            address: entry
            for address, entry in known
            if entry is not None and entry.valid_until >= now
        }
        valid_until = min(
            (entry.valid_until for entry in live.values()),
            default=now + _STATE_MAX_AGE_SECONDS,
        )
        return LiveView(own_state, connected, live, valid_until)


def _get_candidacy(state: 'NodeState') -> tuple[str, bool, bool, int]:
    """Return what decides whether a node may lead, and for how long."""
    return state.region, state.is_ready, state.is_leaving, state.ttl


def _build_rank_key(topic: str) -> Callable[[str], int]:
    """Return a sort key: the address with the lowest hash comes first."""
    return lambda address: hash_key(f'{topic}/{address}')
