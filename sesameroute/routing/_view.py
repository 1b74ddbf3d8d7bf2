"""Interface to membership that routing needs."""

from collections.abc import Mapping
from typing import Protocol

__all__ = ['Digest', 'Headroom', 'Members']

# Free and total slots by service.
Headroom = Mapping[str, tuple[int, int]]


class Digest(Protocol):
    """The part of a VM's last heartbeat that routing uses.

    Attributes
    ----------
    headroom : mapping of str to tuple of (int, int)
        Free and total slots by service.
    age : float
        Seconds since the heartbeat was received.

    """

    headroom: Headroom
    age: float


class Members(Protocol):
    """The entry VMs as this VM sees them."""

    def list_live(self) -> tuple[str, ...]:
        """Return the VMs with a live stream, and this VM."""

    def find_digest(self, vm: str) -> Digest | None:
        """Return the last digest of a VM, None if there is none."""

    def list_leaving(self) -> frozenset[str]:
        """Return VMs and backend servers that any source reports as leaving."""
