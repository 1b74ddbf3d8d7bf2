"""Peer port: calls between the entry VMs of one institution."""

import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum, unique
from typing import Any, Protocol

__all__ = [
    'DeferredReply',
    'MessageHandler',
    'PeerIdentity',
    'PeerRole',
    'Peers',
]

# Takes the sender's id and a message; returns the reply or None.
MessageHandler = Callable[[str, Any], Any]


class DeferredReply:
    """A reply that a handler gives later, without holding its thread.

    Examples
    --------
    >>> reply = DeferredReply()
    >>> reply.settle('granted')
    >>> reply.bind(print)
    granted

    """

    def __init__(self) -> None:
        """Start without a reply."""
        self._lock = threading.Lock()
        self._send: Callable[[Any], None] | None = None
        self._replies: list[Any] = []

    def settle(self, reply: Any) -> None:
        """Give the reply; sent now or as soon as the stream is bound."""
        with self._lock:
            self._replies.append(reply)
            self._flush()

    def bind(self, send: Callable[[Any], None]) -> None:
        """Say how to send the reply."""
        with self._lock:
            self._send = send
            self._flush()

    def _flush(self) -> None:
        if self._send is not None and self._replies:
            self._send(self._replies.pop())


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
