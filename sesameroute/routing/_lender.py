"""The owner's side of slot leases between entry VMs."""

from collections.abc import Iterator

from sesameroute.limits import LeaseTerm, Ledger
from sesameroute.routing._headroom import count_lendable
from sesameroute.routing._messages import GrantReply, GrantRequest, Holding
from sesameroute.routing._slot_table import SlotTable
from sesameroute.routing._topology import Topology
from sesameroute.statement import Upstream

__all__ = ['Lender']

# Token bucket for new leases to other regions: refill and size as fractions
# of a service's slots.
_REMOTE_FRACTION_PER_SECOND = 0.5
_REMOTE_BURST_FRACTION = 0.1


class Lender:
    """Lends slots that this VM owns or holds on a long lease.

    Parameters
    ----------
    table : SlotTable
        Slot counts of this VM.
    incarnation : str
        Incarnation id of this process.

    """

    def __init__(
        self,
        table: SlotTable,
        incarnation: str,
    ) -> None:
        """Start without lent slots."""
        self.table = table
        self.incarnation = incarnation
        self.last_sequences_: dict[tuple[str, str], tuple[float, int]] = {}
        self.buckets_: dict[str, tuple[float, float]] = {}

    def grant(
        self,
        borrower: str,
        request: GrantRequest,
        *,
        busy: bool,
    ) -> GrantReply | None:
        """Answer a request; None if a newer one was already answered.

        Parameters
        ----------
        borrower : str
            Name of the VM that sent the request.
        request : GrantRequest
            The request.
        busy : bool
            Whether requests wait for slots of the service on this VM; if
            so, no additional slots are lent.

        """
        topology = self.table.read_topology()
        sequence = (request.boot, request.number)
        previous = self.last_sequences_.get((borrower, request.service), (0, 0))
        if topology is None or sequence <= previous:
            return None
        self.last_sequences_[borrower, request.service] = sequence
        granted = self._renew(topology, borrower, request)
        granted.update(self._lend_standing(borrower, request))
        limit = 0 if busy else self._limit_extra(topology, borrower, request)
        if limit > 0:
            granted.update(self._lend(topology, borrower, request, limit))
        return GrantReply(
            request.service,
            self.incarnation,
            request.number,
            tuple(Holding(name, slots) for name, slots in granted.items()),
        )

    def list_borrowers(self, service: str) -> set[str]:
        """Return the VMs that this VM has lent slots of a service."""
        topology = self.table.read_topology()
        if topology is None:
            return set()
        return {
            borrower
            for upstream in topology.statement.list_upstreams(service)
            for borrower in self.table.ledgers_[upstream.name].lent
        }

    def _renew(
        self,
        topology: Topology,
        borrower: str,
        request: GrantRequest,
    ) -> dict[str, int]:
        now = self.table.clock.read_monotonic()
        held = {entry.upstream: entry.slots for entry in request.held}
        standing = {holding.upstream for holding in request.standing}
        renewed = {}
        for name, ledger in self._list_lent(
            topology, borrower, request.service
        ):
            slots = held.get(name, 0)
            if name in standing:
                # A restarted primary does not list these slots, but may have
                # lent them to others before the restart.
                slots = ledger.count_lent_to(borrower)
            term = self.table.build_lease_term(
                request.service, standing=name in standing
            )
            if ledger.renew(borrower, slots, now, term):
                renewed[name] = ledger.count_lent_to(borrower)
        return renewed

    def _list_lent(
        self,
        topology: Topology,
        borrower: str,
        service: str,
    ) -> Iterator[tuple[str, Ledger]]:
        for upstream in topology.list_service_upstreams(service):
            ledger = self.table.ledgers_[upstream.name]
            if borrower in ledger.lent:
                yield upstream.name, ledger

    def _lend(
        self,
        topology: Topology,
        borrower: str,
        request: GrantRequest,
        limit: int,
    ) -> dict[str, int]:
        now = self.table.clock.read_monotonic()
        term = self.table.build_lease_term(request.service)
        granted = {}
        for _ in range(limit):
            upstream = self._find_most_free(
                topology,
                borrower,
                request.service,
                term,
            )
            if upstream is None:
                break
            ledger = self.table.ledgers_[upstream.name]
            granted[upstream.name] = ledger.lend(borrower, 1, now, term)
        return granted

    def _lend_standing(
        self, borrower: str, request: GrantRequest
    ) -> dict[str, int]:
        now = self.table.clock.read_monotonic()
        term = self.table.build_lease_term(request.service, standing=True)
        granted = {}
        for holding in request.standing:
            ledger = self.table.ledgers_.get(holding.upstream)
            if ledger is None:
                continue
            missing = holding.slots - ledger.count_lent_to(borrower)
            if missing > 0:
                units = ledger.lend(borrower, missing, now, term)
                granted[holding.upstream] = units
        return granted

    def _find_most_free(
        self,
        topology: Topology,
        borrower: str,
        service: str,
        term: LeaseTerm,
    ) -> Upstream | None:
        until = self.table.clock.read_monotonic() + term.required_seconds
        ineligible = self.table.list_ineligible(service)
        best, most_free = None, 0
        for upstream in topology.list_service_upstreams(service):
            if borrower not in topology.list_connectors(upstream.name):
                continue
            free = self._count_lendable(upstream, until)
            if free > most_free and upstream.name not in ineligible:
                best, most_free = upstream, free
        return best

    def _count_lendable(self, upstream: Upstream, until: float) -> int:
        ledger = self.table.ledgers_[upstream.name]
        now = self.table.clock.read_monotonic()
        return ledger.count_usable(now, until) - ledger.used

    def _limit_extra(
        self,
        topology: Topology,
        borrower: str,
        request: GrantRequest,
    ) -> int:
        if topology.is_local_vm(borrower):
            return request.extra
        free, total = count_lendable(self.table, request.service)
        reserve = topology.statement.policy.reserve * total
        available = int(free - reserve)
        return self._limit_rate(
            request.service, min(request.extra, available), total
        )

    def _limit_rate(self, service: str, wanted: int, total: int) -> int:
        now = self.table.clock.read_monotonic()
        burst = max(1, total * _REMOTE_BURST_FRACTION)
        tokens, refilled_at = self.buckets_.get(service, (burst, now))
        tokens = min(
            burst,
            tokens + (now - refilled_at) * total * _REMOTE_FRACTION_PER_SECOND,
        )
        allowed = max(0, min(wanted, int(tokens)))
        self.buckets_[service] = (tokens - allowed, now)
        return allowed
