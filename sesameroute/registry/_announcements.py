"""What backend servers say of themselves in their answers."""

import math
import threading
from collections.abc import Callable
from dataclasses import dataclass, replace

__all__ = ['MAX_PAUSE_SECONDS', 'Announcement', 'Announcements']

# Longest time that a server gets no requests because it said so once.
MAX_PAUSE_SECONDS = 600.0

# Words of servers that the registry no longer lists are kept up to this many.
_MAX_ANNOUNCEMENTS = 4096


@dataclass(frozen=True, slots=True)
class Announcement:
    """What one incarnation of a backend server last said.

    Attributes
    ----------
    backend : str
        Name of the backend server.
    incarnation : int
        Its incarnation, see `Backend`.
    said_at : float
        Monotonic time in seconds at which a node read the answer.
    limit : float or None
        Requests per second that it takes from all nodes together; None if it
        names no limit.
    source : str
        Address of the node that told of it; empty for this node.
    is_leaving : bool
        Whether it takes no new requests until its end.
    paused_until : float
        Monotonic time in seconds until which it wants no requests.
    pause_source : str
        Address of the node that told of the pause; empty for this node.

    """

    backend: str
    incarnation: int
    said_at: float
    limit: float | None = None
    source: str = ''
    is_leaving: bool = False
    paused_until: float = -math.inf
    pause_source: str = ''


class Announcements:
    """The newest announcement of each backend server.

    A later incarnation replaces an earlier one; for the same incarnation, the
    later answer counts, whoever read it. The first that says that the server
    leaves is the last that counts: answers that were under way don't
    withdraw it. A pause lasts to the latest end that the server has named,
    whatever it answers meanwhile.

    Attributes
    ----------
    change_count_ : int
        Counter that increases when a limit is named, changed or withdrawn,
        or a pause begins or lasts longer.
    leaving_count_ : int
        Counter that increases when a backend server says that it leaves.
    listener_ : callable
        Called with each announcement that changed something.

    """

    def __init__(self) -> None:
        """Start without announcements."""
        self.change_count_ = 0
        self.leaving_count_ = 0
        self.listener_: Callable[[Announcement], None] = _ignore_change
        self._lock = threading.Lock()
        self._newest: dict[str, Announcement] = {}

    def record(self, announcement: Announcement) -> bool:
        """Record an announcement; return whether it changes something."""
        with self._lock:
            known = self._newest.get(announcement.backend)
            is_news = _is_news(known, announcement)
            longer = _compute_longer(known, announcement)
            if not is_news and longer <= 0:
                return False
            kept = _merge(known, announcement, is_news=is_news)
            self._store(kept)
            has_new_limit = _find_limit(known, kept.incarnation) != kept.limit
            is_leaving = is_news and kept.is_leaving
            self.change_count_ += has_new_limit or longer > 0
            self.leaving_count_ += is_leaving
        has_changed = has_new_limit or is_leaving or longer > 0
        if has_changed:
            self.listener_(replace(kept, source=announcement.source))
        return has_changed

    def find_limit(self, backend: str, incarnation: int) -> float | None:
        """Return the limit in requests per second; None if there is none."""
        return _find_limit(self._newest.get(backend), incarnation)

    def is_leaving(self, backend: str, incarnation: int) -> bool:
        """Whether this incarnation has said that it leaves."""
        known = self._newest.get(backend)
        return (
            known is not None
            and known.is_leaving
            and known.incarnation == incarnation
        )

    def find_pause_end(self, backend: str, incarnation: int) -> float:
        """Return the end of this incarnation's pause; past if there is none."""
        return _find_pause_end(self._newest.get(backend), incarnation)

    @property
    def has_any(self) -> bool:
        """Whether any backend server has said something of itself."""
        return bool(self._newest)

    def list_newest(self) -> list[Announcement]:
        """Return the announcements, the latest first."""
        with self._lock:
            return sorted(
                self._newest.values(),
                key=lambda each: each.said_at,
                reverse=True,
            )

    def _store(self, announcement: Announcement) -> None:
        """Replace the announcement of a server; forget the oldest if needed.

        That a server leaves is forgotten last: it doesn't say it again, since
        it gets no requests.
        """
        self._newest.pop(announcement.backend, None)
        self._newest[announcement.backend] = announcement
        if len(self._newest) > _MAX_ANNOUNCEMENTS:
            others = (
                name
                for name, each in self._newest.items()
                if not each.is_leaving
            )
            oldest = next(iter(self._newest))
            self._newest.pop(next(others, oldest))


def _is_news(known: Announcement | None, announcement: Announcement) -> bool:
    """Whether to record an announcement.

    Most answers say nothing; without a limit, they are news only of a server
    that had named one.
    """
    if known is None or known.incarnation < announcement.incarnation:
        return announcement.limit is not None or announcement.is_leaving
    if known.incarnation > announcement.incarnation or known.is_leaving:
        return False
    if announcement.is_leaving:
        return True
    is_silent = known.limit is None and announcement.limit is None
    return announcement.said_at > known.said_at and not is_silent


def _find_limit(known: Announcement | None, incarnation: int) -> float | None:
    if known is None or known.incarnation != incarnation:
        return None
    return known.limit


def _find_pause_end(known: Announcement | None, incarnation: int) -> float:
    if known is None or known.incarnation != incarnation:
        return -math.inf
    return known.paused_until


def _compute_longer(
    known: Announcement | None, announcement: Announcement
) -> float:
    """Return by how many seconds an announcement makes a pause longer."""
    if announcement.paused_until <= announcement.said_at:
        return 0
    if known is not None and known.incarnation > announcement.incarnation:
        return 0
    return announcement.paused_until - _find_pause_end(
        known, announcement.incarnation
    )


def _merge(
    known: Announcement | None, announcement: Announcement, *, is_news: bool
) -> Announcement:
    """Return what to keep: the newest word, and the latest end of a pause."""
    if known is None or known.incarnation != announcement.incarnation:
        return announcement
    last = max(known, announcement, key=lambda each: each.paused_until)
    return replace(
        announcement if is_news else known,
        paused_until=last.paused_until,
        pause_source=last.pause_source,
    )


def _ignore_change(_announcement: Announcement) -> None:
    """Ignore a change; the default listener."""
