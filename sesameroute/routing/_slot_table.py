"""Slot counts of all backend servers, as kept by one entry VM."""

import itertools
from collections.abc import Callable

from sesameroute.limits import (
    DEMAND_LEASE_SECONDS,
    STANDBY_LEASE_SECONDS,
    LeaseTerm,
    Ledger,
)
from sesameroute.ports import Choice, Clock, Outcome
from sesameroute.routing._cancelled import CancelledWork
from sesameroute.routing._health import Health
from sesameroute.routing._topology import Topology
from sesameroute.routing._view import Members
from sesameroute.statement import Kind, Statement, Upstream

__all__ = ['SlotTable']

_MILLISECONDS = 1000  # in a second


class SlotTable:
    """One slot ledger per backend server, updated with the statement.

    Parameters
    ----------
    statement : callable
        Returns the statement in force, None before the first one.
    vm : str
        Name of this VM.
    members : Members
        Membership view of the entry VMs.
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
        """Start without ledgers; no slot is taken."""
        self.statement = statement
        self.vm = vm
        self.members = members
        self.clock = clock
        self.ledgers_: dict[str, Ledger] = {}
        self.held_slots_: dict[int, tuple[str, Kind]] = {}
        self.cancelled_ = CancelledWork(clock)
        self.health_ = Health()
        self._topology: Topology | None = None
        self._tickets = itertools.count(1)

    def read_topology(self) -> Topology | None:
        """Return the topology of the statement in force.

        Returns None when there is no statement or it lacks this VM.
        """
        statement = self.statement()
        if statement is None or self.vm not in statement.vms:
            return None
        cached = self._topology
        if cached is None or cached.statement is not statement:
            cached = Topology(statement, self.vm)
            self._topology = cached
            self._update_ledgers(cached)
        return cached

    def read_queue_seconds(self) -> float:
        """Return the maximum time in the queue in seconds."""
        topology = self.read_topology()
        if topology is None:
            return 0
        return topology.statement.policy.queue_ms / _MILLISECONDS

    def list_leaving(self) -> tuple[str, ...]:
        """Return backend servers that told this VM that they are draining."""
        return self.health_.list_leaving(self.clock.read_monotonic())

    def count_free(self, upstream: Upstream) -> int:
        """Return the slots of a backend server that may be taken now."""
        ledger = self.ledgers_[upstream.name]
        free = ledger.count_free(self.clock.read_monotonic())
        return min(free, self.health_.limit_slots(upstream) - ledger.used)

    def take_slot(self, upstream: str, kind: Kind) -> int:
        """Take a free slot; return the slot_id that releases it."""
        self.ledgers_[upstream].acquire(self.clock.read_monotonic())
        slot_id = next(self._tickets)
        self.held_slots_[slot_id] = (upstream, kind)
        return slot_id

    def release(self, slot_id: int) -> bool:
        """Release a slot; return whether the slot_id was in use."""
        held_slot = self.held_slots_.pop(slot_id, None)
        if held_slot is None:
            return False
        self.ledgers_[held_slot[0]].release_unit()
        return True

    def record_outcome(self, choice: Choice, outcome: Outcome) -> None:
        """Record the outcome of a try whose slot is still held."""
        kind = self.held_slots_.get(choice.slot_id, ('', None))[1]
        topology = self.read_topology()
        if kind is None or topology is None:
            return
        round_trip = 2 * topology.measure_delay(choice.upstream.domain)
        expected = max(1, kind.work_ms) / _MILLISECONDS
        self.health_.observe(
            choice.upstream,
            outcome,
            (outcome.seconds - round_trip) / expected,
            self.clock.read_monotonic(),
        )

    def build_lease_term(
        self, service: str, *, standing: bool = False
    ) -> LeaseTerm:
        """Return the lease term for slots of a service.

        Parameters
        ----------
        standing : bool
            Whether it is for the long leases of standby slots to the
            primary owner.

        """
        seconds = STANDBY_LEASE_SECONDS if standing else DEMAND_LEASE_SECONDS
        topology = self.read_topology()
        max_work_seconds = (
            topology.read_longest_deadline(service) if topology else 0
        )
        return LeaseTerm(seconds, max_work_seconds)

    def list_ineligible(self, service: str) -> frozenset[str]:
        """Return the backend servers that get no new work for a service."""
        topology = self.read_topology()
        if topology is None:
            return frozenset()
        unavailable = self.health_.list_unavailable(
            topology.list_service_upstreams(service),
            self.clock.read_monotonic(),
        )
        return topology.list_drained().union(
            unavailable, self.members.list_leaving()
        )

    def _update_ledgers(self, topology: Topology) -> None:
        now = self.clock.read_monotonic()
        is_initial = not self.ledgers_
        for upstream in topology.statement.upstreams.values():
            if not is_initial and upstream.name not in self.ledgers_:
                self.health_.start_warm_up(upstream.name)
            ledger = self.ledgers_.setdefault(upstream.name, Ledger())
            own = topology.split_by_owner(upstream.name).get(self.vm, 0)
            if own > ledger.owned:
                term = self.build_lease_term(upstream.service, standing=True)
                ledger.usable_from = now + term.owner_seconds
            ledger.owned = own
