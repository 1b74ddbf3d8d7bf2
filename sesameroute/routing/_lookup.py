"""Answers to callers: which entry VM to use for a service."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from sesameroute.exceptions import InputError
from sesameroute.ports import Clock
from sesameroute.routing._order import VmOrders
from sesameroute.routing._view import Members
from sesameroute.routing._weights import Weights, aim_weights
from sesameroute.statement import Statement, Vm

__all__ = ['Lookup', 'LookupAnswer', 'LookupEntry']

_MILLISECONDS = 1000  # in a second
_MAX_ENTRIES = 4


@dataclass(frozen=True, slots=True)
class LookupEntry:
    """An entry VM and the part of calls that it should get."""

    vm: str
    address: str
    weight: float


@dataclass(frozen=True, slots=True)
class LookupAnswer:
    """Entry VMs in the order of preference.

    Attributes
    ----------
    ttl : float
        Seconds for which a caller may keep the answer.

    """

    service: str
    entries: tuple[LookupEntry, ...]
    ttl: float


class Lookup:
    """Answers look-ups from what this VM knows; never waits for others.

    Parameters
    ----------
    statement : callable
        Returns the statement in force, None before the first one.
    members : Members
        The entry VMs as membership sees them.
    clock : Clock
        Source of time.

    """

    def __init__(
        self,
        statement: Callable[[], Statement | None],
        members: Members,
        clock: Clock,
    ) -> None:
        """Store the arguments."""
        self.statement = statement
        self.members = members
        self.clock = clock
        self.weights_: dict[tuple[str, str], Weights] = {}
        self._orders = VmOrders()
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
        aim = aim_weights(statement, self.members, service, ranked)
        with self._lock:
            kept = self.weights_.setdefault((service, domain), Weights())
            weights = kept.follow(aim, self.clock.read_monotonic(), ttl)
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
        """Return usable VMs, nearest first; rather any than none."""
        order = self._orders.rank(statement, service, domain)
        leaving = self.members.list_leaving()
        staying = [vm for vm in order if vm.name not in leaving]
        live = set(self.members.list_live())
        alive = [vm for vm in staying if vm.name in live]
        return alive or staying or list(statement.vms.values())
