"""Shares what the store says between the nodes."""

import logging

from sesameroute.exceptions import PeerError
from sesameroute.mirror import Mirror, MirrorNews, MirrorQuery
from sesameroute.node._fleet import Fleet
from sesameroute.ports import Clock, Peers

__all__ = ['MirrorSync']

_MATTER = 'store-watch'
_STALE_SECONDS = 1.3  # age of what is known at which the next node watches
_STALE_STEP = 0.4  # seconds more for each rank, so that few do at once
_QUERY_SECONDS = 1.0  # for a peer's copy

_logger = logging.getLogger(__name__)


class MirrorSync:
    """Decides who watches the store, and passes news on.

    One node of each region watches; the others hear from it, and take
    over by rank when they hear nothing.

    Parameters
    ----------
    mirror : Mirror
        This node's copy.
    fleet : Fleet
        Says who leads.
    peers : Peers
        Streams to the other nodes.
    clock : Clock
        Source of time.

    """

    def __init__(
        self,
        mirror: Mirror,
        fleet: Fleet,
        peers: Peers,
        clock: Clock,
    ) -> None:
        """Store the parameters."""
        self.mirror = mirror
        self.fleet = fleet
        self.peers = peers
        self.clock = clock

    def is_needed(self) -> bool:
        """Return whether this node should watch the store now."""
        rank = self.fleet.find_rank(_MATTER)
        if rank == 0:
            return True
        age = self.clock.read_monotonic() - self.mirror.fresh_
        return age > _STALE_SECONDS + rank * _STALE_STEP

    def tell(self, news: MirrorNews) -> None:
        """Pass news on to all connected nodes."""
        for peer in self.peers.list_connected():
            self.peers.cast(peer, news)

    def take(self, sender: str, news: MirrorNews) -> None:
        """Take a peer's news; ask for its copy when some are missing."""
        now = self.clock.read_monotonic()
        if not self.mirror.take(news, now):
            self.peers.cast(sender, MirrorQuery(self.mirror.revision_))

    def ask_if_empty(self) -> None:
        """Ask a peer for its copy while nothing is known."""
        if self.mirror.revision_:
            return
        for peer in self.peers.list_connected():
            try:
                copy = self.peers.call(peer, MirrorQuery(0), _QUERY_SECONDS)
            except PeerError as error:
                _logger.info('no copy from peer', extra={'why': error.code})
                continue
            if copy is not None and copy.revision:
                self.mirror.take(copy, self.clock.read_monotonic())
                return
