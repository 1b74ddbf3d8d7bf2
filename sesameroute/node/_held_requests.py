"""Asks peers for what they hold since the store was restored."""

from sesameroute.mirror import (
    MAX_REVISION,
    MirrorCopyRequest,
    Position,
    find_era,
)
from sesameroute.node._fleet import NodeState
from sesameroute.node._mirror_sync import MirrorSync
from sesameroute.ports import Clock

__all__ = ['HeldRequests']

_REPLY_SECONDS = 0.3  # a peer in reach replies within this time


class HeldRequests:
    """Asks each peer once it is in the era of this node's replica.

    Earlier builds do not tell by themselves what they hold from then on.

    Parameters
    ----------
    sync : MirrorSync
        Holds the replica and the connections.
    clock : Clock
        Source of time.

    """

    def __init__(self, sync: MirrorSync, clock: Clock) -> None:
        """Start without peers."""
        self.sync = sync
        self.clock = clock
        self._asked: dict[str, tuple[int, float]] = {}

    def ask(self, peer: str) -> None:
        """Ask a peer for what it holds, and for its copy of a later era."""
        if not self.sync.mirror.revision_:
            return
        # A peer without eras holds nothing, but its copy may be of an earlier
        # era.
        known = 1
        if self.sync.eras.has_eras(peer):
            known = Position(self.sync.mirror.era_, MAX_REVISION).pack()
        self.sync.peers.send_one_way(peer, MirrorCopyRequest(known))

    def follow(self, state: NodeState) -> None:
        """Ask a peer whose state is the first one in this node's era."""
        era = self.sync.mirror.era_
        is_asked = self._asked.get(state.address, (-1, 0))[0] == era
        is_same_era = find_era(self.read_revision(state)) == era
        has_eras = self.sync.eras.has_eras(state.address)
        if is_same_era and has_eras and not is_asked:
            now = self.clock.read_monotonic()
            self._asked[state.address] = era, now
            self.ask(state.address)

    def has_replied(self, peer: str) -> bool:
        """Return whether a peer had time to reply since `follow` asked it."""
        era, asked_at = self._asked.get(peer, (-1, 0))
        age = self.clock.read_monotonic() - asked_at
        return era == self.sync.mirror.era_ and age >= _REPLY_SECONDS

    def read_revision(self, state: NodeState) -> int:
        """Return the revision in a peer's state as a packed position."""
        return self.sync.eras.decode_revision(
            state.address, state.revision, self.sync.mirror.revision_
        )
