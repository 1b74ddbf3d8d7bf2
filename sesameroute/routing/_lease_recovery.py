"""Recovery of the leases that this VM granted before a restart."""

from sesameroute.limits import Lease
from sesameroute.ports import Peers
from sesameroute.routing._messages import HeldSlotsQuery, HeldSlotsReply
from sesameroute.routing._slot_table import SlotTable
from sesameroute.routing._topology import Topology

__all__ = ['LeaseRecovery']

_REPEAT_SECONDS = 0.2  # between two queries to a VM that has not replied


class LeaseRecovery:
    """Queries all entry VMs for leases granted by an earlier process.

    A restarted process does not know which of its slots its predecessor
    lent, so it may not use its own slots until the longest of those leases
    has expired. It can stop waiting earlier: when every other VM has either
    reported what it holds or refused a connection. A VM that refuses
    connections runs no process that could hold slots.

    Parameters
    ----------
    table : SlotTable
        Slot counts of this VM.
    peers : Peers
        Streams to the other entry VMs.

    """

    def __init__(self, table: SlotTable, peers: Peers) -> None:
        """Start without replies; no query has been sent."""
        self.table = table
        self.peers = peers
        self.boot_time_ = table.clock.read_wall()
        self.replied_: set[str] = set()
        self.done_ = False
        self._started_at = table.clock.read_monotonic()
        self._queried_at = -_REPEAT_SECONDS

    def query_missing(self) -> None:
        """Query the VMs that have not replied, at most every interval."""
        topology = self.table.read_topology()
        now = self.table.clock.read_monotonic()
        if (
            self.done_
            or topology is None
            or now - self._queried_at < _REPEAT_SECONDS
        ):
            return
        self._queried_at = now
        refused = self.peers.list_refused_dials()
        self.replied_.update(
            vm
            for vm, refused_at in refused.items()
            if refused_at >= self._started_at
        )
        missing = self._list_missing(topology)
        if not missing:
            self._finish(now)
        for vm in missing:
            self.peers.send_one_way(vm, HeldSlotsQuery(self.boot_time_))

    def record_reply(self, sender: str, reply: HeldSlotsReply) -> None:
        """Record the slots that a VM still holds as leases."""
        topology = self.table.read_topology()
        if self.done_ or topology is None or reply.boot != self.boot_time_:
            return
        now = self.table.clock.read_monotonic()
        for holding in reply.held:
            ledger = self.table.ledgers_.get(holding.upstream)
            upstream = topology.statement.upstreams.get(holding.upstream)
            if ledger is None or upstream is None:
                continue
            term = self.table.build_lease_term(upstream.service, standing=True)
            ledger.lent[sender] = Lease(holding.slots, now + term.owner_seconds)
        self.replied_.add(sender)
        if not self._list_missing(topology):
            self._finish(now)

    def _list_missing(self, topology: Topology) -> list[str]:
        vms = topology.statement.vms.keys()
        return sorted(vms - self.replied_ - {self.table.vm})

    def _finish(self, now: float) -> None:
        self.done_ = True
        for ledger in self.table.ledgers_.values():
            ledger.usable_from = min(ledger.usable_from, now)
