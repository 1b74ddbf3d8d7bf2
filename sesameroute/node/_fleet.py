"""Tracks the live nodes of the fleet and elects leaders among them."""

import threading
from dataclasses import dataclass, replace

from sesameroute.gossip import choose_list_interval
from sesameroute.node._heartbeats import HeartbeatPlan
from sesameroute.node._live_view import LiveStates
from sesameroute.placement import hash_key
from sesameroute.ports import Clock, Peers, register_message

__all__ = ['Fleet', 'NodeState']

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
        IP addresses of live nodes: all that it knows, or those that are new
        since an earlier message.
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
    ttl : int
        Seconds for which the state is valid while no other comes; 0 for 3.5,
        and for builds that give none. A node that names a TTL heeds those of
        others, up to its own at least.

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
    ttl: int = 0


class _KnownList:
    """Leaves the list of known nodes out of most messages.

    With the list in each message, the bytes that a fleet sends grow with the
    cube of its size.
    """

    def __init__(self, address: str) -> None:
        self._last: tuple[str, ...] = ()
        self._left_out = 0
        self._phase = hash_key(address)

    def select(self, known: tuple[str, ...]) -> tuple[str, ...]:
        """Return the list if it is new or due, else an empty one."""
        self._left_out += 1
        interval = choose_list_interval(len(known))
        is_same = sorted(known) == sorted(self._last)
        if is_same and self._left_out < interval:
            return ()
        # Nodes that hear of a change at the same time list all again at
        # different times.
        self._left_out = 0 if is_same else self._phase % interval
        self._last = known
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

    Attributes
    ----------
    heartbeats : HeartbeatPlan
        Decides which peers hear this node's state.

    """

    def __init__(
        self, own_state: NodeState, peers: Peers, clock: Clock
    ) -> None:
        """Store the parameters."""
        self.own_state = own_state
        self.peers = peers
        self.clock = clock
        self._lock = threading.Lock()
        self._states = LiveStates(peers, clock)
        self.heartbeats = HeartbeatPlan(self._states)
        self._addresses: dict[str, float] = {}
        self._known_list = _KnownList(own_state.address)

    def update_own_state(self, **changes: bool | int) -> bool:
        """Update fields of this node's state; return whether it has changed."""
        with self._lock:
            updated = replace(self.own_state, **changes)
            has_changed = updated != self.own_state
            if has_changed:
                self.own_state = updated
        return has_changed

    def add_address(self, address: str) -> None:
        """Add an IP address at which there may be a node."""
        if address and address != self.own_state.address:
            self._addresses[address] = self.clock.read_monotonic()

    def receive_state(self, state: NodeState) -> None:
        """Store a state received from a node."""
        self._states.store(state)
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
        return replace(
            self.own_state,
            known=known,
            revision=revision,
            ttl=self.heartbeats.choose_ttl(),
        )

    def list_live(self) -> list[NodeState]:
        """Return the states of the live nodes, this node first."""
        return self._states.find_view(self.own_state).list_states()

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
        return self._states.find_view(self.own_state).find_leader(topic, region)

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
        ranked = self._states.find_view(self.own_state).rank(topic)
        found = address or self.own_state.address
        return ranked.index(found) if found in ranked else len(ranked)

    def list_front_addresses(self, region: str) -> list[str]:
        """Return the addresses for callers of a region.

        These are the ready nodes of the region, or all ready nodes if it has
        none. A node that is leaving may miss the ones that have replaced
        others meanwhile, so that it names no other region.
        """
        ready = _select_answering(self.list_live())
        near = [state for state in ready if state.region == region]
        if near or self.own_state.is_leaving:
            return [state.front for state in near]
        return [state.front for state in ready]

    def count_known(self) -> int:
        """Return the number of nodes, live or not yet forgotten."""
        return max(len(self._addresses) + 1, 1)


def _select_answering(live: list[NodeState]) -> list[NodeState]:
    """Return the ready nodes that answer callers, or all if too few do."""
    ready = [state for state in live if state.is_ready]
    answering = [state for state in ready if state.answers_callers]
    is_panic = len(answering) < _PANIC_FRACTION * len(ready)
    return ready if is_panic else answering
