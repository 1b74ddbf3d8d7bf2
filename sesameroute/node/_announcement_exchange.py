"""Shares what backend servers say of themselves among the nodes."""

import logging
import math
from dataclasses import dataclass

from sesameroute.gossip import Gossip
from sesameroute.ports import Clock, Peers, register_message
from sesameroute.registry import (
    MAX_PAUSE_SECONDS,
    Announcement,
    Registry,
    list_leaving,
)

__all__ = ['AnnouncementExchange', 'AnnouncementReport']

# Recent announcements in one message; the latest come first. Older ones than
# this are not repeated: the server was not used since.
_MAX_RECENT = 64
_MAX_AGE_SECONDS = 60.0
# Servers that leave, in one message, whatever the age of their announcement.
_MAX_LEAVING = 256
# Servers whose last told limit is remembered.
_MAX_TOLD_LIMITS = 1024
# A limit is told at once if it differs by more than this part of the one told
# before; smaller changes are told with the next gossip.
_MIN_CHANGE = 0.1
# A pause that lasts longer by less than this is not told at once.
_MIN_LONGER_SECONDS = 0.25

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ToldAnnouncement:
    """What a backend server last said, as one node tells another.

    Attributes
    ----------
    backend : str
        Name of the backend server.
    incarnation : int
        Its incarnation.
    limit : float or None
        Requests per second from all nodes together; None if it names no
        limit any more.
    seconds_ago : float
        Age of its answer in seconds when the message was sent.
    is_leaving : bool
        Whether it takes no new requests until its end.
    pause : float
        Seconds for which it wanted no requests when the message was sent, as
        the sender has read in an answer.

    """

    backend: str
    incarnation: int
    limit: float | None
    seconds_ago: float
    is_leaving: bool = False
    pause: float = 0


@register_message('named-limits')
@dataclass(frozen=True, slots=True)
class AnnouncementReport:
    """Announcements of backend servers.

    The name of the field is from the time when they only named limits.
    """

    limits: tuple[ToldAnnouncement, ...]


class AnnouncementExchange(Gossip):
    """Tells peers the announcements that this node has read or heard of.

    Parameters
    ----------
    address : str
        Address of this node.
    peers : Peers
        Connections to the other nodes.
    registry : Registry
        Known backend servers and what they last said.
    clock : Clock
        Source of time.

    """

    def __init__(
        self,
        address: str,
        peers: Peers,
        registry: Registry,
        clock: Clock,
    ) -> None:
        """Store the parameters."""
        super().__init__(address, peers)
        self.registry = registry
        self.clock = clock
        self._told_limits: dict[str, float | None] = {}
        self._told_pauses: dict[tuple[str, int], float] = {}

    def build_message(self) -> AnnouncementReport | None:
        """Return the latest announcements, and those of servers that leave."""
        now = self.clock.read_monotonic()
        newest = self.registry.announcements.list_newest()[:_MAX_RECENT]
        recent = [
            each
            for each in newest
            if now - each.said_at <= _MAX_AGE_SECONDS or now < each.paused_until
        ]
        leaving = list_leaving(self.registry)[:_MAX_LEAVING]
        announcements = tuple(
            ToldAnnouncement(
                each.backend,
                each.incarnation,
                each.limit,
                max(now - each.said_at, 0),
                each.is_leaving,
                0 if each.pause_source else max(each.paused_until - now, 0),
            )
            for each in dict.fromkeys((*leaving, *recent))
        )
        return AnnouncementReport(announcements) if announcements else None

    def publish(self, announcement: Announcement) -> None:
        """Log a change; tell all peers if this node has read it first."""
        if announcement.is_leaving:
            _log_change('backend server leaving', announcement)
        elif self._is_new_limit(announcement):
            _log_change(
                'backend server limit changed',
                announcement,
                limit=announcement.limit,
            )
        elif self._is_new_pause(announcement):
            _log_change(
                'backend server paused',
                announcement,
                seconds=announcement.paused_until - self.clock.read_monotonic(),
            )
        else:
            return
        if not announcement.source:
            self.share_with_all()

    def receive(self, report: AnnouncementReport, sender: str) -> None:
        """Record the announcements that are news to this node."""
        now = self.clock.read_monotonic()
        for told in report.limits:
            self.registry.announcements.record(
                Announcement(
                    told.backend,
                    told.incarnation,
                    now - max(told.seconds_ago, 0),
                    told.limit,
                    sender,
                    told.is_leaving,
                    _find_end(told, now),
                    sender,
                )
            )

    def _is_new_limit(self, announcement: Announcement) -> bool:
        """Whether a limit differs enough from the one that was told before."""
        told = self._told_limits.get(announcement.backend)
        if not _differs(told, announcement.limit):
            return False
        if len(self._told_limits) >= _MAX_TOLD_LIMITS:
            self._told_limits.clear()  # costs a repeated message at most
        self._told_limits[announcement.backend] = announcement.limit
        return True

    def _is_new_pause(self, announcement: Announcement) -> bool:
        """Whether a pause ends later than the one that was told before."""
        now = self.clock.read_monotonic()
        server = announcement.backend, announcement.incarnation
        known = max(self._told_pauses.get(server, now), now)
        if announcement.paused_until <= known + _MIN_LONGER_SECONDS:
            return False
        if len(self._told_pauses) >= _MAX_TOLD_LIMITS:
            self._told_pauses.clear()
        self._told_pauses[server] = announcement.paused_until
        return True


def _log_change(
    event: str, announcement: Announcement, **details: float | None
) -> None:
    _logger.info(
        event,
        extra={
            'backend': announcement.backend,
            **details,
            'source': announcement.source or '-',
        },
    )


def _find_end(told: ToldAnnouncement, now: float) -> float:
    """Return the end of a pause that another node has told of."""
    if told.pause <= 0:
        return -math.inf
    return now + min(told.pause, MAX_PAUSE_SECONDS)


def _differs(told: float | None, limit: float | None) -> bool:
    if told is None or limit is None:
        return told is not limit
    return abs(limit - told) > _MIN_CHANGE * told
