"""Lets a node that starts learn what its peers know before it serves.

What a starting node reads first may be outdated: a store that was restored
from a copy lacks the newest changes, and a peer may be cut off. The other
nodes know them, so that the node asks all that it can reach.
"""

import logging
import math
import threading
from collections.abc import Callable, Set
from dataclasses import replace

from sesameroute.mirror import find_era
from sesameroute.node._fleet import Fleet, NodeState
from sesameroute.node._held_requests import HeldRequests
from sesameroute.node._mirror_sync import MirrorSync
from sesameroute.ports import Clock
from sesameroute.routes import ActiveConfiguration
from sesameroute.telemetry import survive

__all__ = ['CatchUp']

# How long a node that starts and has a configuration waits for connections to
# other nodes, and for their answers.
_MAX_CONNECT_SECONDS = 0.5
_MAX_SECONDS = 1.0
_MILLISECONDS = 1000
_STEP_INTERVAL_SECONDS = 0.02
_ASK_INTERVAL_SECONDS = 0.3  # between two questions to the same peer

_logger = logging.getLogger(__name__)


class CatchUp:
    """Compares a starting node with its peers before it is ready.

    Requests that reach the node are served as soon as all connected peers have
    told what they know, a ready one among them. The node is ready, and its
    directory names nodes, once all nodes that it has heard of have answered,
    have refused a connection, or are silent for too long.

    Parameters
    ----------
    fleet : Fleet
        The known nodes and their states.
    sync : MirrorSync
        Compares the copies of the store.
    active_configuration : ActiveConfiguration
        Held back until the node may serve.
    clock : Clock
        Source of time.

    Attributes
    ----------
    is_complete_ : bool
        Whether the node has a configuration and has heard all nodes that it
        can reach.

    """

    def __init__(
        self,
        fleet: Fleet,
        sync: MirrorSync,
        active_configuration: ActiveConfiguration,
        clock: Clock,
    ) -> None:
        """Start the time limit."""
        self.fleet = fleet
        self.sync = sync
        self.active_configuration = active_configuration
        self.clock = clock
        self.is_complete_ = False
        self._started_at = clock.read_monotonic()
        self._known_at = math.inf
        self._asked_at: dict[str, float] = {}
        self._answers: dict[str, NodeState] = {}
        self._heard: dict[str, NodeState] = {}
        self._held_requests = HeldRequests(sync, clock)
        self._is_behind = False

    def start(
        self,
        is_stopped: threading.Event,
        dial: Callable[[], None],
        on_complete: Callable[[], None],
    ) -> None:
        """Start the thread; it ends once all nodes in reach have been heard.

        Parameters
        ----------
        is_stopped : threading.Event
            Ends the thread early.
        dial : callable
            Opens connections to nodes that have become known.
        on_complete : callable
            Called when the node is ready.

        """

        def run() -> None:
            while not self.is_complete_:
                if is_stopped.wait(_STEP_INTERVAL_SECONDS):
                    return
                with survive('catch-up'):
                    dial()
                    self.step(on_complete)

        threading.Thread(target=run, name='catch-up', daemon=True).start()

    def receive(self, state: NodeState) -> None:
        """Note the state of a peer that has told what it knows before.

        A peer that asks has just started, too, and knows nothing yet. Earlier
        builds send no answers; any state of theirs counts.
        """
        self._held_requests.follow(state)
        has_told = state.is_answer is not False or state.wants_answer
        if has_told and not self.is_complete_:
            self._answers[state.address] = state

    def owes_answer(self, peer: str) -> bool:
        """Return whether to answer a peer that asks.

        Nodes that start at the same time take each other's question for the
        answer.
        """
        asked_at = self._asked_at.get(peer, -math.inf)
        age = self.clock.read_monotonic() - asked_at
        return self.is_complete_ or age >= _ASK_INTERVAL_SECONDS

    def step(self, on_complete: Callable[[], None]) -> None:
        """Ask the peers that have not answered yet, and decide."""
        now = self.clock.read_monotonic()
        connected = frozenset(self.fleet.peers.list_connected())
        # What a peer tells may arrive in several messages, its state first.
        # It counts from the next step on.
        heard = self._heard
        self._heard = self._judge_answers(connected)
        self._ask(connected - self._heard.keys(), now)
        if not self.active_configuration.is_known:
            return
        self._known_at = min(self._known_at, now)
        awaited = self._list_awaited(connected, now) - heard.keys()
        self.is_complete_ = not awaited or now - self._known_at >= _MAX_SECONDS
        has_told = any(state.is_ready for state in heard.values())
        is_told = has_told and not self._is_behind
        if self.is_complete_ or (is_told and connected <= heard.keys()):
            self.active_configuration.release()
        if self.is_complete_:
            self.sync.is_starting_ = False
            on_complete()
            self._log_end(now, len(heard), awaited)

    def _log_end(self, now: float, heard: int, awaited: Set[str]) -> None:
        _logger.info(
            'node caught up',
            extra={
                'after_ms': round(_MILLISECONDS * (now - self._started_at)),
                'peers': heard,
                'awaited': ','.join(sorted(awaited)) or '-',
                'version': self.active_configuration.version,
            },
        )

    def _judge_answers(self, connected: Set[str]) -> dict[str, NodeState]:
        """Return the answers of the peers that know nothing more.

        Notes whether a peer has a later copy that has not come yet.
        """
        answers = [
            state
            for state in tuple(self._answers.values())
            if state.address in connected
        ]
        level = {
            state.address: state for state in answers if self._is_level(state)
        }
        self._is_behind = any(
            self._held_requests.read_revision(state)
            > self.sync.mirror.revision_
            for state in answers
            if state.address not in level
        )
        return level

    def _list_awaited(self, connected: Set[str], now: float) -> Set[str]:
        """Return the addresses of nodes that may tell something."""
        if now - self._known_at >= _MAX_CONNECT_SECONDS:
            return connected
        refused = {
            address
            for address, time in self.fleet.peers.list_refused_dials().items()
            if time >= self._started_at
        }
        addresses = self.fleet.list_dial_addresses()
        return connected.union(set(addresses) - refused)

    def _ask(self, silent: Set[str], now: float) -> None:
        peers = self.fleet.peers
        due = {
            peer
            for peer in silent
            if now - self._asked_at.get(peer, -math.inf)
            >= _ASK_INTERVAL_SECONDS
        }
        if not due:
            return
        for asked in due:
            self._asked_at[asked] = now
            self._held_requests.ask(asked)
        revision = self.sync.mirror.revision_
        state = replace(self.fleet.build_state(revision), wants_answer=True)
        for told in due:
            peers.send_one_way(told, state)

    def _is_level(self, state: NodeState) -> bool:
        """Return whether a peer has told all that it knows of the store.

        A peer of an earlier era tells what it holds once it has followed.
        A node that has read the store itself needs no later revisions.
        """
        mirror = self.sync.mirror
        revision = self._held_requests.read_revision(state)
        if not revision:
            # The first state of earlier builds leaves the revision out.
            return not state.is_ready
        if state.first_era is None:
            # What it has read from the store comes in full copies, too.
            copied = self.sync.copied_.get(state.address, 0)
            return copied >= state.revision
        if find_era(revision) != mirror.era_:
            return False
        if state.is_answer is None and not self._held_requests.has_replied(
            state.address
        ):
            return False
        return (
            self.sync.read_era_ == mirror.era_ or revision <= mirror.revision_
        )
