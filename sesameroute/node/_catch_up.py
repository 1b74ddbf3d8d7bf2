"""Lets a node that starts learn what its peers know before it serves.

What a starting node reads first may be outdated: a store that was restored
from a copy lacks the newest changes, and a peer may be cut off. The other
nodes know them, so that the node asks all that it can reach.
"""

import logging
import math
import threading
from collections.abc import Callable
from dataclasses import replace

from sesameroute.mirror import (
    MAX_REVISION,
    MirrorCopyRequest,
    Position,
    find_era,
)
from sesameroute.node._fleet import Fleet, NodeState
from sesameroute.node._mirror_sync import MirrorSync
from sesameroute.ports import Clock
from sesameroute.routes import ActiveConfiguration
from sesameroute.telemetry import survive

__all__ = ['CatchUp']

# A peer in reach answers within this time after the start of the node.
_MAX_SECONDS = 1.0
_MILLISECONDS = 1000
_STEP_INTERVAL_SECONDS = 0.02
_ASK_INTERVAL_SECONDS = 0.3  # between two questions to the same peer

_logger = logging.getLogger(__name__)


class CatchUp:
    """Compares a starting node with its peers before it is ready.

    Requests that reach the node are served as soon as a ready peer has told
    what it knows. The node is ready, and its directory names nodes, once all
    nodes that it has heard of have answered or are known to be down.

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
        self._asked_at: dict[str, float] = {}
        self._answers: dict[str, NodeState] = {}
        self._heard: dict[str, NodeState] = {}

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

        Earlier builds send no answers; any state of theirs counts.
        """
        if state.is_answer is not False and not self.is_complete_:
            self._answers[state.address] = state

    def step(self, on_complete: Callable[[], None]) -> None:
        """Ask the peers that have not answered yet, and decide."""
        now = self.clock.read_monotonic()
        # What a peer tells may arrive in several messages, its state first.
        # It counts from the next step on.
        heard = self._heard
        self._heard = self._list_level()
        awaited = self._list_awaited(heard)
        self._ask(awaited, now)
        is_time_up = now - self._started_at >= _MAX_SECONDS
        has_all = is_time_up or not awaited
        has_told = any(state.is_ready for state in heard.values())
        has_told = has_told and not self._is_behind()
        if self.active_configuration.is_known and (has_all or has_told):
            self.active_configuration.release()
            self.is_complete_ = has_all
        if self.is_complete_:
            self.sync.is_starting_ = False
            on_complete()
            _logger.info(
                'node caught up',
                extra={
                    'after_ms': round(_MILLISECONDS * (now - self._started_at)),
                    'peers': len(heard),
                    'awaited': ','.join(sorted(awaited)) or '-',
                    'version': self.active_configuration.version,
                },
            )

    def _list_level(self) -> dict[str, NodeState]:
        """Return the answers of the peers that know nothing more."""
        return {
            state.address: state
            for state in self._list_answers()
            if self._is_level(state)
        }

    def _list_answers(self) -> list[NodeState]:
        connected = set(self.fleet.peers.list_connected())
        return [
            state
            for state in tuple(self._answers.values())
            if state.address in connected
        ]

    def _is_behind(self) -> bool:
        """Return whether a peer has a later copy that has not come yet."""
        return any(
            self._read_revision(state) > self.sync.mirror.revision_
            for state in self._list_answers()
            if not self._is_level(state)
        )

    def _list_awaited(self, heard: dict[str, NodeState]) -> set[str]:
        """Return the addresses of nodes that may still tell something."""
        peers = self.fleet.peers
        addresses = {
            *self.fleet.list_dial_addresses(),
            *peers.list_connected(),
        }
        down = {
            address
            for address, refused_at in peers.list_refused_dials().items()
            if refused_at >= self._started_at
        }
        down.difference_update(peers.list_connected())
        return addresses - heard.keys() - down

    def _ask(self, awaited: set[str], now: float) -> None:
        peers = self.fleet.peers
        due = {
            peer
            for peer in awaited.intersection(peers.list_connected())
            if now - self._asked_at.get(peer, -math.inf)
            >= _ASK_INTERVAL_SECONDS
        }
        if not due:
            return
        revision = self.sync.mirror.revision_
        state = replace(self.fleet.build_state(revision), wants_answer=True)
        for asked in due:
            self._asked_at[asked] = now
            self._ask_for_held(asked)
            peers.send_one_way(asked, state)

    def _ask_for_held(self, peer: str) -> None:
        """Ask a peer for what it holds, and for its copy of a later era."""
        if not self.sync.mirror.revision_:
            return
        # A peer without eras holds nothing, but its copy may be of an earlier
        # era.
        known = 1
        if self.sync.eras.has_eras(peer):
            known = Position(self.sync.mirror.era_, MAX_REVISION).pack()
        self.fleet.peers.send_one_way(peer, MirrorCopyRequest(known))

    def _is_level(self, state: NodeState) -> bool:
        """Return whether a peer has told all that it knows of the store.

        A peer of an earlier era tells what it holds once it has followed.
        A node that has read the store itself needs no later revisions.
        """
        mirror = self.sync.mirror
        revision = self._read_revision(state)
        if not revision:
            # The first state of earlier builds leaves the revision out.
            return not state.is_ready
        if state.first_era is None:
            # What it has read from the store comes in full copies, too.
            copied = self.sync.copied_.get(state.address, 0)
            return copied >= state.revision
        is_same_era = find_era(revision) == mirror.era_
        return is_same_era and (
            self.sync.has_read_ or revision <= mirror.revision_
        )

    def _read_revision(self, state: NodeState) -> int:
        return self.sync.eras.decode_revision(
            state.address, state.revision, self.sync.mirror.revision_
        )
