"""Backend servers that come and go, and zones under evacuation."""

import math
import threading
from dataclasses import dataclass

from sesameroute.registry._backend import Backend, BackendState

__all__ = ['Entry', 'Registry']


@dataclass(slots=True)
class Entry:
    """A backend server and what the registry's history says of it.

    Attributes
    ----------
    cold_until : float
        Monotonic time in seconds at which it stops being cold.
    missing_since : float
        Monotonic time at which its entry vanished; infinite while listed.

    """

    backend: Backend
    cold_until: float
    missing_since: float = math.inf

    def is_listed(self) -> bool:
        """Whether the platform lists it now."""
        return math.isinf(self.missing_since)


class Registry:
    """What is known of all backend servers.

    A vanished entry is kept in doubt for a short time: leases can lapse in
    an outage of the store while their holders are well.

    Parameters
    ----------
    doubt_seconds : float
        How long a vanished backend server may serve as a last resort.

    Attributes
    ----------
    changes_ : int
        Grows with each change.

    """

    def __init__(self, doubt_seconds: float = 1.2) -> None:
        """Start empty."""
        self.doubt_seconds = doubt_seconds
        self._lock = threading.Lock()
        self._entries: dict[str, Entry] = {}
        self._evacuated: frozenset[str] = frozenset()
        self.changes_ = 0

    def put(self, backend: Backend, now: float) -> bool:
        """Add or renew a backend server; return whether it is a new start."""
        with self._lock:
            known = self._entries.get(backend.name)
            is_new = known is None or (
                known.backend.incarnation != backend.incarnation
            )
            cold_until = now + backend.cold_seconds
            if known is None or known.backend != backend:
                self.changes_ += 1
            if known is not None and not known.is_listed():
                self.changes_ += 1
            self._entries[backend.name] = Entry(backend, cold_until)
            return is_new

    def remove(self, name: str, now: float) -> None:
        """Put a backend server whose entry vanished in doubt."""
        with self._lock:
            entry = self._entries.get(name)
            if entry is not None and entry.is_listed():
                entry.missing_since = now
                self.changes_ += 1

    def expire(self, now: float) -> list[str]:
        """Forget what has been in doubt too long; return the names."""
        with self._lock:
            gone = [
                name
                for name, entry in self._entries.items()
                if now - entry.missing_since >= self.doubt_seconds
            ]
            for name in gone:
                self._entries.pop(name)
                self.changes_ += 1
        return gone

    def replace_evacuated(self, zones: frozenset[str]) -> None:
        """Replace the zones that get nothing."""
        self._evacuated = zones
        self.changes_ += 1

    @property
    def evacuated(self) -> frozenset[str]:
        """Zones that get nothing."""
        return self._evacuated

    def find(self, name: str) -> Entry | None:
        """Return a backend server's entry, or None."""
        return self._entries.get(name)

    def permits(self, name: str, incarnation: int) -> bool:
        """Whether a request may go there now, as far as this node knows."""
        entry = self._entries.get(name)
        return (
            entry is not None
            and entry.backend.incarnation == incarnation
            and entry.backend.state is BackendState.READY
            and entry.backend.zone not in self._evacuated
        )

    def list_service(self, service: str) -> list[Entry]:
        """Return ready backend servers outside evacuated zones."""
        with self._lock:
            return [
                entry
                for entry in self._entries.values()
                if entry.backend.service == service
                and entry.backend.state is BackendState.READY
                and entry.backend.zone not in self._evacuated
            ]

    def __len__(self) -> int:
        """Return how many backend servers are known."""
        return len(self._entries)
