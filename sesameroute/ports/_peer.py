"""Peer port: messages between the processes of one institution."""

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

# Takes the sender's id and a message; returns the reply, or None for none.
MessageHandler = Callable[[str, Any], Any]


class DeferredReply:
    """A reply that a handler gives after it returned.

    The handler returns this object instead of a reply, and so does not
    occupy its thread until the reply is known.

    Examples
    --------
    >>> reply = DeferredReply()
    >>> reply.set_reply('granted')
    >>> reply.set_sender(print)
    granted

    """

    def __init__(self) -> None:
        """Create it without a reply and without a way to send one."""
        self._lock = threading.Lock()
        self._send: Callable[[Any], None] | None = None
        self._replies: list[Any] = []

    def set_reply(self, reply: Any) -> None:
        """Set the reply; it is sent now, or else by `set_sender`."""
        with self._lock:
            self._replies.append(reply)
            self._send_if_ready()

    def set_sender(self, send: Callable[[Any], None]) -> None:
        """Set the function that sends the reply; call it if there is one."""
        with self._lock:
            self._send = send
            self._send_if_ready()

    def _send_if_ready(self) -> None:
        if self._send is not None and self._replies:
            self._send(self._replies.pop())


@unique
class PeerRole(StrEnum):
    """Kind of process at one end of a peer stream."""

    ENTRY = 'entry'
    LOOKUP = 'lookup'
    OPERATOR = 'operator'


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Identity of a process, authenticated with the institution's key.

    Attributes
    ----------
    name : str
        Name of its VM or of the operator's machine.
    incarnation : str
        Unique id of this run of the process.
    role : PeerRole
        Kind of process.

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
        """The sender's id for message handlers; an entry VM's is its name."""
        if self.role is PeerRole.ENTRY:
            return self.name
        return f'{self.role}/{self.name}'


class Peers(Protocol):
    """Streams to the peers of this process."""

    def call(self, vm: str, message: Any, timeout: float) -> Any:
        """Send a message and return the reply.

        Raises
        ------
        PeerError
            No reply within `timeout` seconds; the peer may have acted on
            the message. With code ``peer-unreachable`` nothing was sent.

        """

    def send_one_way(self, vm: str, message: Any) -> bool:
        """Queue a message that has no reply; return whether it was queued."""

    def list_connected(self) -> tuple[str, ...]:
        """Return the names of the entry VMs with an open stream."""

    def list_observers(self) -> tuple[str, ...]:
        """Return the ids of the connected look-up processes and operators."""

    def list_refused_dials(self) -> Mapping[str, float]:
        """Return the VMs that refused the last connection attempt.

        A refusal shows that no process listened at that time, so that
        everything an earlier process held there has ended.

        Returns
        -------
        mapping of str to float
            Monotonic time in seconds at which the attempt began, by VM.

        """
        return {}

    def set_targets(self, targets: Mapping[str, tuple[str, int]]) -> None:
        """Set the VMs to keep streams to: IP address and port by name."""
