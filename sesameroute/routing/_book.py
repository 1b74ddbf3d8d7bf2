"""The slots of all backend servers as one entry VM counts them."""

import itertools
from collections.abc import Callable

from sesameroute.limits import LEASE_SECONDS, STANDING_SECONDS, Ledger, Term
from sesameroute.ports import Clock
from sesameroute.routing._geography import Geography
from sesameroute.routing._view import Headroom, Members
from sesameroute.statement import Statement, Upstream

__all__ = ['SlotBook']

_MILLISECONDS = 1000  # in a second


class SlotBook:
    """Ledgers by backend server, kept in step with the statement.

    Parameters
    ----------
    statement : callable
        Returns the statement in force, None before the first one.
    vm : str
        Name of this VM.
    members : Members
        The entry VMs as membership sees them.
    clock : Clock
        Source of time.

    """

    def __init__(
        self,
        statement: Callable[[], Statement | None],
        vm: str,
        members: Members,
        clock: Clock,
    ) -> None:
        """Store the arguments; no slot is taken."""
        self.statement = statement
        self.vm = vm
        self.members = members
        self.clock = clock
        self.ledgers_: dict[str, Ledger] = {}
        self.held_: dict[int, str] = {}
        self._geography: Geography | None = None
        self._tickets = itertools.count(1)

    def read_geography(self) -> Geography | None:
        """Return the statement in force as seen from this VM."""
        statement = self.statement()
        if statement is None or self.vm not in statement.vms:
            return None
        known = self._geography
        if known is None or known.statement is not statement:
            known = Geography(statement, self.vm)
            self._geography = known
            self._update_ledgers(known)
        return known

    def read_queue_seconds(self) -> float:
        """Return the longest wait for a slot in seconds."""
        geography = self.read_geography()
        if geography is None:
            return 0
        return geography.statement.policy.queue_ms / _MILLISECONDS

    def count_free(self, upstream: str) -> int:
        """Return the slots of a backend server that may be taken now."""
        now = self.clock.read_monotonic()
        return self.ledgers_[upstream].count_free(now)

    def hold(self, upstream: str) -> int:
        """Take a slot that is free; return the ticket to release it."""
        self.ledgers_[upstream].take(self.clock.read_monotonic())
        ticket = next(self._tickets)
        self.held_[ticket] = upstream
        return ticket

    def release(self, ticket: int) -> bool:
        """End the use of a slot; return whether the ticket was held."""
        upstream = self.held_.pop(ticket, None)
        if upstream is None:
            return False
        self.ledgers_[upstream].give_back()
        return True

    def count_service(self, service: str) -> tuple[int, int]:
        """Return the free slots of a service and those in use here."""
        geography = self.read_geography()
        if geography is None:
            return 0, 0
        barred = self.list_barred()
        free, used = 0, 0
        for upstream in geography.list_service(service):
            used += self.ledgers_[upstream.name].used
            if upstream.name not in barred:
                free += max(0, self.count_free(upstream.name))
        return free, used

    def report_headroom(self) -> Headroom:
        """Return free and total slots by service of the own upstreams."""
        geography = self.read_geography()
        totals: dict[str, tuple[int, int]] = {}
        if geography is None:
            return totals
        barred = self.list_barred()
        for upstream in geography.statement.upstreams.values():
            ledger = self.ledgers_[upstream.name]
            if not ledger.own or upstream.name in barred:
                continue
            free, total = totals.get(upstream.service, (0, 0))
            totals[upstream.service] = (
                free + max(0, self.count_free(upstream.name)),
                total + self._count_held(upstream),
            )
        return totals

    def build_term(self, service: str, *, standing: bool = False) -> Term:
        """Return the term of a lease of slots of a service."""
        seconds = STANDING_SECONDS if standing else LEASE_SECONDS
        geography = self.read_geography()
        linger = geography.measure_linger(service) if geography else 0
        return Term(seconds, linger)

    def list_barred(self) -> frozenset[str]:
        """Return the backend servers that get no new work."""
        geography = self.read_geography()
        drained = geography.drained_ if geography else frozenset()
        return drained | self.members.list_leaving()

    def _count_held(self, upstream: Upstream) -> int:
        ledger = self.ledgers_[upstream.name]
        return ledger.count_usable(self.clock.read_monotonic())

    def _update_ledgers(self, geography: Geography) -> None:
        now = self.clock.read_monotonic()
        for upstream in geography.statement.upstreams.values():
            ledger = self.ledgers_.setdefault(upstream.name, Ledger())
            own = geography.split(upstream.name).get(self.vm, 0)
            if own > ledger.own:
                term = self.build_term(upstream.service, standing=True)
                ledger.settled = now + term.hold
            ledger.own = own
