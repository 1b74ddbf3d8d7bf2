"""Tracks the live nodes of the fleet and elects leaders among them."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, replace

from sesameroute.placement import hash_key
from sesameroute.ports import Clock, Peers, register_message

__all__ = ['Fleet', 'NodeState']

# A node counts as live until its last state message is this old.
_STATE_MAX_AGE_SECONDS = 3.5
# One state message in this many lists all known nodes, also without a change.
_COMPLETE_STATE_INTERVAL = 5
# If fewer of the ready nodes than this answer callers, all count as answering:
# their checks are likelier to fail than so many servers (panic threshold).
_PANIC_FRACTION = 0.5
# A lost node is no longer dialled after this time.
_MAX_REDIAL_SECONDS = 15.0


@register_message('node-state', is_nonblocking=True)
@dataclass(frozen=True, slots=True)
class NodeState:
    """The state that a node announces to its peers.

    Attributes
    ----------
    address : str
        IP address, which also identifies the node among its peers.
    front : str
        Address for callers, ``IP:PORT``.
    is_ready : bool
        Whether the directory should send callers to the node.
    is_leaving : bool
        Whether the node is shutting down.
    known : tuple of str
        IP addresses of the nodes that it considers live; empty if they are
        the same as in an earlier message.
    reaches_servers : bool
        Whether it reaches any backend server.
    relay : str
        Address for requests that other nodes pass on, ``IP:PORT``; empty if
        it takes none.
    revision : int
        Packed position of its copy of the store.
    first_era : int or None
        First era of the store that it knows of, -1 if it knows none yet; None
        for builds that know no eras.
    wants_answer : bool
        Whether the node has just started and asks for what the peer knows and
        then for its state.
    is_answer : bool or None
        Whether this is such an answer; None for builds that give none.
    answers_callers : bool
        Whether its server for callers has answered lately.

    """

    address: str
    zone: str
    region: str
    front: str
    is_ready: bool = False
    is_leaving: bool = False
    known: tuple[str, ...] = ()
    reaches_servers: bool = True
    relay: str = ''
    revision: int = 0
    first_era: int | None = None
    wants_answer: bool = False
    is_answer: bool | None = None
    answers_callers: bool = True


@dataclass(slots=True)
class _ReceivedState:
    state: NodeState
    received_at: float


class _KnownList:
    """Leaves the list of known nodes out of most messages.

    With the list in each message, the bytes that a fleet sends grow with the
    cube of its size.
    """

    def __init__(self) -> None:
        self._last: tuple[str, ...] = ()
        self._left_out = 0

    def select(self, known: tuple[str, ...]) -> tuple[str, ...]:
        """Return the list if it is new or due, else an empty one."""
        self._left_out += 1
        is_due = self._left_out >= _COMPLETE_STATE_INTERVAL
        if not is_due and sorted(known) == sorted(self._last):
            return ()
        self._last = known
        self._left_out = 0
        return known


class Fleet:
    """Tracks the live nodes and elects a leader per topic and region.

    All nodes with the same view elect the same leader by rendezvous hashing.

    Parameters
    ----------
    own : NodeState
        State of this node.
    peers : Peers
        Connections to the other nodes.
    clock : Clock
        Source of time.

    """

    def __init__(
        self, own_state: NodeState, peers: Peers, clock: Clock
    ) -> None:
        """Store the parameters."""
        self.own_state = own_state
        self.peers = peers
        self.clock = clock
        self._lock = threading.Lock()
        self._received: dict[str, _ReceivedState] = {}
        self._addresses: dict[str, float] = {}
        self._known_list = _KnownList()

    def update_own_state(self, **changes: bool | int) -> bool:
        """Update fields of this node's state; return whether it has changed."""
        with self._lock:
            updated = replace(self.own_state, **changes)
            has_changed = updated != self.own_state
            self.own_state = updated
        return has_changed

    def add_address(self, address: str) -> None:
        """Add an IP address at which there may be a node."""
        if address and address != self.own_state.address:
            self._addresses[address] = self.clock.read_monotonic()

    def receive_state(self, state: NodeState) -> None:
        """Store a state received from a node."""
        now = self.clock.read_monotonic()
        with self._lock:
            self._received[state.address] = _ReceivedState(state, now)
        self.add_address(state.address)
        for address in state.known:
            if address not in self._addresses:
                self.add_address(address)

    def build_state(
        self, revision: int = 0, *, is_complete: bool = True
    ) -> NodeState:
        """Return this node's state with the live nodes that it knows.

        Parameters
        ----------
        revision : int, optional
            Revision of its copy of the store.
        is_complete : bool, optional
            Whether to list the live nodes even if the last state listed the
            same ones. A message to a single node has to.

        """
        known = tuple(state.address for state in self.list_live())
        if not is_complete:
            known = self._known_list.select(known)
        return replace(self.own_state, known=known, revision=revision)

    def list_live(self) -> list[NodeState]:
        """Return the states of the live nodes, this node first."""
        now = self.clock.read_monotonic()
        connected = set(self.peers.list_connected())
        with self._lock:
            received = list(self._received.values())
        live = [
            entry.state
            for entry in received
            if entry.state.address in connected
            and now - entry.received_at <= _STATE_MAX_AGE_SECONDS
        ]
        return [self.own_state, *live]

    def list_dial_addresses(self) -> list[str]:
        """Return the IP addresses to keep connections to."""
        now = self.clock.read_monotonic()
        connected = set(self.peers.list_connected())
        for address, added in tuple(self._addresses.items()):
            if address in connected:
                self._addresses[address] = now
            elif now - added > _MAX_REDIAL_SECONDS:
                self._addresses.pop(address)
        return list(self._addresses)

    def find_leader(self, topic: str, region: str) -> str:
        """Return the IP address of the leader for a topic in a region.

        This node itself leads if the region has no ready node. One that has
        just started decides nothing for others: it may not know all yet.
        """
        ready = (
            state.address
            for state in self.list_live()
            if state.region == region and state.is_ready
        )
        return min(
            ready,
            key=_build_rank_key(topic),
            default=self.own_state.address,
        )

    def find_rank(self, topic: str, address: str = '') -> int:
        """Return a node's rank among the possible leaders, from 0.

        The leader has rank 0; a node that can't lead in this region comes
        last.

        Parameters
        ----------
        topic : str
            What the leader is for.
        address : str, optional
            IP address of the node; by default this node's.

        """
        possible = (
            state.address
            for state in self.list_live()
            if state.region == self.own_state.region and not state.is_leaving
        )
        ranked = sorted(possible, key=_build_rank_key(topic))
        found = address or self.own_state.address
        return ranked.index(found) if found in ranked else len(ranked)

    def list_front_addresses(self, region: str) -> list[str]:
        """Return the addresses for callers of a region.

        These are the ready nodes of the region, or all ready nodes if it has
        none. A node that is leaving may miss the ones that have replaced
        others meanwhile, so that it names no other region.
        """
        ready = self._list_answering()
        near = [state for state in ready if state.region == region]
        if near or self.own_state.is_leaving:
            return [state.front for state in near]
        return [state.front for state in ready]

    def count_known(self) -> int:
        """Return the number of nodes, live or not yet forgotten."""
        return max(len(self._addresses) + 1, 1)

    def _list_answering(self) -> list[NodeState]:
        ready = [state for state in self.list_live() if state.is_ready]
        answering = [state for state in ready if state.answers_callers]
        is_panic = len(answering) < _PANIC_FRACTION * len(ready)
        return ready if is_panic else answering


def _build_rank_key(topic: str) -> Callable[[str], int]:
    """Return a sort key: the address with the lowest hash comes first."""
    return lambda address: hash_key(f'{topic}/{address}')
