"""Shares the limits that backend servers name among the nodes."""

import logging
from dataclasses import dataclass

from sesameroute.gossip import Gossip
from sesameroute.ports import Clock, Peers, register_message
from sesameroute.registry import Announcement, Announcements

__all__ = ['LimitExchange', 'LimitReport']

# Announcements in one message; the latest come first. Older ones than this
# are not repeated: the server was not used since.
_MAX_ANNOUNCEMENTS = 64
_MAX_AGE_SECONDS = 60.0
# Servers whose last told limit is remembered.
_MAX_TOLD_LIMITS = 1024
# A limit is told at once if it differs by more than this part of the one told
# before; smaller changes are told with the next gossip.
_MIN_CHANGE = 0.1

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """The limit that a backend server last named.

    Attributes
    ----------
    backend : str
        Name of the backend server.
    incarnation : int
        Its incarnation.
    limit : float or None
        Requests per second from all nodes together; None if it has withdrawn
        its limit.
    seconds_ago : float
        Age of its answer in seconds when the message was sent.

    """

    backend: str
    incarnation: int
    limit: float | None
    seconds_ago: float


@register_message('named-limits')
@dataclass(frozen=True, slots=True)
class LimitReport:
    """Limits that backend servers have named, changed or withdrawn."""

    limits: tuple[NamedLimit, ...]


class LimitExchange(Gossip):
    """Tells peers the limits that this node has read or heard of.

    Parameters
    ----------
    address : str
        Address of this node.
    peers : Peers
        Connections to the other nodes.
    announcements : Announcements
        What the backend servers last said.
    clock : Clock
        Source of time.

    """

    def __init__(
        self,
        address: str,
        peers: Peers,
        announcements: Announcements,
        clock: Clock,
    ) -> None:
        """Store the parameters."""
        super().__init__(address, peers)
        self.announcements = announcements
        self.clock = clock
        self._told_limits: dict[str, float | None] = {}

    def build_message(self) -> LimitReport | None:
        """Return the latest announcements."""
        now = self.clock.read_monotonic()
        newest = self.announcements.list_newest()[:_MAX_ANNOUNCEMENTS]
        limits = tuple(
            NamedLimit(
                each.backend,
                each.incarnation,
                each.limit,
                max(now - each.said_at, 0),
            )
            for each in newest
            if now - each.said_at <= _MAX_AGE_SECONDS
        )
        return LimitReport(limits) if limits else None

    def publish(self, announcement: Announcement) -> None:
        """Log a change; tell all peers if this node has read it first."""
        told = self._told_limits.get(announcement.backend)
        if not _differs(told, announcement.limit):
            return
        if len(self._told_limits) >= _MAX_TOLD_LIMITS:
            self._told_limits.clear()  # costs a repeated message at most
        self._told_limits[announcement.backend] = announcement.limit
        _logger.info(
            'backend server limit changed',
            extra={
                'backend': announcement.backend,
                'limit': announcement.limit,
                'source': announcement.source or '-',
            },
        )
        if not announcement.source:
            self.share_with_all()

    def receive(self, report: LimitReport, sender: str) -> None:
        """Record the announcements that are news to this node."""
        now = self.clock.read_monotonic()
        for named in report.limits:
            self.announcements.record(
                Announcement(
                    named.backend,
                    named.incarnation,
                    now - max(named.seconds_ago, 0),
                    named.limit,
                    sender,
                )
            )


def _differs(told: float | None, limit: float | None) -> bool:
    if told is None or limit is None:
        return told is not limit
    return abs(limit - told) > _MIN_CHANGE * told
