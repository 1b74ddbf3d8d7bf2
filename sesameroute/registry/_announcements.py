"""What backend servers say of themselves in their answers."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ['Announcement', 'Announcements']

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

    """

    backend: str
    incarnation: int
    said_at: float
    limit: float | None = None
    source: str = ''


class Announcements:
    """The newest announcement of each backend server.

    A later incarnation replaces an earlier one; for the same incarnation, the
    later answer counts, whoever read it.

    Attributes
    ----------
    change_count_ : int
        Counter that increases when a limit is named, changed or withdrawn.
    listener_ : callable
        Called with each announcement that changed something.

    """

    def __init__(self) -> None:
        """Start without announcements."""
        self.change_count_ = 0
        self.listener_: Callable[[Announcement], None] = _ignore_change
        self._lock = threading.Lock()
        self._newest: dict[str, Announcement] = {}

    def record(self, announcement: Announcement) -> bool:
        """Record an announcement; return whether the limit has changed."""
        with self._lock:
            known = self._newest.get(announcement.backend)
            if not _is_news(known, announcement):
                return False
            self._newest.pop(announcement.backend, None)
            self._newest[announcement.backend] = announcement
            if len(self._newest) > _MAX_ANNOUNCEMENTS:
                self._newest.pop(next(iter(self._newest)))
            has_changed = _find_limit(known, announcement.incarnation) != (
                announcement.limit
            )
            self.change_count_ += has_changed
        if has_changed:
            self.listener_(announcement)
        return has_changed

    def find_limit(self, backend: str, incarnation: int) -> float | None:
        """Return the limit in requests per second; None if there is none."""
        return _find_limit(self._newest.get(backend), incarnation)

    @property
    def has_any(self) -> bool:
        """Whether any backend server has named a limit."""
        return bool(self._newest)

    def list_newest(self) -> list[Announcement]:
        """Return the announcements, the latest first."""
        with self._lock:
            return sorted(
                self._newest.values(),
                key=lambda each: each.said_at,
                reverse=True,
            )


def _is_news(known: Announcement | None, announcement: Announcement) -> bool:
    """Whether to record an announcement.

    Most answers name no limit; they say something only of a server that had
    named one.
    """
    if known is None or known.incarnation < announcement.incarnation:
        return announcement.limit is not None
    if known.incarnation > announcement.incarnation:
        return False
    is_silent = known.limit is None and announcement.limit is None
    return announcement.said_at > known.said_at and not is_silent


def _find_limit(known: Announcement | None, incarnation: int) -> float | None:
    if known is None or known.incarnation != incarnation:
        return None
    return known.limit


def _ignore_change(_announcement: Announcement) -> None:
    """Ignore a change; the default listener."""
