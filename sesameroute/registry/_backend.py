"""A backend server as it registers itself."""

from dataclasses import dataclass
from enum import StrEnum, unique

__all__ = ['Backend', 'BackendState']


@unique
class BackendState(StrEnum):
    """What a backend server says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(frozen=True, slots=True)
class Backend:
    """One incarnation of a backend server.

    Attributes
    ----------
    incarnation : int
        Unix time of its start in milliseconds; an identifier that is used
        again has another one.
    cold_seconds : float
        How much longer it is cold, at the time of its last heartbeat.

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
        """Address to connect to."""
        return self.host, self.port
