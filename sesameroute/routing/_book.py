"""The slots of all backend servers as one entry VM counts them."""

import itertools
from collections.abc import Callable

from sesameroute.limits import LEASE_SECONDS, STANDING_SECONDS, Ledger, Term
from sesameroute.ports import Choice, Clock, Outcome
from sesameroute.routing._geography import Geography
from sesameroute.routing._health import Health
from sesameroute.routing._stopping import StoppingWork
from sesameroute.routing._view import Members
from sesameroute.statement import Kind, Statement, Upstream

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
        self.held_: dict[int, tuple[str, Kind]] = {}
        self.stopping_ = StoppingWork(clock)
        self.health_ = Health()
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

    def list_leaving(self) -> tuple[str, ...]:
        """Return backend servers that told this VM that they leave."""
        return self.health_.list_leaving(self.clock.read_monotonic())

    def count_free(self, upstream: Upstream) -> int:
        """Return the slots of a backend server that may be taken now."""
        ledger = self.ledgers_[upstream.name]
        free = ledger.count_free(self.clock.read_monotonic())
        return min(free, self.health_.limit_slots(upstream) - ledger.used)

    def hold(self, upstream: str, kind: Kind) -> int:
        """Take a slot that is free; return the ticket to release it."""
        self.ledgers_[upstream].take(self.clock.read_monotonic())
        ticket = next(self._tickets)
        self.held_[ticket] = (upstream, kind)
        return ticket

    def release(self, ticket: int) -> bool:
        """End the use of a slot; return whether the ticket was held."""
        held = self.held_.pop(ticket, None)
        if held is None:
            return False
        self.ledgers_[held[0]].give_back()
        return True

    def observe(self, choice: Choice, outcome: Outcome) -> None:
        """Learn from a try that has not been released yet."""
        kind = self.held_.get(choice.ticket, ('', None))[1]
        geography = self.read_geography()
        if kind is None or geography is None:
            return
        delay = 2 * geography.measure_delay(choice.upstream.domain)
        usual = max(1, kind.work_ms) / _MILLISECONDS
        self.health_.observe(
            choice.upstream,
            outcome,
            (outcome.seconds - delay) / usual,
            self.clock.read_monotonic(),
        )

    def build_term(self, service: str, *, standing: bool = False) -> Term:
        """Return the term of a lease of slots of a service."""
        seconds = STANDING_SECONDS if standing else LEASE_SECONDS
        geography = self.read_geography()
        linger = geography.measure_linger(service) if geography else 0
        return Term(seconds, linger)

    def list_barred(self, service: str) -> frozenset[str]:
        """Return the backend servers of a service that get no new work."""
        geography = self.read_geography()
        if geography is None:
            return frozenset()
        out = self.health_.list_out(
            geography.list_service(service),
            self.clock.read_monotonic(),
        )
        return geography.list_drained().union(out, self.members.list_leaving())

    def _update_ledgers(self, geography: Geography) -> None:
        now = self.clock.read_monotonic()
        is_first = not self.ledgers_
        for upstream in geography.statement.upstreams.values():
            if not is_first and upstream.name not in self.ledgers_:
                self.health_.mark_cold(upstream.name)
            ledger = self.ledgers_.setdefault(upstream.name, Ledger())
            own = geography.split(upstream.name).get(self.vm, 0)
            if own > ledger.own:
                term = self.build_term(upstream.service, standing=True)
                ledger.settled = now + term.hold
            ledger.own = own
