"""Known backend servers and evacuated zones."""

import math
import threading
from dataclasses import dataclass

from sesameroute.registry._announcements import Announcements
from sesameroute.registry._backend import Backend, BackendState

__all__ = ['RegistryEntry', 'Registry']

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
    change_count_ : int
        Counter that increases with each change.
    announcements : Announcements
        What the backend servers say in their answers.

    """

    def __init__(self, grace_seconds: float = 1.2) -> None:
        """Start without backend servers and without evacuated zones."""
        self.grace_seconds = grace_seconds
        self._lock = threading.Lock()
        self._entries: dict[str, RegistryEntry] = {}
        self._evacuated: frozenset[str] = frozenset()
        self.change_count_ = 0
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
                self.change_count_ += 1
            if previous is not None and not math.isinf(previous.missing_since):
                self.change_count_ += 1
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
                self.change_count_ += 1

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
                self.change_count_ += 1
        return expired

    def replace_evacuated(self, zones: frozenset[str]) -> None:
        """Replace the set of evacuated zones."""
        self._evacuated = zones
        self.change_count_ += 1

    @property
    def evacuated(self) -> frozenset[str]:
        """Zones whose backend servers get no requests."""
        return self._evacuated

    def find(self, name: str) -> RegistryEntry | None:
        """Return the entry of a backend server, or None if it is unknown."""
        return self._entries.get(name)

    def may_receive_requests(self, name: str, incarnation: int) -> bool:
        """Whether requests may be sent to this incarnation now.

        As far as this node knows, it must be the latest incarnation, be
        ready and be outside the evacuated zones.
        """
        entry = self._entries.get(name)
        return (
            entry is not None
            and entry.backend.incarnation == incarnation
            and entry.backend.state is BackendState.READY
            and entry.backend.zone not in self._evacuated
        )

    def list_service(self, service: str) -> list[RegistryEntry]:
        """Return a service's ready backend servers outside evacuated zones."""
        return [
            entry
            for entry in self.list_ready()
            if entry.backend.service == service
        ]

    def list_ready(self) -> list[RegistryEntry]:
        """Return all ready backend servers outside evacuated zones."""
        with self._lock:
            return [
                entry
                for entry in self._entries.values()
                if entry.backend.state is BackendState.READY
                and entry.backend.zone not in self._evacuated
            ]

    def __len__(self) -> int:
        """Return the number of known backend servers."""
        return len(self._entries)

    def _find_grace(self, entry: RegistryEntry) -> float:
        return _REWRITE_SECONDS if entry.is_lost else self.grace_seconds
