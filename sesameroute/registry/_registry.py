"""Known backend servers and evacuated zones."""

import math
import threading
from dataclasses import dataclass

from sesameroute.registry._announcements import Announcement, Announcements
from sesameroute.registry._backend import Backend, BackendState

__all__ = ['RegistryEntry', 'Registry', 'list_leaving']

# After a restore of the store, servers that still exist write their entries
# again within this time.
_REWRITE_SECONDS = 2.2


@dataclass(slots=True)
class RegistryEntry:
    """A backend server with the times that the registry keeps for it.

    Attributes
    ----------
    cold_until : float
        Monotonic time in seconds at which its warm-up ends.
    missing_since : float
        Monotonic time in seconds at which its entry disappeared from the
        store; infinite while the entry exists.
    is_lost : bool
        Whether the store may have lost the entry in a restore.

    """

    backend: Backend
    cold_until: float
    missing_since: float = math.inf
    is_lost: bool = False

    def is_listed(self) -> bool:
        """Whether the backend server has an entry in the store.

        One that was lost in a restore counts until it should be back.
        """
        return self.is_lost or math.isinf(self.missing_since)


class Registry:
    """All known backend servers and the evacuated zones.

    A backend server whose entry disappears from the store stays registered
    for a grace period, because leases can lapse during an outage of the
    store while the backend servers that hold them are healthy.

    Parameters
    ----------
    grace_seconds : float
        How long a backend server without an entry may still be used as a
        last resort.

    Attributes
    ----------
    announcements : Announcements
        What the backend servers say in their answers.
    evacuated : frozenset of str
        Zones whose backend servers get no requests.

    """

    def __init__(self, grace_seconds: float = 1.2) -> None:
        """Start without backend servers and without evacuated zones."""
        self.grace_seconds = grace_seconds
        self._lock = threading.Lock()
        self._entries: dict[str, RegistryEntry] = {}
        self._change_count = 0
        self.evacuated: frozenset[str] = frozenset()
        self.announcements = Announcements()

    def put(self, backend: Backend, now: float) -> bool:
        """Add or update a backend server.

        Returns
        -------
        bool
            Whether this incarnation was unknown.

        """
        with self._lock:
            previous = self._entries.get(backend.name)
            is_new = previous is None or (
                previous.backend.incarnation != backend.incarnation
            )
            cold_until = now + backend.cold_seconds
            if previous is None or previous.backend != backend:
                self._change_count += 1
            if previous is not None and not math.isinf(previous.missing_since):
                self._change_count += 1
            self._entries[backend.name] = RegistryEntry(backend, cold_until)
            return is_new

    def remove(self, name: str, now: float, *, is_lost: bool = False) -> None:
        """Start the grace period of a backend server that lost its entry.

        Parameters
        ----------
        name : str
            Name of the backend server.
        now : float
            Monotonic time in seconds.
        is_lost : bool, optional
            Whether the store may have lost the entry in a restore. The server
            is then used as before until its entry should be back.

        """
        with self._lock:
            entry = self._entries.get(name)
            if entry is None:
                return
            if math.isinf(entry.missing_since) or (is_lost and entry.is_lost):
                entry.missing_since = now
                entry.is_lost = is_lost
                self._change_count += 1

    def expire(self, now: float) -> list[str]:
        """Remove backend servers whose grace period has ended.

        Returns
        -------
        list of str
            Names of the removed backend servers.

        """
        with self._lock:
            expired = [
                name
                for name, entry in self._entries.items()
                if now - entry.missing_since >= self._find_grace(entry)
            ]
            for name in expired:
                self._entries.pop(name)
                self._change_count += 1
        return expired

    def replace_evacuated(self, zones: frozenset[str]) -> None:
        """Replace the set of evacuated zones."""
        self.evacuated = zones
        self._change_count += 1

    @property
    def change_count_(self) -> int:
        """Counter that increases with each change of usable servers."""
        return self._change_count + self.announcements.leaving_count_

    def find(self, name: str) -> RegistryEntry | None:
        """Return the entry of a backend server, or None if it is unknown."""
        return self._entries.get(name)

    def may_receive_requests(self, name: str, incarnation: int) -> bool:
        """Whether requests may be sent to this incarnation now.

        As far as this node knows, it must be the latest incarnation, be
        ready, not have said that it leaves, and be outside the evacuated
        zones.
        """
        entry = self._entries.get(name)
        if entry is None or entry.backend.incarnation != incarnation:
            return False
        return (
            entry.backend.state is BackendState.READY
            and entry.backend.zone not in self.evacuated
            and not self.announcements.is_leaving(name, incarnation)
        )

    def list_service(self, service: str) -> list[RegistryEntry]:
        """Return the backend servers of a service that may get requests."""
        return [
            entry
            for entry in self.list_ready()
            if entry.backend.service == service
        ]

    def list_ready(self) -> list[RegistryEntry]:
        """Return all backend servers that may get requests."""
        with self._lock:
            return [
                entry
                for entry in self._entries.values()
                if self.may_receive_requests(
                    entry.backend.name, entry.backend.incarnation
                )
            ]

    def __len__(self) -> int:
        """Return the number of known backend servers."""
        return len(self._entries)

    def _find_grace(self, entry: RegistryEntry) -> float:
        return _REWRITE_SECONDS if entry.is_lost else self.grace_seconds


def list_leaving(registry: Registry) -> list[Announcement]:
    """Return what known backend servers said that leave, the latest first."""
    return [
        each
        for each in registry.announcements.list_newest()
        if each.is_leaving
        and (entry := registry.find(each.backend)) is not None
        and entry.backend.incarnation == each.incarnation
    ]
