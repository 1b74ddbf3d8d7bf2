"""Membership as routing and delivery want to see it."""

from dataclasses import dataclass

from sesameroute.membership import Membership
from sesameroute.ports import PeerRole
from sesameroute.routing import Headroom

__all__ = ['DigestView', 'MembersView']


@dataclass(frozen=True, slots=True)
class DigestView:
    """Headroom of one VM and the age of the news in seconds."""

    headroom: Headroom
    age: float


class MembersView:
    """The entry VMs as routing and delivery see them.

    Parameters
    ----------
    membership : Membership
        What this process knows of the fleet.

    """

    def __init__(self, membership: Membership) -> None:
        """Store the parameters."""
        self.membership = membership

    def list_live(self) -> tuple[str, ...]:
        """Return the VMs with a live stream; an entry VM counts itself."""
        own = self.membership.around.identity
        others = self.membership.members.list_live()
        return (own.name, *others) if own.role is PeerRole.ENTRY else others

    def list_leaving(self) -> frozenset[str]:
        """Return VMs and backend servers that some source says leave."""
        return frozenset(self.membership.members.list_leaving())

    def find_digest(self, vm: str) -> DigestView | None:
        """Return the last digest of a VM, None if there is none."""
        found = self.membership.members.find_digest(vm)
        if found is None:
            return None
        digest, age = found
        headroom = {
            each.service: (each.free, each.total) for each in digest.headroom
        }
        return DigestView(headroom, age)

    def find_incarnation(self, vm: str) -> str | None:
        """Return the last known incarnation of a VM, None if unknown."""
        return self.membership.members.find_incarnation(vm) or None

    def list_witnesses(self) -> tuple[tuple[str, str], ...]:
        """Return names and incarnations of live VMs, best witness first."""
        named = (
            (vm, self.find_incarnation(vm))
            for vm in self.membership.list_witnesses()
        )
        return tuple((vm, life) for vm, life in named if life)
