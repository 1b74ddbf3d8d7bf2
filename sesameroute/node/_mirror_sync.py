"""Distributes changes of the store among the nodes."""

import logging
import math

from sesameroute.exceptions import PeerError
from sesameroute.gossip import Gossip, broadcast
from sesameroute.mirror import (
    HeldItems,
    Mirror,
    MirrorCopyRequest,
    MirrorUpdate,
    find_era,
    find_later_documents,
)
from sesameroute.node._era_translation import EraTranslation
from sesameroute.node._fleet import Fleet, NodeState
from sesameroute.ports import Clock, Peers

__all__ = ['MirrorSync']

_LEADER_TOPIC = 'store-watch'
# A node that is not the leader watches the store once the last update of a
# peer is older than this, plus a step per rank, so that only a few nodes begin
# at once.
_STALE_SECONDS = 1.3
_STALE_STEP_SECONDS = 0.4
# A node counts as reading the store for this time after it has read it; longer
# than the interval between two updates without a change.
_READING_SECONDS = 2.0
_REQUEST_INTERVAL_SECONDS = 1.0  # between requests for a copy
_QUERY_TIMEOUT_SECONDS = 1.0  # time-out for a peer's copy

_logger = logging.getLogger(__name__)


class MirrorSync(Gossip):
    """Decides which node watches the store and sends updates to peers.

    One node per region watches the store and sends the updates to the others.
    If no updates arrive, the others begin to watch in the order of their rank,
    and go on until a node before them reads the store.

    After the store was restored from a copy, the gossip is about what nodes
    hold: one that has started since learns of it in this way only.

    Parameters
    ----------
    mirror : Mirror
        This node's copy of the store.
    fleet : Fleet
        Ranks the nodes.
    peers : Peers
        Connections to the other nodes.
    clock : Clock
        Source of time.
    eras : EraTranslation
        Translates for peers of builds that know no eras.

    Attributes
    ----------
    read_era_ : int
        Last era in which this node has read the store itself; -1 if it has
        not since it started.
    is_starting_ : bool
        Whether this node still compares what it knows with its peers.
    copied_ : dict of str to int
        Highest revision of the full copies that peers have sent, as they
        number them.

    """

    def __init__(
        self,
        mirror: Mirror,
        fleet: Fleet,
        peers: Peers,
        clock: Clock,
        eras: EraTranslation,
    ) -> None:
        """Store the parameters."""
        super().__init__(fleet.own_state.address, peers)
        self.mirror = mirror
        self.fleet = fleet
        self.clock = clock
        self.eras = eras
        self.read_era_ = -1
        self.is_starting_ = True
        self.copied_: dict[str, int] = {}
        self._requested_at = -math.inf
        self._heard_at = -math.inf
        self._read_at = -math.inf

    def should_watch(self) -> bool:
        """Return whether this node should watch the store now."""
        rank = self.fleet.find_rank(_LEADER_TOPIC)
        if rank == 0:
            return True
        # What this node reads itself is no reason to stop: each pause would
        # delay changes. Of two nodes that read, the later one stops.
        age = self.clock.read_monotonic() - self._heard_at
        return age > _STALE_SECONDS + rank * _STALE_STEP_SECONDS

    def broadcast(self, update: MirrorUpdate) -> None:
        """Send an update that this node has read to all connected nodes."""
        self._read_at = self.clock.read_monotonic()
        self.read_era_ = self.mirror.era_
        held = self.mirror.list_held()
        for peer in self.peers.list_connected():
            encoded = self.eras.encode(peer, update, held.held)
            self.peers.send_one_way(peer, encoded)
        if update.base == 0:
            broadcast(self.peers, self.vm, held)

    def receive(self, sender: str, update: MirrorUpdate) -> None:
        """Apply a peer's update; query its full copy if updates are missing."""
        now = self.clock.read_monotonic()
        if update.has_held:
            # Sent before the peer knew that this build knows eras: what it
            # holds would count as written by the store.
            self._request_copy(sender)
            return
        if update.base == 0:
            copied = self.copied_.get(sender, 0)
            self.copied_[sender] = max(copied, update.revision)
            if self._has_unknown_era(sender, now):
                later = find_later_documents(self.mirror, update)
                self.receive_held(sender, later)
                return
        decoded = self.eras.decode(sender, update, self.mirror.revision_)
        era = self.mirror.era_
        with self.mirror.source_.told_by(sender):
            is_applied = self.mirror.apply(decoded, now)
        if not is_applied:
            self._request_copy(sender)
            return
        if self.mirror.era_ != era:
            # The sender may have started after the restore and know nothing
            # of what this node holds now.
            broadcast(self.peers, self.vm, self.mirror.list_held())
        is_current = decoded.revision >= self.mirror.revision_
        if is_current and self._yields_to(sender, now):
            self._heard_at = max(self._heard_at, now - update.age)

    def receive_held(self, sender: str, message: HeldItems) -> None:
        """Hold what a peer holds; tell it what it does not know yet."""
        with self.mirror.source_.told_by(sender):
            later = self.mirror.merge_held(message)
        if later is not None:
            self.peers.send_one_way(sender, later)

    def build_message(self) -> HeldItems | None:
        """Return the items that this node holds, None if there are none."""
        message = self.mirror.list_held()
        return message if message.held else None

    def compare(self, sender: str, state: NodeState) -> None:
        """Query the copy of a peer that knows more, if no updates come.

        While the store is down, nobody sends updates. A node that was cut off
        before hears of what it missed in this way only.
        """
        self.eras.observe_peer(sender, state.first_era)
        revision = self.eras.decode_revision(
            sender, state.revision, self.mirror.revision_
        )
        age = self.clock.read_monotonic() - self.mirror.verified_at_
        is_behind = revision > self.mirror.revision_
        is_era_over = find_era(revision) > self.mirror.era_
        has_read = self.read_era_ == self.mirror.era_
        is_first = self.is_starting_ and not has_read
        is_stale = is_first or age > _STALE_SECONDS
        if is_era_over or (is_behind and is_stale):
            self._request_copy(sender)

    def answer(
        self, sender: str, request: MirrorCopyRequest
    ) -> MirrorUpdate | None:
        """Return the full copy, or send it to a peer that has an older one.

        What this node holds comes before, so that nothing older is in force
        at the peer meanwhile.
        """
        held = self.mirror.list_held()
        self.peers.send_one_way(sender, held)
        revision = self.mirror.revision_
        known = self.eras.decode_revision(sender, request.revision, revision)
        if known >= revision and known:
            return None
        copy = self.mirror.build_full_copy(self.clock.read_monotonic())
        encoded = self.eras.encode(sender, copy, held.held)
        if not known:
            return encoded
        self.peers.send_one_way(sender, encoded)
        return None

    def fetch_if_empty(self) -> None:
        """Fetch the copy of a peer if this node has none."""
        if self.mirror.revision_:
            return
        for peer in self.peers.list_connected():
            copy = _call_for_copy(self.peers, peer)
            if copy is None or not copy.revision:
                continue
            self.receive(peer, copy)
            if not copy.has_held:
                return

    def _has_unknown_era(self, peer: str, now: float) -> bool:
        """Whether a peer's copy can't be ordered by its revisions.

        A build without eras keeps the copy of an earlier one for a while. A
        node that starts and has an up-to-date replica need not guess.
        """
        is_current = now - self.mirror.verified_at_ < _READING_SECONDS
        return self.is_starting_ and is_current and not self.eras.has_eras(peer)

    def _yields_to(self, peer: str, now: float) -> bool:
        if now - self._read_at >= _READING_SECONDS:
            return True
        own_rank = self.fleet.find_rank(_LEADER_TOPIC)
        return self.fleet.find_rank(_LEADER_TOPIC, peer) < own_rank

    def _request_copy(self, peer: str) -> None:
        now = self.clock.read_monotonic()
        if now - self._requested_at >= _REQUEST_INTERVAL_SECONDS:
            self._requested_at = now
            # Without a revision, the copy would come as a reply to a call.
            known = max(self.mirror.revision_, 1)
            revision = self.eras.encode_revision(peer, known)
            self.peers.send_one_way(peer, MirrorCopyRequest(revision))


def _call_for_copy(peers: Peers, vm: str) -> MirrorUpdate | None:
    """Return a peer's copy, or None if it has none or does not reply."""
    try:
        return peers.call(vm, MirrorCopyRequest(0), _QUERY_TIMEOUT_SECONDS)
    except PeerError as error:
        _logger.info(
            'store copy not received from peer', extra={'why': error.code}
        )
    return None
