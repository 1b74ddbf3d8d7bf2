"""Adapter from membership to the interface of routing and delivery."""

from dataclasses import dataclass

from sesameroute.membership import Membership
from sesameroute.ports import PeerRole
from sesameroute.routing import Headroom

__all__ = ['HeadroomReport', 'MembersView']

# Each decision lists the live VMs several times, and the list rarely changes.
_SNAPSHOT_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class HeadroomReport:
    """Headroom that one VM last reported, and the report's age in seconds."""

    headroom: Headroom
    age: float


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """Cached names of live and leaving VMs and backend servers.

    Attributes
    ----------
    expires : float
        Monotonic time in seconds from which the snapshot is outdated.

    """

    expires: float = 0
    live: tuple[str, ...] = ()
    leaving: frozenset[str] = frozenset()


class MembersView:
    """State of the entry VMs, as routing and delivery query it.

    Parameters
    ----------
    membership : Membership
        This process's view of the fleet.

    """

    def __init__(self, membership: Membership) -> None:
        """Store the parameters."""
        self.membership = membership
        self._snapshot = _Snapshot()

    def list_live(self) -> tuple[str, ...]:
        """Return the VMs with a live peer stream; an entry VM adds itself."""
        return self._refresh_snapshot().live

    def list_leaving(self) -> frozenset[str]:
        """Return VMs and backend servers that any source lists as leaving."""
        return self._refresh_snapshot().leaving

    def find_digest(self, vm: str) -> HeadroomReport | None:
        """Return the last headroom report of a VM, None if there is none."""
        report = self.membership.members.find_digest(vm)
        if report is None:
            return None
        digest, age = report
        headroom = {
            each.service: (each.free, each.total) for each in digest.headroom
        }
        return HeadroomReport(headroom, age)

    def find_incarnation(self, vm: str) -> str | None:
        """Return the last known incarnation of a VM, None if unknown."""
        return self.membership.members.find_incarnation(vm) or None

    def list_witnesses(self) -> tuple[tuple[str, str], ...]:
        """Return names and incarnations of live VMs, best witness first."""
        named = (
            (vm, self.find_incarnation(vm))
            for vm in self.membership.list_witnesses()
        )
        return tuple(
            (vm, incarnation) for vm, incarnation in named if incarnation
        )

    def _refresh_snapshot(self) -> '_Snapshot':
        """Return the cached snapshot; renew it first if it has expired."""
        now = self.membership.context.clock.read_monotonic()
        if now >= self._snapshot.expires:
            members = self.membership.members
            own = self.membership.context.identity
            live = members.list_live()
            if own.role is PeerRole.ENTRY:
                live = (own.name, *live)
            leaving = frozenset(members.list_leaving())
            self._snapshot = _Snapshot(now + _SNAPSHOT_SECONDS, live, leaving)
        return self._snapshot
