"""Membership as routing and delivery want to see it."""

from dataclasses import dataclass

from sesameroute.membership import Membership
from sesameroute.ports import PeerRole
from sesameroute.routing import Headroom

__all__ = ['DigestView', 'MembersView']

# Each decision asks several times who is live; the answer changes slowly.
_SIGHT_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class DigestView:
    """Headroom of one VM and the age of the news in seconds."""

    headroom: Headroom
    age: float


@dataclass(frozen=True, slots=True)
class _Sight:
    """Live and leaving names, good until a monotonic time in seconds."""

    until: float = 0
    live: tuple[str, ...] = ()
    leaving: frozenset[str] = frozenset()


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
        self._seen = _Sight()

    def list_live(self) -> tuple[str, ...]:
        """Return the VMs with a live stream; an entry VM counts itself."""
        return self._look().live

    def list_leaving(self) -> frozenset[str]:
        """Return VMs and backend servers that some source says leave."""
        return self._look().leaving

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

    def _look(self) -> '_Sight':
        """Return a view of the members that is a moment old at most."""
        now = self.membership.around.clock.read_monotonic()
        if now >= self._seen.until:
            members = self.membership.members
            own = self.membership.around.identity
            live = members.list_live()
            if own.role is PeerRole.ENTRY:
                live = (own.name, *live)
            leaving = frozenset(members.list_leaving())
            self._seen = _Sight(now + _SIGHT_SECONDS, live, leaving)
        return self._seen
