"""Peer port: calls between the entry VMs of one institution."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum, unique
from typing import Any, Protocol

__all__ = ['MessageHandler', 'PeerIdentity', 'PeerRole', 'Peers']

# Takes the sender's id and a message; returns the reply or None.
MessageHandler = Callable[[str, Any], Any]


@unique
class PeerRole(StrEnum):
    """What a process at the end of a peer stream does."""

    ENTRY = 'entry'
    LOOKUP = 'lookup'
    OPERATOR = 'operator'


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Who a process says it is; proved with the institution's key.

    Attributes
    ----------
    name : str
        Name of its VM or of the operator's desk.
    incarnation : str
        Unique for each start of the process.

    Examples
    --------
    >>> PeerIdentity('sofia-a-1', 'k3').sender
    'sofia-a-1'
    >>> PeerIdentity('sofia-a-1', 'k4', PeerRole.LOOKUP).sender
    'lookup/sofia-a-1'

    """

    name: str
    incarnation: str
    role: PeerRole = PeerRole.ENTRY

    @property
    def sender(self) -> str:
        """Id given to message handlers: the VM's name for entry VMs."""
        if self.role is PeerRole.ENTRY:
            return self.name
        return f'{self.role}/{self.name}'


class Peers(Protocol):
    """Streams to the other entry VMs."""

    def call(self, vm: str, message: Any, timeout: float) -> Any:
        """Send a message and return the reply.

        Raises
        ------
        PeerError
            No reply within `timeout` seconds; the peer may have acted.
            Code ``peer-unreachable``: nothing was sent.

        """

    def cast(self, vm: str, message: Any) -> bool:
        """Send a message without a reply; return whether it was queued."""

    def list_connected(self) -> tuple[str, ...]:
        """Return the names of the entry VMs with a live stream."""

    def list_observers(self) -> tuple[str, ...]:
        """Return the ids of look-up processes and operators connected."""

    def list_refused(self) -> Mapping[str, float]:
        """Return VMs that refused the last dial and when it began.

        Monotonic times in seconds. At that time no process listened there:
        whatever an earlier one held has ended.
        """
        return {}

    def set_targets(self, targets: Mapping[str, tuple[str, int]]) -> None:
        """Keep streams to these VMs, by name with IP address and port."""
