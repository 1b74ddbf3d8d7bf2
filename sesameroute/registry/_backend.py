"""A backend server as described by its own entry in the platform's store."""

from dataclasses import dataclass
from enum import StrEnum, unique

__all__ = ['Backend', 'BackendState']


@unique
class BackendState(StrEnum):
    """State that a backend server reports for itself."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(frozen=True, slots=True)
class Backend:
    """One incarnation of a backend server, from its start to its end.

    Attributes
    ----------
    slots : int
        Number of requests that it runs at the same time.
    cold_seconds : float
        Remaining warm-up time after its start, as of its last heartbeat.
    incarnation : int
        Unix time of its start in milliseconds. It tells apart two backend
        servers that use the same name one after the other.

    """

    name: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    state: BackendState
    cold_seconds: float = 0
    incarnation: int = 0

    @property
    def target(self) -> tuple[str, int]:
        """Host and port to connect to."""
        return self.host, self.port
