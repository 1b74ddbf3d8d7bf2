"""Look-ups: which entry VMs a caller should use for a service."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from sesameroute.exceptions import InputError
from sesameroute.ports import Clock
from sesameroute.routing._view import Members
from sesameroute.routing._vm_rankings import VmRankings
from sesameroute.routing._weights import Weights, compute_target_weights
from sesameroute.statement import Statement, Vm

__all__ = ['Lookup', 'LookupAnswer', 'LookupEntry']

_MILLISECONDS = 1000  # in a second
_MAX_ENTRIES = 4


@dataclass(frozen=True, slots=True)
class LookupEntry:
    """An entry VM and the fraction of calls that it should get."""

    vm: str
    address: str
    weight: float


@dataclass(frozen=True, slots=True)
class LookupAnswer:
    """Entry VMs in order of preference.

    Attributes
    ----------
    ttl : float
        Time for which a caller may cache the answer, in seconds.

    """

    service: str
    entries: tuple[LookupEntry, ...]
    ttl: float


class Lookup:
    """Answers look-ups from local state, without calls to other VMs.

    Parameters
    ----------
    statement : callable
        Returns the statement in force, None before the first one.
    members : Members
        Membership view of the entry VMs.
    clock : Clock
        Source of time.

    """

    def __init__(
        self,
        statement: Callable[[], Statement | None],
        members: Members,
        clock: Clock,
    ) -> None:
        """Start without weights."""
        self.statement = statement
        self.members = members
        self.clock = clock
        self.weights_: dict[tuple[str, str], Weights] = {}
        self._vm_rankings = VmRankings()
        self._lock = threading.Lock()

    def answer(self, service: str, domain: str = '') -> LookupAnswer:
        """Return the entry VMs for a service, the nearest first.

        Parameters
        ----------
        service : str
            Name of the service.
        domain : str, optional
            The caller's failure domain.

        Raises
        ------
        InputError
            There is no statement yet, or it has no such service.

        """
        statement = self.statement()
        if statement is None or service not in statement.services:
            raise InputError(f'service {service!r} is not known', 'no-service')
        if domain not in statement.places.domains:
            domain = ''
        ranked = self._rank(statement, service, domain)[:_MAX_ENTRIES]
        ttl = statement.policy.lookup_ttl_ms / _MILLISECONDS
        target = compute_target_weights(
            statement, self.members, service, ranked
        )
        with self._lock:
            weights_state = self.weights_.setdefault(
                (service, domain), Weights()
            )
            weights = weights_state.move_towards(
                target, self.clock.read_monotonic(), ttl
            )
        entries = tuple(
            LookupEntry(vm.name, vm.address, weights[vm.name]) for vm in ranked
        )
        return LookupAnswer(service, entries, ttl)

    def _rank(
        self,
        statement: Statement,
        service: str,
        domain: str,
    ) -> list[Vm]:
        """Return usable VMs, nearest first.

        Falls back to VMs that are not live, then to all VMs, rather than
        return an empty list.
        """
        ranking = self._vm_rankings.rank(statement, service, domain)
        leaving = self.members.list_leaving()
        not_leaving = [vm for vm in ranking if vm.name not in leaving]
        live = set(self.members.list_live())
        alive = [vm for vm in not_leaving if vm.name in live]
        return alive or not_leaving or list(statement.vms.values())
