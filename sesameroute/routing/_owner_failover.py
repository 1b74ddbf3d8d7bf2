"""Takeover of slots from owners whose process has stopped."""

from sesameroute.limits import STANDBY_LEASE_SECONDS
from sesameroute.ports import Peers
from sesameroute.routing._slot_table import SlotTable
from sesameroute.routing._topology import Topology
from sesameroute.statement import Upstream

__all__ = ['OwnerFailover']

# Refused dials at most this far apart count as one outage.
_MAX_REFUSAL_GAP_SECONDS = 4.0


class OwnerFailover:
    """Takes over the slots of a co-owner whose machine refuses connections.

    A machine that refuses a connection runs no process that could use the
    slots. A timeout proves nothing, since the process may be cut off, so
    nothing is taken over then. The takeover starts once the leases granted
    by the stopped process have expired. It lasts STANDBY_LEASE_SECONDS from the
    start of the last refused dial. A restarted owner waits longer than that
    before it uses its slots, unless LeaseRecovery ends the wait earlier.

    Parameters
    ----------
    table : SlotTable
        Slot counts of this VM.
    peers : Peers
        Streams to the other entry VMs.

    """

    def __init__(self, table: SlotTable, peers: Peers) -> None:
        """Start without known outages."""
        self.table = table
        self.peers = peers
        self.first_refused_: dict[str, float] = {}
        self.last_refused_: dict[str, float] = {}

    def take_over(self, service: str) -> None:
        """Use the slots of co-owners of a service that have stopped."""
        topology = self.table.read_topology()
        if topology is None:
            return
        for vm, refused_at in self.peers.list_refused_dials().items():
            self._record_refusal(vm, refused_at)
            self._use_slots(topology, service, vm)

    def _record_refusal(self, vm: str, refused_at: float) -> None:
        is_live = vm in self.table.members.list_live()
        if (
            is_live
            or refused_at - self.last_refused_.get(vm, refused_at)
            > _MAX_REFUSAL_GAP_SECONDS
        ):
            self.first_refused_.pop(vm, None)
        if not is_live:
            self.first_refused_.setdefault(vm, refused_at)
        self.last_refused_[vm] = refused_at

    def _use_slots(self, topology: Topology, service: str, vm: str) -> None:
        now = self.table.clock.read_monotonic()
        expires = self.last_refused_[vm] + STANDBY_LEASE_SECONDS
        lent_seconds = self.table.build_lease_term(service).owner_seconds
        is_dead = (
            vm in self.first_refused_
            and now >= self.first_refused_[vm] + lent_seconds
        )
        if not is_dead or expires <= now:
            return
        for upstream in topology.list_service_upstreams(service):
            if self._is_co_owner(topology, upstream, vm):
                slots = topology.split_by_owner(upstream.name)[vm]
                ledger = self.table.ledgers_[upstream.name]
                ledger.record_lease(vm, slots, expires)

    def _is_co_owner(
        self,
        topology: Topology,
        upstream: Upstream,
        vm: str,
    ) -> bool:
        owners = topology.split_by_owner(upstream.name)
        return vm != self.table.vm and vm in owners and self.table.vm in owners
